// Package replayer replays recorded traces through the decision packages with
// the trace's own time, and compares policies on what the users measure. It has
// no network and no cluster: each part replays the decisions of one package.
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

// Event is one line of a trace. The names are short because traces are long.
type Event struct {
	// T is the time in seconds since the begin of the trace.
	T float64 `json:"t"`
	// K is the kind: "" is a request, "slow" a slow weight store by factor F for
	// D seconds, "die" the death of entry E for D seconds, "out" an outage of the
	// platform for D seconds, "reclaim" the loss of engine E.
	K string  `json:"k,omitempty"`
	W string  `json:"w,omitempty"`
	M string  `json:"m,omitempty"`
	E int     `json:"e"`
	P int     `json:"p,omitempty"`
	O int     `json:"o,omitempty"`
	F float64 `json:"f,omitempty"`
	D float64 `json:"d,omitempty"`
}

// At returns the event's instant.
func (e Event) At() time.Duration { return time.Duration(e.T * float64(time.Second)) }

// Fleet is the deployment that a trace was made for.
type Fleet struct {
	Name       string
	Engines    int
	Entries    int
	Models     int
	Adapters   int
	Workspaces []Share
	// Idle is the cost of an idle second as a part of a cold second.
	Idle float64
	// Loads is the rate of the weight store, in loads a second.
	Loads float64
}

// Share is a workspace with its part of the requests and its limits.
type Share struct {
	Name  string
	Part  float64
	Rate  float64
	Burst float64
}

// Plooiwerk and Granite are the two deployments at the sizes of today.
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

// Times of a trace, in seconds: a working day of eight hours, then a night that
// is cut short to four.
const (
	daySeconds   = 8 * 3600
	nightSeconds = 4 * 3600
	burstAt      = 1800
	surgeAt      = 7200
	surgeSeconds = 1200
	surgeFactor  = 5
	meanTokens   = 430
	slowAt       = 14400
	outAt        = 18000
	reclaimAt    = 21600
)

// Generate makes the trace of a fleet from a seed.
func Generate(f Fleet, seed uint64) []Event {
	src := rand.NewPCG(seed, 0)
	g := &generator{fleet: f, random: rand.New(src), src: src}
	g.sessions()
	g.bursts()
	g.surge()
	g.events = append(
		g.events,
		Event{T: slowAt, K: "slow", F: 4, D: 900},
		Event{T: outAt, K: "out", D: 600},
		Event{T: outAt + 60, K: "die", E: 1, D: 300},
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

type generator struct {
	fleet  Fleet
	random *rand.Rand
	src    rand.Source
	events []Event
}

// ModelName returns the name of model i.
func ModelName(i int) string { return fmt.Sprintf("m%02d", i) }

// sessions makes each model's requests: sessions come at random, more often for
// popular models, and hold requests some seconds apart.
func (g *generator) sessions() {
	for i := range g.fleet.Models {
		pause := distuv.Exponential{Rate: 1 / (900 * float64(1+i)), Src: g.src}
		length := distuv.Exponential{Rate: 1.0 / 240, Src: g.src}
		gap := distuv.LogNormal{Mu: 2.7, Sigma: 0.9, Src: g.src}
		owner := g.pick()
		for t := pause.Rand(); t < daySeconds+nightSeconds; t += pause.Rand() {
			if t > daySeconds && g.random.Float64() < 0.85 {
				continue
			}
			for end := t + length.Rand(); t < end; t += gap.Rand() {
				g.request(t, owner, i)
			}
		}
	}
}

// pick draws a workspace by its part of the requests.
func (g *generator) pick() string {
	x := g.random.Float64()
	for _, w := range g.fleet.Workspaces {
		if x -= w.Part; x <= 0 {
			return w.Name
		}
	}
	return g.fleet.Workspaces[0].Name
}

func (g *generator) request(t float64, workspace string, model int) {
	output := distuv.LogNormal{Mu: 5, Sigma: 0.6, Src: g.src}
	prompt := distuv.LogNormal{Mu: 5.5, Sigma: 0.8, Src: g.src}
	g.events = append(g.events, Event{
		T: round(t),
		W: workspace,
		M: ModelName(model),
		E: g.random.IntN(g.fleet.Entries),
		P: 1 + int(min(4000, prompt.Rand())),
		O: 1 + int(min(1000, output.Rand())),
	})
}

func round(t float64) float64 { return float64(int(t*1000)) / 1000 }

// bursts sends first requests for cold models at all entries at once.
func (g *generator) bursts() {
	for n := range 6 {
		model := g.fleet.Models - 1 - n
		at := burstAt + 3600*float64(n)
		owner := g.pick()
		for range 30 {
			g.request(at+2*g.random.Float64(), owner, model)
		}
	}
}

// surge lets the largest workspace send several times its rate for a while.
func (g *generator) surge() {
	large := g.fleet.Workspaces[0]
	gap := distuv.Exponential{Rate: surgeFactor * large.Rate / meanTokens, Src: g.src}
	for t := float64(surgeAt); t < surgeAt+surgeSeconds; t += gap.Rand() {
		g.request(t, large.Name, 0)
	}
}

// Write writes a trace, one event a line.
func Write(w io.Writer, events []Event) error {
	out := bufio.NewWriter(w)
	enc := json.NewEncoder(out)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return eris.Wrap(err, "write trace")
		}
	}
	return eris.Wrap(out.Flush(), "write trace")
}

// Read reads the trace at path.
func Read(path string) ([]Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "open trace")
	}
	defer func() { _ = file.Close() }()
	var events []Event
	dec := json.NewDecoder(bufio.NewReader(file))
	for dec.More() {
		var e Event
		if err := dec.Decode(&e); err != nil {
			return nil, eris.Wrapf(err, "trace line %d", len(events)+1)
		}
		events = append(events, e)
	}
	return events, nil
}
