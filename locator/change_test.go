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

// Sizes of a large fleet as one entry sees it.
const (
	largeEngines = 600
	largeWaiting = 200
)

// largeLocator knows engines with two models each, of which the first few models are
// waited for. It returns the channels of those who wait, by model.
func largeLocator(engines int) (*Locator, map[string]<-chan struct{}) {
	c := configurer.New()
	change := &wire.Change{Version: 1, Pools: []*wire.Pool{{Name: "p", Engines: &wire.Engines{Bytes: 100, Slots: 16}}}}
	for i := range 2 * engines {
		change.Models = append(change.Models, &wire.Model{Name: largeModel(i), Pool: "p", Bytes: 40, Remote: 6000})
	}
	c.Restore(change)
	l := New("z", func() time.Duration { return time.Hour }, c, faker.Silent())
	for i := range engines {
		name := engine(i)
		l.UpdateServer(tracker.Server{ID: name, Pool: "p", Address: name, Centre: "z", Slots: 16, Started: 1}.ListedServer(1))
		l.state(time.Hour, largeWord(i, 1))
	}
	waiting := map[string]<-chan struct{}{}
	for i := range largeWaiting {
		waiting[largeModel(i)] = l.bell.wait(largeModel(i))
	}
	return l, waiting
}

func largeModel(i int) string { return fmt.Sprint("model-", i) }

// largeWord is the word on an engine that holds two models of its own.
func largeWord(i int, number uint64) *wire.EngineStatus {
	s := &wire.EngineStatus{Server: engine(i), Born: 1, Started: 1, Number: number, Free: 20}
	for _, name := range []string{largeModel(2 * i), largeModel(2*i + 1)} {
		s.Models = append(s.Models, name)
		s.Residents = append(s.Residents, &wire.Resident{Model: name, Bytes: 40})
	}
	return s
}

// TestChangeWakesFew wakes only the requests that wait for a model of the engine whose
// state has changed, among hundreds of engines and of requests.
func TestChangeWakesFew(t *testing.T) {
	l, waiting := largeLocator(largeEngines)
	const changed = 30
	l.state(time.Hour, largeWord(changed, 2))
	for name, ring := range waiting {
		concerned := name == largeModel(2*changed) || name == largeModel(2*changed+1)
		select {
		case <-ring:
			assert.Assert(t, concerned, name)
		default:
			assert.Assert(t, !concerned, name)
		}
	}
}

// BenchmarkChange is the work for a change of one engine while requests wait.
func BenchmarkChange(b *testing.B) {
	for _, engines := range []int{largeWaiting / 2, largeEngines, 4 * largeEngines} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			l, _ := largeLocator(engines)
			number := uint64(1)
			for b.Loop() {
				number++
				l.state(time.Hour, largeWord(int(number)%(largeWaiting/2), number))
				l.bell.wait(largeModel(int(number) % largeWaiting))
			}
		})
	}
}

// BenchmarkChoice is the choice of an engine for a request whose model a few of them
// hold.
func BenchmarkChoice(b *testing.B) {
	for _, engines := range []int{largeWaiting / 2, largeEngines, 4 * largeEngines} {
		b.Run(fmt.Sprint(engines), func(b *testing.B) {
			l, _ := largeLocator(engines)
			r := &dispatcher.Request{Pool: "p", Model: largeModel(7), Deadline: 2 * time.Hour, First: 2 * time.Hour}
			h := &dispatcher.History{}
			for b.Loop() {
				if l.pick(time.Hour, r, h) == nil {
					b.Fatal("no engine")
				}
			}
		})
	}
}
