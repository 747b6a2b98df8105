package locator

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/configurer"
	"oleanderstall/dispatcher"
	"oleanderstall/faker"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// Numbers of engines and of models with waiting requests in a large fleet.
const (
	largeEngines = 600
	largeWaiting = 200
)

// largeLocator returns a locator that knows engines with two models each. Requests wait for
// the first largeWaiting models; their channels are returned by model.
func largeLocator(engines int) (*Locator, map[string]<-chan struct{}) {
	c := configurer.New()
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}}}
	for i := range 2 * engines {
		change.Models = append(change.Models, &wire.Model{Name: largeModel(i), Pool: "p", Bytes: 40, Remote: 6000})
	}
	c.Restore(change)
	l := New("z", func() time.Duration { return time.Hour }, c, newQuarantine(), noPermits{}, faker.DiscardLogger())
	for i := range engines {
		name := engineName(i)
		l.UpdateServer(tracker.Server{ID: name, Pool: "p", Address: name, Centre: "z", Slots: 16, Started: 1}.ListedServer(1))
		l.updateStatus(time.Hour, largeStatus(i, 1))
	}
	waiting := map[string]<-chan struct{}{}
	for i := range largeWaiting {
		waiting[largeModel(i)] = l.notifier.subscribe(largeModel(i))
	}
	return l, waiting
}

func largeModel(i int) string { return fmt.Sprint("model-", i) }

// largeStatus returns the status of an engine that holds two models that no other engine
// holds.
func largeStatus(i int, number uint64) *wire.EngineStatus {
	s := &wire.EngineStatus{Server: engineName(i), Born: 1, Started: 1, Number: number, Free: 20}
	for _, name := range []string{largeModel(2 * i), largeModel(2*i + 1)} {
		s.Models = append(s.Models, name)
		s.Residents = append(s.Residents, &wire.Resident{Model: name, Bytes: 40})
	}
	return s
}

// TestStatusWakesConcernedRequests checks that the status of one of hundreds of engines wakes
// only the requests that wait for a model of that engine.
func TestStatusWakesConcernedRequests(t *testing.T) {
	l, waiting := largeLocator(largeEngines)
	const changed = 30
	l.updateStatus(time.Hour, largeStatus(changed, 2))
	for name, channel := range waiting {
		concerned := name == largeModel(2*changed) || name == largeModel(2*changed+1)
		select {
		case <-channel:
			assert.Assert(t, concerned, name)
		default:
			assert.Assert(t, !concerned, name)
		}
	}
}

// BenchmarkChange measures the update for a status of one engine while requests wait.
func BenchmarkChange(b *testing.B) {
	for _, engines := range []int{largeWaiting / 2, largeEngines, 4 * largeEngines} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			l, _ := largeLocator(engines)
			number := uint64(1)
			for b.Loop() {
				number++
				l.updateStatus(time.Hour, largeStatus(int(number)%(largeWaiting/2), number))
				l.notifier.subscribe(largeModel(int(number) % largeWaiting))
			}
		})
	}
}

// BenchmarkChoice measures the choice of an engine for a request whose model one of them
// holds.
func BenchmarkChoice(b *testing.B) {
	for _, engines := range []int{largeWaiting / 2, largeEngines, 4 * largeEngines} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			l, _ := largeLocator(engines)
			r := &dispatcher.Request{Pool: "p", Model: largeModel(7), Deadline: 2 * time.Hour, FirstEventDeadline: 2 * time.Hour}
			h := &dispatcher.History{}
			for b.Loop() {
				if l.pick(time.Hour, &search{request: r, history: h}, 0) == nil {
					b.Fatal("no engine")
				}
			}
		})
	}
}
