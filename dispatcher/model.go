package dispatcher

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Model is an admitted model request.
type Model struct {
	ID        string
	Key       *wire.Key
	Workspace *wire.Workspace
	Model     *wire.Model
	Chat      bool
	Body      []byte
	// Cost is the upper bound of prompt and output tokens.
	Cost uint32
	// Output is the upper bound of output tokens.
	Output uint32
	// Prefix is the hash of the prompt's beginning, or 0.
	Prefix   uint64
	Config   uint64
	Deadline time.Duration
}

// againAfter is the pause before a replica is tried a second time.
const againAfter = 50 * time.Millisecond

// progress is what a caller has received so far.
type progress struct {
	text strings.Builder
	sent uint32
	// open is set once an attempt has ended that may have run.
	open bool
}

// note takes note of an attempt that failed.
func (p *progress) note(err error) {
	p.open = p.open || !refuser.Of(err).Never()
}

// Run serves a model request and passes each token's text to token. A stream that
// is cut goes on at another replica, after the tokens that were passed on. An
// error is a *refuser.Refusal.
func (d *Dispatcher) Run(ctx context.Context, m *Model, token func(text string) error) (*wire.Finish, error) {
	begun := d.clock()
	bill, err := d.charge(ctx, m.Workspace, float64(m.Cost))
	if err != nil {
		return nil, d.refused(m, err)
	}
	d.earn()
	p := &progress{}
	pass := func(text string) error {
		if p.sent == 0 {
			d.meter.First(m.Workspace.GetName(), d.clock()-begun)
		}
		p.sent++
		p.text.WriteString(text)
		return token(text)
	}
	finish, err := d.attempts(ctx, m, p, pass)
	if err != nil {
		d.settle(bill, used(m, p, err))
		return nil, d.refused(m, err)
	}
	tokens := float64(finish.GetPrompt() + finish.GetOutput())
	d.settle(bill, tokens)
	d.meter.Tokens(m.Workspace.GetName(), tokens)
	d.meter.Request(m.Workspace.GetName(), "served")
	return finish, nil
}

// used is the upper bound of what a failed request used.
func used(m *Model, p *progress, err error) float64 {
	if p.sent == 0 && refuser.Of(err).Never() {
		return 0
	}
	return float64(m.Cost - m.Output + p.sent)
}

// refused counts and records a refusal and hands it back.
func (d *Dispatcher) refused(m *Model, err error) error {
	r := refuser.Of(err)
	name := m.Workspace.GetName()
	d.meter.Request(name, r.Kind().String())
	switch r.Kind() {
	case refuser.Limited, refuser.TooLarge, refuser.Canceled:
	default:
		d.meter.Wrongful(name, r.Kind().String())
	}
	d.recorder.Note(time.Now(), "request/"+m.ID, "workspace "+name+", model "+m.Model.GetName()+": "+r.Error())
	return r
}

// base is the model whose replicas serve m.
func base(m *wire.Model) string {
	if m.GetBase() != "" {
		return m.GetBase()
	}
	return m.GetName()
}

// attempts tries replicas until one has finished the answer.
func (d *Dispatcher) attempts(ctx context.Context, m *Model, p *progress, token func(string) error) (*wire.Finish, error) {
	name := base(m.Model)
	spots, err := d.find(ctx, name, m.Deadline)
	if err != nil {
		return nil, err
	}
	tried := map[string]bool{}
	for {
		spot := d.pick(m, spots, tried)
		if spot == nil {
			spots, err = d.more(ctx, m, spots, tried, err)
			if err != nil {
				return nil, outcome(err, p.open)
			}
			continue
		}
		var finish *wire.Finish
		finish, err = d.attempt(ctx, m, spot, p, token)
		if err == nil {
			return finish, nil
		}
		tried[spot.GetInstance()] = true
		p.note(err)
		if !d.again(m, spot, p, err) {
			return nil, outcome(err, p.open)
		}
	}
}

// outcome is what the caller is told. If an earlier attempt may have run, that
// the last one has not does not mean that nothing ran.
func outcome(err error, open bool) error {
	r := refuser.Of(err)
	if open && r.Never() {
		return refuser.Unknown(r.Kind(), r.Text()).After(r.Retry())
	}
	return r
}

func (d *Dispatcher) pick(m *Model, spots []*wire.Spot, tried map[string]bool) *wire.Spot {
	names := make([]string, len(spots))
	for i, s := range spots {
		names[i] = s.GetInstance()
	}
	prefix := m.Prefix
	if m.Model.GetBase() != "" {
		prefix = router.Hash(m.Model.GetName())
	}
	i := d.choose(names, tried, prefix)
	if i < 0 {
		return nil
	}
	return spots[i]
}

// more asks the holder for other replicas once all known ones were tried. It
// gives up if there are no others.
func (d *Dispatcher) more(ctx context.Context, m *Model, old []*wire.Spot, tried map[string]bool, last error) ([]*wire.Spot, error) {
	name, deadline := base(m.Model), m.Deadline
	a := &wire.Ask{Model: name, Full: refuser.Is(last, refuser.Busy)}
	for _, s := range old {
		if tried[s.GetInstance()] && !a.Full {
			a.Missing = s.GetInstance()
		}
	}
	d.forget(name)
	spots, err := d.ask(ctx, a, deadline)
	if err != nil {
		return nil, err
	}
	if d.pick(m, spots, tried) != nil {
		return spots, nil
	}
	if last == nil {
		last = refuser.New(refuser.Busy, "no replica takes requests now").After(time.Second)
	}
	if !refuser.Is(last, refuser.Absent) && !refuser.Is(last, refuser.Lost) {
		return nil, last
	}
	clear(tried)
	if !sleep(ctx, againAfter) || d.clock() >= m.Deadline || d.pick(m, spots, tried) == nil {
		return nil, last
	}
	return spots, nil
}

// again reports whether to try another replica after err. Only what has not run,
// or a stream whose tokens so far are known, is tried again.
func (d *Dispatcher) again(m *Model, spot *wire.Spot, p *progress, err error) bool {
	r := refuser.Of(err)
	switch r.Kind() {
	case refuser.Absent, refuser.Leaving:
		d.forget(base(m.Model))
		return true
	case refuser.Busy, refuser.Stale, refuser.Lost:
	default:
		return false
	}
	if d.clock() >= m.Deadline || !d.spend() {
		return false
	}
	d.recorder.Note(time.Now(), "request/"+m.ID, "attempt at "+spot.GetInstance()+" after "+
		strconv.Itoa(int(p.sent))+" tokens: "+r.Error())
	return true
}

// attempt sends the request to one replica and passes its tokens on.
func (d *Dispatcher) attempt(ctx context.Context, m *Model, spot *wire.Spot, p *progress, token func(string) error) (finish *wire.Finish, err error) {
	d.begin(spot.GetInstance())
	defer func() {
		queue := -1
		if finish != nil {
			queue = int(finish.GetQueue())
		}
		d.end(spot.GetInstance(), queue)
	}()
	limited, cancel := context.WithTimeout(ctx, m.Deadline-d.clock())
	defer cancel()
	s, err := d.caller.Open(limited, spot.GetAddress(), &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id:        m.ID,
		Workspace: m.Workspace.GetName(),
		Key:       m.Key.GetId(),
		Config:    m.Config,
		Model:     m.Model.GetName(),
		Chat:      m.Chat,
		Body:      m.Body,
		Left:      timer.Millis(m.Deadline - d.clock()),
		Cost:      m.Cost,
		Resume:    p.text.String(),
		Sent:      p.sent,
	}}})
	if err != nil {
		return nil, d.broken(ctx, limited, err)
	}
	defer s.Cancel()
	for {
		reply, err := s.Recv()
		if err != nil {
			return nil, d.broken(ctx, limited, err)
		}
		finish, err := d.take(m, p, reply, token)
		if finish != nil || err != nil {
			return finish, err
		}
	}
}

// broken turns the failure of a stream into a refusal.
func (d *Dispatcher) broken(ctx, limited context.Context, err error) error {
	var send *peer.SendError
	sent := !eris.As(err, &send) || send.Sent
	kind, text := refuser.Lost, "the connection to the sidecar was lost: "+err.Error()
	switch {
	case ctx.Err() != nil:
		kind, text = refuser.Canceled, "the caller has given up"
	case limited.Err() != nil:
		kind, text = refuser.Late, "the deadline has passed"
	}
	if sent {
		return refuser.Unknown(kind, text).After(time.Second)
	}
	return refuser.New(kind, text).After(time.Second)
}

// granted refuses to go on with a request whose key was withdrawn meanwhile.
func (d *Dispatcher) granted(m *Model) error {
	if d.member.View().Key(m.Key.GetId()) != nil {
		return nil
	}
	return refuser.Unknown(refuser.Unauthorized, "the key was withdrawn during the answer")
}

// take handles one message of a stream. Tokens have to follow one another
// without a gap, and belong to this request.
func (d *Dispatcher) take(m *Model, p *progress, reply *wire.Reply, token func(string) error) (*wire.Finish, error) {
	if r := reply.GetRefusal(); r != nil {
		return nil, refuser.Parse(r)
	}
	if piece := reply.GetPiece(); piece != nil {
		if piece.GetId() != m.ID || piece.GetIndex() != p.sent {
			return nil, refuser.Unknown(refuser.Lost, "a token of another request or place arrived")
		}
		if err := d.granted(m); err != nil {
			return nil, err
		}
		if err := token(piece.GetText()); err != nil {
			return nil, refuser.Unknown(refuser.Canceled, "the caller has given up")
		}
		return nil, nil
	}
	finish := reply.GetFinish()
	if finish.GetId() != m.ID || finish.GetOutput() != p.sent {
		return nil, refuser.Unknown(refuser.Lost, "the end of another answer arrived")
	}
	return finish, nil
}
