package locator

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/dispatcher"
)

// silent answers for all hosts but those named.
type silent map[string]bool

// Answers implements Prober.
func (s silent) Answers(ctx context.Context, address string) bool {
	if s[address] {
		<-ctx.Done()
		return false
	}
	return true
}

// sent returns the place of a request of a kind whose caller waits that long for the
// first event.
func (r *rig) sent(model string, k dispatcher.Kind, patience time.Duration) *dispatcher.Reservation {
	q := r.request(model, time.Minute)
	q.Kind, q.First = k, r.clock()+patience
	f := <-r.find(context.Background(), q)
	assert.NilError(r.t, f.err)
	return f.place
}

// TestAbandons gives up, shortly after the host of an engine has stopped answering, the
// attempts there that may go elsewhere, and of the others those whose callers will have
// left if the host stays silent as long again. An entry that hears of no other server
// either blames itself.
func TestAbandons(t *testing.T) {
	for _, c := range []struct {
		name   string
		hosts  silent
		others bool
		// idempotent, hurried and patient tell which attempts are given up.
		idempotent, hurried, patient bool
	}{
		{"silent", silent{engine(0): true}, true, true, true, false},
		{"answers", silent{}, true, false, false, false},
		{"cut off", silent{engine(0): true, engine(1): true}, false, false, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				r := newRig(t, 2)
				r.state(0, nil, "m")
				r.state(1, nil, "n")
				go r.locator.Probe(ctx, c.hosts)
				other := r.sent("n", dispatcher.Single, time.Minute)
				idempotent := r.sent("m", dispatcher.Idempotent, time.Minute)
				hurried := r.sent("m", dispatcher.Single, 2*time.Second)
				patient := r.sent("m", dispatcher.Single, 30*time.Second)
				for range 30 {
					time.Sleep(50 * time.Millisecond)
					if c.others {
						other.OnActivity(r.clock())
					}
				}
				assert.NilError(t, other.Held.Err())
				assert.Equal(t, idempotent.Held.Err() != nil, c.idempotent)
				assert.Equal(t, hurried.Held.Err() != nil, c.hurried)
				assert.Equal(t, patient.Held.Err() != nil, c.patient)
			})
		})
	}
}
