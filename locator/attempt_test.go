package locator

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/bubbler"
	"oleanderstall/dispatcher"
)

// silentHosts is a Prober to which all hosts answer but those named.
type silentHosts map[string]bool

// HostResponds implements Prober.
func (s silentHosts) HostResponds(ctx context.Context, address string) bool {
	if s[address] {
		<-ctx.Done()
		return false
	}
	return true
}

// Refuses implements Prober. No host refuses connections.
func (s silentHosts) Refuses(context.Context, string) bool { return false }

// sendRequest returns the reservation of a request of a kind whose caller waits for the first
// event for at most firstEventTimeout.
func (fx *fixture) sendRequest(model string, k dispatcher.Kind, firstEventTimeout time.Duration) *dispatcher.Reservation {
	request := fx.newRequest(model, time.Minute)
	request.Kind, request.FirstEventDeadline = k, fx.clock()+firstEventTimeout
	found := <-fx.find(context.Background(), request)
	assert.NilError(fx.t, found.err)
	return found.reservation
}

// TestAbandonsAttemptsAtSilentHost checks which attempts are cancelled shortly after the
// host of an engine has stopped answering probes: those that may run again elsewhere, and
// of the others those whose callers would time out if the silence lasted as long again. None
// are cancelled if no other server has been active either, since it is then the entry that
// is cut off.
func TestAbandonsAttemptsAtSilentHost(t *testing.T) {
	for _, c := range []struct {
		name  string
		hosts silentHosts
		// otherActive is set if the other server is active meanwhile.
		otherActive bool
		// idempotent, shortTimeout and longTimeout are set if the attempt of that name is
		// cancelled.
		idempotent, shortTimeout, longTimeout bool
	}{
		{"silent", silentHosts{engineName(0): true}, true, true, true, false},
		{"answers", silentHosts{}, true, false, false, false},
		{"cut off", silentHosts{engineName(0): true, engineName(1): true}, false, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			bubbler.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				fx := newFixture(t, 2)
				fx.reportStatus(0, nil, "m")
				fx.reportStatus(1, nil, "n")
				go fx.locator.Probe(ctx, c.hosts)
				other := fx.sendRequest("n", dispatcher.AtMostOnce, time.Minute)
				idempotent := fx.sendRequest("m", dispatcher.Idempotent, time.Minute)
				shortTimeout := fx.sendRequest("m", dispatcher.AtMostOnce, 2*time.Second)
				longTimeout := fx.sendRequest("m", dispatcher.AtMostOnce, 30*time.Second)
				for range 30 {
					time.Sleep(50 * time.Millisecond)
					if c.otherActive {
						other.OnActivity(fx.clock())
					}
				}
				assert.NilError(t, other.AbandonContext.Err())
				assert.Equal(t, idempotent.AbandonContext.Err() != nil, c.idempotent)
				assert.Equal(t, shortTimeout.AbandonContext.Err() != nil, c.shortTimeout)
				assert.Equal(t, longTimeout.AbandonContext.Err() != nil, c.longTimeout)
			})
		})
	}
}
