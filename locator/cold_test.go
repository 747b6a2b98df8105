package locator

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/dispatcher"
	"oleanderstall/quarantiner"
	"oleanderstall/refuser"
	"oleanderstall/tracker"
	"oleanderstall/wire"
)

// coldRate is the requests a second that the servers of coldFixture take while they are cold, and
// allowedCold the largest number that may be sent to one within a second.
const (
	coldRate    = 16
	allowedCold = 1.5*coldRate + 5
)

// coldFixture returns a fixture whose plain service has servers that may be cold, after the time
// in which starts count as seen.
func coldFixture(t *testing.T) *fixture {
	fx := newFixture(t, 0)
	view := fx.config.View()
	fx.config.Restore(&wire.Change{
		Version: 2, Models: view.Models(),
		Pools: append(view.Pools(), &wire.Pool{Name: "s", ColdTime: 3000, ColdRate: coldRate}),
	})
	fx.listServices("warm")
	time.Sleep(4 * time.Second)
	fx.sync()
	return fx
}

// listCold lists a server of the plain service whose row says for how long it is cold, or does not
// say so if left is negative.
func (fx *fixture) listCold(id string, started int64, left time.Duration) {
	fx.listServer(tracker.Server{ID: id, Pool: "s", Address: id, Centre: "z", Slots: 6, Started: started, ColdStated: left >= 0, ColdLeft: max(0, left)})
}

// flood sends a request with the given time to its target every gap for a duration. It returns the
// instants at which requests were sent to the server, and how many were served elsewhere and refused.
func (fx *fixture) flood(id string, gap, d, target time.Duration) (sent []time.Duration, elsewhere, refused int) {
	var waiting []<-chan findResult
	for end := fx.clock() + d; fx.clock() < end; time.Sleep(gap) {
		r := fx.serviceRequest(4 * time.Second)
		r.TargetTime = fx.clock() + target
		waiting = append(waiting, fx.find(context.Background(), r))
	}
	for _, results := range waiting {
		found := <-results
		switch {
		case found.err != nil:
			refused++
			assert.Assert(fx.t, refuser.FromError(found.err).NeverRan())
			continue
		case found.reservation.Name == id:
			sent = append(sent, found.at)
		default:
			elsewhere++
		}
		found.reservation.Release(dispatcher.AttemptResult{TimeToFirst: time.Millisecond, Answered: true})
	}
	return sent, elsewhere, refused
}

// mostPerSecond returns the largest number of instants within a second.
func mostPerSecond(times []time.Duration) int {
	most := 0
	for _, from := range times {
		n := 0
		for _, at := range times {
			if at >= from && at < from+time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestColdServerIsSpared guards against a cold server that gets more than it tolerates: one that has
// started and says so, one that has started and does not say so yet, and one that becomes cold
// again. It is the only server, so that all requests want it.
func TestColdServerIsSpared(t *testing.T) {
	for name, list := range map[string]func(*fixture){
		"new":       func(fx *fixture) { fx.listCold("b", 7, 3*time.Second) },
		"unstated":  func(fx *fixture) { fx.listCold("b", 7, -1) },
		"restarted": func(fx *fixture) { fx.listCold("warm", 7, -1); fx.listCold("b", 7, -1) },
		"cold again": func(fx *fixture) {
			fx.listCold("b", 1, 0)
			time.Sleep(5 * time.Second)
			fx.listCold("b", 1, 3*time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				fx := coldFixture(t)
				list(fx)
				end := fx.clock() + 3*time.Second
				fx.removeServer("warm")
				sent, _, refused := fx.flood("b", 5*time.Millisecond, 2*time.Second, 3*time.Second)
				sent = slices.DeleteFunc(sent, func(at time.Duration) bool { return at >= end })
				assert.Assert(t, mostPerSecond(sent) <= allowedCold, "%d within a second", mostPerSecond(sent))
				assert.Assert(t, len(sent) >= coldRate, "%d sent, %d refused", len(sent), refused)
			})
		})
	}
}

// TestUrgentRequestsPreferWarmServers guards against urgent requests that are sent to an idle cold
// server, or ask for a permit for it, while a warm one can run them. Others go there within its rate.
func TestUrgentRequestsPreferWarmServers(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := coldFixture(t)
		fx.listCold("b", 7, 3*time.Second)
		fx.permitDelay = 30 * time.Millisecond
		sent, elsewhere, _ := fx.flood("b", 20*time.Millisecond, time.Second, 400*time.Millisecond)
		assert.Equal(t, len(sent), 0)
		assert.Assert(t, elsewhere >= 45, "%d", elsewhere)
		assert.Equal(t, fx.permits, 0)
		busy := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		assert.Equal(t, busy.reservation.Name, "warm")
		sent, _, _ = fx.flood("b", 20*time.Millisecond, time.Second, 3*time.Second)
		assert.Assert(t, len(sent) >= 5 && mostPerSecond(sent) <= allowedCold, "%d", len(sent))
	})
}

// TestColdPhaseEnds guards against a server that is spared after the end of its cold phase, by time
// and by its row, and against requests that wait on for a permit then.
func TestColdPhaseEnds(t *testing.T) {
	for _, byRow := range []bool{false, true} {
		bubbler.Test(t, func(t *testing.T) {
			fx := coldFixture(t)
			fx.listCold("b", 7, 3*time.Second)
			assert.Equal(t, fx.locator.ColdServers(), 1)
			fx.removeServer("warm")
			if byRow {
				fx.listCold("b", 7, 0)
			} else {
				time.Sleep(3 * time.Second)
			}
			assert.Equal(t, fx.locator.ColdServers(), 0)
			sent, _, _ := fx.flood("b", 5*time.Millisecond, time.Second, time.Second)
			assert.Assert(t, len(sent) >= 190, "%d", len(sent))
			assert.Equal(t, fx.permits, 0)
		})
	}
}

// TestColdServerWithoutPacer guards against requests that reach a cold server without a permit while
// the relay that gives them out is unknown or does not answer: they are refused in time.
func TestColdServerWithoutPacer(t *testing.T) {
	for _, known := range []bool{false, true} {
		bubbler.Test(t, func(t *testing.T) {
			fx := coldFixture(t)
			fx.permitDelay = -1
			if !known {
				fx.locator.pacers = map[string]string{}
			}
			fx.listCold("b", 7, 10*time.Second)
			fx.removeServer("warm")
			start := fx.clock()
			sent, _, refused := fx.flood("b", 50*time.Millisecond, time.Second, 3*time.Second)
			assert.Equal(t, len(sent), 0)
			assert.Equal(t, refused, 20)
			assert.Assert(t, fx.clock()-start <= 6*time.Second)
		})
	}
}

// TestCrashedServerIsCold guards against a process that starts again under the identity of one that
// has crashed and gets the requests of a warm server until its row is there.
func TestCrashedServerIsCold(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := coldFixture(t)
		fx.listCold("b", 1, 0)
		fx.removeServer("warm")
		fx.locator.mu.Lock()
		fx.locator.recordCrash(quarantiner.Process{Server: "b", Started: 1}, fx.clock(), fx.serviceRequest(time.Second))
		fx.locator.mu.Unlock()
		sent, _, _ := fx.flood("b", 5*time.Millisecond, 2*time.Second, time.Second)
		assert.Assert(t, mostPerSecond(sent) <= allowedCold, "%d within a second", mostPerSecond(sent))
		fx.listCold("b", 9, 0)
		assert.Equal(t, fx.locator.ColdServers(), 0)
	})
}

// TestRefusingServerIsCold guards against a process that starts under the identity of one whose host
// has refused a connection, and gets the requests of a warm one until its row is there.
func TestRefusingServerIsCold(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := coldFixture(t)
		fx.removeServer("warm")
		fx.listCold("b", 1, 0)
		found := <-fx.find(context.Background(), fx.serviceRequest(time.Second))
		assert.NilError(t, found.err)
		found.reservation.OnFeedback(dispatcher.Feedback{Refused: true})
		found.reservation.Release(dispatcher.AttemptResult{Err: refuser.New(refuser.ConnectionLost, "refused")})
		fx.listCold("b", 1, 0)
		sent, _, _ := fx.flood("b", 5*time.Millisecond, 2*time.Second, time.Second)
		assert.Assert(t, len(sent) > 0 && mostPerSecond(sent) <= allowedCold, "%d within a second", mostPerSecond(sent))
		fx.listCold("b", 9, 0)
		assert.Equal(t, fx.locator.ColdServers(), 0)
	})
}

// TestPoolWithoutColdRate guards against a change for deployments whose servers are never cold: a
// new server gets requests at once and without permits.
func TestPoolWithoutColdRate(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		fx := newFixture(t, 0)
		fx.listServices("a")
		time.Sleep(4 * time.Second)
		fx.listCold("b", 7, 3*time.Second)
		fx.removeServer("a")
		sent, _, _ := fx.flood("b", 5*time.Millisecond, time.Second, time.Second)
		assert.Assert(t, len(sent) >= 190, "%d", len(sent))
		assert.Equal(t, fx.permits, 0)
	})
}
