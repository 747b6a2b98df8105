package dispatcher

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Model is an admitted completion request.
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

// Run serves a model request and passes each token's text to token. A stream that
// is cut goes on at another replica, after the tokens that were passed on. An
// error is a *refuser.Refusal.
func (d *Dispatcher) Run(ctx context.Context, m *Model, token func(text string) error) (*wire.Finish, error) {
	text := &transcript{model: m, token: token}
	end, err := d.core.Serve(ctx, m.request(d.clock(), text), text)
	if err != nil {
		return nil, err
	}
	f := end.(completed)
	d.meter.Tokens(m.Workspace.GetName(), f.Used())
	return f.Finish, nil
}

// request returns what the core reads of m.
func (m *Model) request(now time.Duration, content *transcript) *Request {
	r := &Request{
		ID:        m.ID,
		Workspace: m.Workspace.GetName(),
		Key:       m.Key.GetId(),
		Kind:      Resumable,
		Model:     base(m.Model),
		Cost:      float64(m.Cost),
		Output:    int(m.Output),
		Config:    m.Config,
		Started:   now,
		Deadline:  m.Deadline,
		Content:   content,
	}
	if m.Prefix != 0 {
		r.Prompt = []Part{{ID: m.Prefix}}
	}
	if m.Model.GetBase() != "" {
		r.Adapter = m.Model.GetName()
	}
	return r
}

// base is the model whose replicas serve m.
func base(m *wire.Model) string {
	if m.GetBase() != "" {
		return m.GetBase()
	}
	return m.GetName()
}

// affinity is the hash by which requests of the same kind go to the same replica.
func affinity(r *Request) uint64 {
	if r.Adapter != "" {
		return router.Hash(r.Adapter)
	}
	if len(r.Prompt) > 0 {
		return r.Prompt[0].ID
	}
	return 0
}

// transcript is a completion request with the text that was passed on.
type transcript struct {
	model *Model
	token func(string) error
	text  strings.Builder
}

// Begin implements Output.
func (t *transcript) Begin(any) error { return nil }

// Pass implements Output.
func (t *transcript) Pass(e Event) error {
	t.text.Write(e.Data)
	return t.token(string(e.Data))
}

// completed is the end of a completion.
type completed struct {
	*wire.Finish
}

// Used implements Usage.
func (c completed) Used() float64 { return float64(c.GetPrompt() + c.GetOutput()) }

// findReplica returns a replica of the request's model.
func (d *Dispatcher) findReplica(ctx context.Context, r *Request, h *History) (*Reservation, error) {
	spots, known := h.Memo.([]*wire.ReplicaLocation)
	if !known {
		found, err := d.find(ctx, r.Model, r.Deadline)
		if err != nil {
			return nil, err
		}
		spots = found
	}
	spot := d.pick(r, spots, h.Tried)
	if spot == nil {
		found, err := d.more(ctx, r, spots, h)
		if err != nil {
			return nil, err
		}
		spots = found
		spot = d.pick(r, spots, h.Tried)
	}
	h.Memo = spots
	if spot == nil {
		return nil, refuser.New(refuser.Busy, "no replica takes requests now").After(time.Second)
	}
	d.begin(spot.GetInstance())
	return &Reservation{
		Name:    spot.GetInstance(),
		Address: spot.GetAddress(),
		Release: func(rep AttemptResult) { d.releaseReplica(r.Model, spot.GetInstance(), rep) },
	}, nil
}

// releaseReplica takes note of the end of an attempt at a replica.
func (d *Dispatcher) releaseReplica(model, instance string, rep AttemptResult) {
	queue := -1
	if f, ok := rep.End.(completed); ok {
		queue = int(f.GetQueue())
	}
	d.end(instance, queue)
	if refuser.Is(rep.Err, refuser.Absent) || refuser.Is(rep.Err, refuser.Leaving) {
		d.forget(model)
	}
}

func (d *Dispatcher) pick(r *Request, spots []*wire.ReplicaLocation, tried map[string]bool) *wire.ReplicaLocation {
	names := make([]string, len(spots))
	for i, s := range spots {
		names[i] = s.GetInstance()
	}
	i := d.choose(names, tried, affinity(r))
	if i < 0 {
		return nil
	}
	return spots[i]
}

// more asks the holder for other replicas once all known ones were tried. It
// gives up if there are no others.
func (d *Dispatcher) more(ctx context.Context, r *Request, old []*wire.ReplicaLocation, h *History) ([]*wire.ReplicaLocation, error) {
	a := &wire.ReplicaQuery{Model: r.Model, Full: refuser.Is(h.Last, refuser.Busy)}
	for _, s := range old {
		if h.Tried[s.GetInstance()] && !a.Full {
			a.Missing = s.GetInstance()
		}
	}
	d.forget(r.Model)
	spots, err := d.ask(ctx, a, r.Deadline)
	if err != nil {
		return nil, err
	}
	if d.pick(r, spots, h.Tried) != nil {
		return spots, nil
	}
	last := h.Last
	if last == nil {
		last = refuser.New(refuser.Busy, "no replica takes requests now").After(time.Second)
	}
	if !refuser.Is(last, refuser.Absent) && !refuser.Is(last, refuser.Lost) {
		return nil, last
	}
	clear(h.Tried)
	if !timer.Wait(ctx, againAfter, nil) || d.clock() >= r.Deadline || d.pick(r, spots, h.Tried) == nil {
		return nil, last
	}
	return spots, nil
}

// againAfter is the pause before a replica is tried a second time.
const againAfter = 50 * time.Millisecond

// sendModel sends a completion request to the sidecar of a replica.
func (d *Dispatcher) sendModel(ctx context.Context, p *Reservation, r *Request, t *transcript, from uint64) (Answer, error) {
	m := t.model
	s, err := d.caller.Open(ctx, p.Address, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id:        m.ID,
		Workspace: r.Workspace,
		Key:       r.Key,
		Config:    r.Config,
		Model:     m.Model.GetName(),
		Chat:      m.Chat,
		Body:      m.Body,
		Left:      timer.ToMillis(r.Deadline - d.clock()),
		Cost:      m.Cost,
		Resume:    t.text.String(),
		Sent:      uint32(from),
	}}})
	if err != nil {
		return nil, broken(err)
	}
	return &stream{stream: s, id: m.ID, sent: from}, nil
}

// broken turns the failure of a call to a sidecar into a refusal.
func broken(err error) error {
	var r *refuser.Refusal
	if eris.As(err, &r) {
		return r
	}
	text := "the connection to the sidecar was lost: " + err.Error()
	var send *peer.SendError
	if eris.As(err, &send) && !send.Sent {
		return refuser.New(refuser.Lost, text).After(time.Second)
	}
	return refuser.Unknown(refuser.Lost, text).After(time.Second)
}

// stream is the answer of a sidecar to a completion request.
type stream struct {
	stream peer.Stream
	id     string
	sent   uint64
	finish completed
}

// Head implements Answer.
func (s *stream) Head() any { return nil }

// Failed implements Answer.
func (s *stream) Failed() bool { return false }

// End implements Answer.
func (s *stream) End() any { return s.finish }

// Close implements Answer.
func (s *stream) Close() { s.stream.Cancel() }

// Next implements Answer.
func (s *stream) Next() (Event, error) {
	reply, err := s.stream.Recv()
	if err != nil {
		return Event{}, broken(err)
	}
	if r := reply.GetRefusal(); r != nil {
		return Event{}, refuser.Parse(r)
	}
	if piece := reply.GetPiece(); piece != nil {
		if piece.GetId() != s.id {
			return Event{}, refuser.Unknown(refuser.Lost, "a token of another request arrived")
		}
		s.sent = uint64(piece.GetIndex()) + 1
		return Event{Index: uint64(piece.GetIndex()), Data: []byte(piece.GetText())}, nil
	}
	f := reply.GetFinish()
	if f.GetId() != s.id || uint64(f.GetOutput()) != s.sent {
		return Event{}, refuser.Unknown(refuser.Lost, "the end of another answer arrived")
	}
	s.finish = completed{Finish: f}
	return Event{}, io.EOF
}
