package dispatcher

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/faker"
	"oleanderstall/meter"
	"oleanderstall/peer"
	"oleanderstall/recorder"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/wire"
)

// twoVersions are two replicas of a model, of which the first breaks off after a token and the second
// has another version, and a third one with the version of the first. It implements Finder.
type twoVersions struct {
	calls []*wire.Run
	found int
}

// Open implements peer.Caller.
func (v *twoVersions) Open(_ context.Context, _ string, call *wire.Call) (peer.Stream, error) {
	run := call.GetRun()
	v.calls = append(v.calls, run)
	piece := func(index uint32) *wire.Reply {
		return &wire.Reply{Body: &wire.Reply_Piece{Piece: &wire.Piece{Id: "r", Index: index, Text: "w", Software: "v1"}}}
	}
	switch {
	case len(v.calls) == 1:
		return &scriptedStream{replies: []*wire.Reply{piece(0)}}, nil
	case len(v.calls) == 2:
		return &scriptedStream{replies: []*wire.Reply{refuser.New(refuser.OtherSoftware, "another version").Reply()}}, nil
	}
	return &scriptedStream{replies: []*wire.Reply{piece(1), finishReply("r", 2)}}, nil
}

// Find implements Finder.
func (v *twoVersions) Find(context.Context, *Request, *History) (*Reservation, error) {
	v.found++
	return &Reservation{Name: string(rune('a' + v.found)), Release: func(AttemptResult) {}}, nil
}

// TestRestOfCompletionAtItsVersion guards against a completion that is continued by an engine of another
// version of the software: the sidecars are told which version wrote the text that the caller has, and
// one that refuses for that costs no retry.
func TestRestOfCompletionAtItsVersion(t *testing.T) {
	v := &twoVersions{}
	clock := faker.NewClock()
	d := &Dispatcher{clock: clock.Now, caller: v}
	core := NewCore(clock.Now, freeCharger{}, v, d, freeCharger{}, router.NewRetryBudget(router.RetryLimits{Burst: 1}), recorder.New("a", 4), meter.New(), faker.DiscardLogger())
	out := &transcript{completion: &Completion{ID: "r", Model: &wire.Model{Name: "m"}}, onToken: func(string) error { return nil }}
	_, err := core.Serve(t.Context(), &Request{ID: "r", Kind: Resumable, Model: "m", Deadline: clock.Now() + time.Hour, Content: out}, out)
	assert.NilError(t, err)
	assert.Equal(t, len(v.calls), 3)
	assert.Equal(t, v.calls[0].GetSoftware(), "")
	assert.Equal(t, v.calls[1].GetSoftware(), "v1")
	assert.Equal(t, v.calls[2].GetSoftware(), "v1")
	assert.Equal(t, out.text.String(), "ww")
}
