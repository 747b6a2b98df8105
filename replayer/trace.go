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
	// T is the time since the start of the trace, in seconds.
	T float64 `json:"t"`
	// K is the kind of the event: "" for a request, "slow" for a weight store that
	// is slowed down by Factor, "die" for the failure of an entry, "out" for an
	// outage of the platform, "reclaim" for the loss of an engine with its models and
	// caches.
	K string `json:"k,omitempty"`
	// Workspace, Model, PromptTokens and OutputTokens are set for requests.
	W string `json:"w,omitempty"`
	M string `json:"m,omitempty"`
	// E is the index of the entry to which a request is sent or that fails, or of the
	// engine that is lost.
	E int     `json:"e"`
	P int     `json:"p,omitempty"`
	O int     `json:"o,omitempty"`
	F float64 `json:"f,omitempty"`
	// D is how long a fault lasts, in seconds.
	D float64 `json:"d,omitempty"`
}

// At returns the time of the event since the start of the trace.
func (e Event) At() time.Duration { return time.Duration(e.T * float64(time.Second)) }

// Fleet describes the deployment for which a trace is generated.
type Fleet struct {
	Name       string
	Engines    int
	Entries    int
	Models     int
	Adapters   int
	Workspaces []Share
	// Idle is the cost of a second of idle time relative to a second of cold start.
	Idle float64
	// Loads is the rate of loads that the weight store allows, per second.
	Loads float64
}

// Share is a workspace with its share of the requests, between 0 and 1, and its
// limits: Rate in tokens per second and Burst in tokens.
type Share struct {
	Name  string
	Part  float64
	Rate  float64
	Burst float64
}

// Plooiwerk and Granite are the known deployments, at their present sizes.
var (
	Plooiwerk = Fleet{
		Name: "plooiwerk", Engines: 9, Entries: 4, Models: 50, Adapters: 55, Idle: 0.05, Loads: 3,
		Workspaces: []Share{
			{"tourism", 0.45, 90, 9000},
			{"east-flanders", 0.25, 50, 6000},
			{"west-flanders", 0.15, 40, 5000},
			{"small-municipalities", 0.1, 30, 4000},
			{"museums", 0.05, 20, 3000},
		},
	}
	Granite = Fleet{
		Name: "granite", Engines: 18, Entries: 6, Models: 100, Adapters: 110, Idle: 0.01, Loads: 6,
		Workspaces: []Share{
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
		Event{T: slowStoreAt, K: "slow", F: 4, D: 900},
		Event{T: outageAt, K: "out", D: 600},
		Event{T: outageAt + 60, K: "die", E: 1, D: 300},
		Event{T: surgeAt + 300, K: "die", E: 0, D: 20},
		Event{T: reclaimAt, K: "reclaim", E: 0},
	)
	slices.SortStableFunc(g.events, func(a, b Event) int {
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
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
		if remainder -= w.Part; remainder <= 0 {
			return w.Name
		}
	}
	return g.fleet.Workspaces[0].Name
}

func (g *generator) addRequest(t float64, workspace string, model int) {
	output := distuv.LogNormal{Mu: 5, Sigma: 0.6, Src: g.source}
	prompt := distuv.LogNormal{Mu: 5.5, Sigma: 0.8, Src: g.source}
	g.events = append(g.events, Event{
		T: truncateToMillis(t),
		W: workspace,
		M: ModelName(model),
		E: g.random.IntN(g.fleet.Entries),
		P: 1 + int(min(4000, prompt.Rand())),
		O: 1 + int(min(1000, output.Rand())),
	})
}

// truncateToMillis drops what a time in seconds has beyond whole milliseconds.
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

// Write writes a trace to w as JSON, one event per line.
func Write(w io.Writer, events []Event) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	return eris.Wrap(buffered.Flush(), "write trace")
}

// Read reads a trace from the file at path. An error names the line that could not be
// decoded.
func Read(path string) ([]Event, error) {
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
