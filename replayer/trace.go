// Package replayer simulates policies on traces of requests and faults, at the
// trace's own time, and compares their cost, waiting times and refusals. There is no
// network and no fleet: each replay calls the code of one decision package directly.
package replayer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"gonum.org/v1/gonum/stat/distuv"
)

// Event is one line of a trace file. The JSON keys are short to keep the files small.
type Event struct {
	// Time is the time since the start of the trace, in seconds.
	Time float64 `json:"t"`
	// Kind is the kind of the event: "" for a request, "slow" for a weight store that
	// is slowed down by Factor, "die" for the failure of an entry, "out" for an
	// outage of the platform, "reclaim" for the loss of an engine with its models and
	// caches.
	Kind string `json:"k,omitempty"`
	// Workspace, Model, PromptTokens and OutputTokens are set for requests.
	Workspace string `json:"w,omitempty"`
	Model     string `json:"m,omitempty"`
	// Index is the index of the entry to which a request is sent or that fails, or of the
	// engine that is lost.
	Index        int     `json:"e"`
	PromptTokens int     `json:"p,omitempty"`
	OutputTokens int     `json:"o,omitempty"`
	Factor       float64 `json:"f,omitempty"`
	// Duration is how long a fault lasts, in seconds.
	Duration float64 `json:"d,omitempty"`
}

// At returns the time of the event since the start of the trace.
func (e Event) At() time.Duration { return time.Duration(e.Time * float64(time.Second)) }

// Fleet describes the deployment for which a trace is generated.
type Fleet struct {
	Name       string
	Engines    int
	Entries    int
	Models     int
	Adapters   int
	Workspaces []WorkspaceShare
	// IdleWeight is the cost of a second of idle time relative to a second of cold start.
	IdleWeight float64
	// StoreLoadRate is the rate of loads that the weight store allows, per second.
	StoreLoadRate float64
}

// WorkspaceShare is a workspace with its share of the requests, between 0 and 1, and its
// limits: Rate in tokens per second and Burst in tokens.
type WorkspaceShare struct {
	Name         string
	RequestShare float64
	Rate         float64
	Burst        float64
}

// Plooiwerk and Granite are the known deployments, at their present sizes.
var (
	Plooiwerk = Fleet{
		Name: "plooiwerk", Engines: 9, Entries: 4, Models: 50, Adapters: 55, IdleWeight: 0.05, StoreLoadRate: 3,
		Workspaces: []WorkspaceShare{
			{"tourism", 0.45, 90, 9000},
			{"east-flanders", 0.25, 50, 6000},
			{"west-flanders", 0.15, 40, 5000},
			{"small-municipalities", 0.1, 30, 4000},
			{"museums", 0.05, 20, 3000},
		},
	}
	Granite = Fleet{
		Name: "granite", Engines: 18, Entries: 6, Models: 100, Adapters: 110, IdleWeight: 0.01, StoreLoadRate: 6,
		Workspaces: []WorkspaceShare{
			{"harbor-cu", 0.35, 140, 12000},
			{"mill-river-cu", 0.3, 120, 11000},
			{"summit-cu", 0.15, 70, 8000},
			{"lakes-cu", 0.12, 60, 7000},
			{"overnight", 0.08, 50, 20000},
		},
	}
)

// Times in a trace, in seconds, and the sizes of its surge. A trace covers a working
// day of eight hours and a night that is shortened to four.
const (
	daySeconds   = 8 * 3600
	nightSeconds = 4 * 3600
	firstBurstAt = 1800
	surgeAt      = 7200
	surgeSeconds = 1200
	surgeFactor  = 5
	// meanTokens is the tokens per request that the request rate of the surge
	// assumes.
	meanTokens  = 430
	slowStoreAt = 14400
	outageAt    = 18000
	reclaimAt   = 21600
)

// Generate returns the trace of a fleet, sorted by time. The same fleet and seed give
// the same trace.
func Generate(f Fleet, seed uint64) []Event {
	source := rand.NewPCG(seed, 0)
	g := &generator{fleet: f, random: rand.New(source), source: source}
	g.addSessions()
	g.addBursts()
	g.addSurge()
	g.events = append(
		g.events,
		Event{Time: slowStoreAt, Kind: "slow", Factor: 4, Duration: 900},
		Event{Time: outageAt, Kind: "out", Duration: 600},
		Event{Time: outageAt + 60, Kind: "die", Index: 1, Duration: 300},
		Event{Time: surgeAt + 300, Kind: "die", Index: 0, Duration: 20},
		Event{Time: reclaimAt, Kind: "reclaim", Index: 0},
	)
	slices.SortStableFunc(g.events, func(a, b Event) int {
		switch {
		case a.Time < b.Time:
			return -1
		case a.Time > b.Time:
			return 1
		}
		return 0
	})
	return g.events
}

// generator draws the events of a trace, all from one random source.
type generator struct {
	fleet  Fleet
	random *rand.Rand
	source rand.Source
	events []Event
}

// ModelName returns the name of model i, "m" and at least two digits.
func ModelName(i int) string { return fmt.Sprintf("m%02d", i) }

// addSessions adds the regular requests of each model. Sessions start at random times,
// more often for models of a lower index, and consist of requests some seconds apart.
// During the night 85% of the sessions are left out.
func (g *generator) addSessions() {
	for i := range g.fleet.Models {
		sessionInterval := distuv.Exponential{Rate: 1 / (900 * float64(1+i)), Src: g.source}
		sessionLength := distuv.Exponential{Rate: 1.0 / 240, Src: g.source}
		requestInterval := distuv.LogNormal{Mu: 2.7, Sigma: 0.9, Src: g.source}
		workspace := g.pickWorkspace()
		for t := sessionInterval.Rand(); t < daySeconds+nightSeconds; t += sessionInterval.Rand() {
			if t > daySeconds && g.random.Float64() < 0.85 {
				continue
			}
			for end := t + sessionLength.Rand(); t < end; t += requestInterval.Rand() {
				g.addRequest(t, workspace, i)
			}
		}
	}
}

// pickWorkspace draws a workspace, with its share of the requests as its probability.
func (g *generator) pickWorkspace() string {
	remainder := g.random.Float64()
	for _, w := range g.fleet.Workspaces {
		if remainder -= w.RequestShare; remainder <= 0 {
			return w.Name
		}
	}
	return g.fleet.Workspaces[0].Name
}

func (g *generator) addRequest(t float64, workspace string, model int) {
	output := distuv.LogNormal{Mu: 5, Sigma: 0.6, Src: g.source}
	prompt := distuv.LogNormal{Mu: 5.5, Sigma: 0.8, Src: g.source}
	g.events = append(g.events, Event{
		Time:         truncateToMillis(t),
		Workspace:    workspace,
		Model:        ModelName(model),
		Index:        g.random.IntN(g.fleet.Entries),
		PromptTokens: 1 + int(min(4000, prompt.Rand())),
		OutputTokens: 1 + int(min(1000, output.Rand())),
	})
}

// truncateToMillis truncates a time in seconds to whole milliseconds.
func truncateToMillis(t float64) float64 { return float64(int(t*1000)) / 1000 }

// addBursts adds one burst an hour for one of the least popular models: 30 requests
// within two seconds, spread over all entries, which usually find the model unloaded.
func (g *generator) addBursts() {
	for n := range 6 {
		model := g.fleet.Models - 1 - n
		start := firstBurstAt + 3600*float64(n)
		workspace := g.pickWorkspace()
		for range 30 {
			g.addRequest(start+2*g.random.Float64(), workspace, model)
		}
	}
}

// addSurge makes the largest workspace send surgeFactor times its rate limit for
// surgeSeconds.
func (g *generator) addSurge() {
	largest := g.fleet.Workspaces[0]
	requestInterval := distuv.Exponential{Rate: surgeFactor * largest.Rate / meanTokens, Src: g.source}
	for t := float64(surgeAt); t < surgeAt+surgeSeconds; t += requestInterval.Rand() {
		g.addRequest(t, largest.Name, 0)
	}
}

// WriteTrace writes a trace to w as JSON, one event per line.
func WriteTrace(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	return eris.Wrap(buffered.Flush(), "write trace")
}

// ReadTrace reads a trace from the file at path. An error names the line that could not be
// decoded.
func ReadTrace(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open trace")
	}
	defer func() { _ = file.Close() }()
	var events []Event
	decoder := json.NewDecoder(bufio.NewReader(file))
	for decoder.More() {
		var e Event
		if err := decoder.Decode(&e); err != nil {
			return nil, eris.Wrapf(err, "trace line %d", len(events)+1)
		}
		events = append(events, e)
	}
	return events, nil
}
