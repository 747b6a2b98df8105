package dispatcher

import (
	"context"
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/assembler"
	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
)

// twoServers is a Finder and Sender with two servers: attempts at the first one are
// abandoned, the second one answers.
type twoServers struct{ abandoned context.Context }

// Find implements Finder.
func (s twoServers) Find(_ context.Context, _ *Request, h *History) (*Reservation, error) {
	reservation := &Reservation{Name: "silent", AbandonContext: s.abandoned, Release: func(AttemptResult) {}}
	if h.Tried[reservation.Name] {
		reservation.Name, reservation.AbandonContext = "healthy", nil
	}
	return reservation, nil
}

// Send implements Sender. The silent server does not answer.
func (s twoServers) Send(ctx context.Context, reservation *Reservation, _ *Request, _ uint64) (Answer, error) {
	if reservation.Name == "healthy" {
		return emptyAnswer{}, nil
	}
	<-ctx.Done()
	return nil, refuser.MayHaveRun(refuser.ConnectionLost, "the connection was closed")
}

// emptyAnswer is an answer without events.
type emptyAnswer struct{}

func (emptyAnswer) Head() any            { return nil }
func (emptyAnswer) Info() assembler.Head { return assembler.Head{} }
func (emptyAnswer) Next() (Event, error) { return Event{}, io.EOF }
func (emptyAnswer) End() any             { return nil }
func (emptyAnswer) Close()               {}

// ServerRuns implements Answer.
func (emptyAnswer) ServerRuns(context.Context) bool { return true }

// ignoredOutput discards an answer.
type ignoredOutput struct{}

func (ignoredOutput) Begin(any) error  { return nil }
func (ignoredOutput) Pass(Event) error { return nil }

// freeCharger charges nothing and accepts every key.
type freeCharger struct{}

func (freeCharger) Charge(context.Context, *Request) (Bill, error) { return freeCharger{}, nil }
func (freeCharger) Settle(float64)                                 {}
func (freeCharger) Granted(string) bool                            { return true }

// TestAbandoned checks that a request that may be repeated goes to another server when its
// attempt is abandoned. A request that may not is refused at once, and the refusal does
// not claim that nothing ran.
func TestAbandoned(t *testing.T) {
	for _, c := range []struct {
		kind   Kind
		served bool
	}{
		{AtMostOnce, false},
		{Idempotent, true},
		{Resumable, true},
	} {
		abandoned, abandon := context.WithCancel(t.Context())
		clock := func() time.Duration { return time.Hour }
		s := twoServers{abandoned}
		core := NewCore(clock, freeCharger{}, s, s, freeCharger{}, router.NewRetryBudget(router.RetryLimits{Burst: 5}), recorder.New("a", 4), meter.New(), faker.DiscardLogger())
		time.AfterFunc(10*time.Millisecond, abandon)
		_, err := core.Serve(t.Context(), &Request{Kind: c.kind, Deadline: 2 * time.Hour}, ignoredOutput{})
		if c.served {
			assert.NilError(t, err)
			continue
		}
		assert.Assert(t, refuser.Is(err, refuser.BackendSilent), "%v", err)
		assert.Assert(t, !refuser.FromError(err).NeverRan())
	}
}
