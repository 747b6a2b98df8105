package dispatcher

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
)

// twoServers finds first a server whose attempts are abandoned and then a sound one.
type twoServers struct{ abandoned context.Context }

// Find implements Finder.
func (s twoServers) Find(_ context.Context, _ *Request, h *History) (*Reservation, error) {
	p := &Reservation{Name: "silent", Held: s.abandoned, Release: func(AttemptResult) {}}
	if h.Tried[p.Name] {
		p.Name, p.Held = "sound", nil
	}
	return p, nil
}

// Send implements Sender: the silent server does not answer.
func (s twoServers) Send(ctx context.Context, p *Reservation, _ *Request, _ uint64) (Answer, error) {
	if p.Name == "sound" {
		return empty{}, nil
	}
	<-ctx.Done()
	return nil, refuser.Unknown(refuser.Lost, "the connection was closed")
}

// empty is an answer without events.
type empty struct{}

func (empty) Head() any            { return nil }
func (empty) Failed() bool         { return false }
func (empty) Next() (Event, error) { return Event{}, io.EOF }
func (empty) End() any             { return nil }
func (empty) Close()               {}

// ignored takes an answer.
type ignored struct{}

func (ignored) Begin(any) error  { return nil }
func (ignored) Pass(Event) error { return nil }

// free charges nothing and lets everything go on.
type free struct{}

func (free) Charge(context.Context, *Request) (Bill, error) { return free{}, nil }
func (free) Settle(float64)                                 {}
func (free) Granted(string) bool                            { return true }

// TestAbandoned sends a request that may be repeated elsewhere when its attempt is
// abandoned; any other one is refused at once, without the promise that it has not run.
func TestAbandoned(t *testing.T) {
	for _, c := range []struct {
		kind   Kind
		served bool
	}{
		{Single, false},
		{Idempotent, true},
		{Resumable, true},
	} {
		abandoned, abandon := context.WithCancel(t.Context())
		clock := func() time.Duration { return time.Hour }
		s := twoServers{abandoned}
		core := NewCore(clock, free{}, s, s, free{}, router.NewBudget(router.Retries{Most: 5}), recorder.New("a", 4), meter.New(), faker.Silent())
		time.AfterFunc(10*time.Millisecond, abandon)
		_, err := core.Serve(t.Context(), &Request{Kind: c.kind, Deadline: 2 * time.Hour}, ignored{})
		if c.served {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, refuser.Is(err, refuser.Silent), "%v", err)
		assert.Assert(t, !refuser.Of(err).Never())
	}
}
