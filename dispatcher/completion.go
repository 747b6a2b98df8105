package dispatcher

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"oleanderstall/assembler"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

// Completion is an admitted completion request.
type Completion struct {
	ID        string
	Key       *wire.Key
	Workspace *wire.Workspace
	Model     *wire.Model
	Chat      bool
	Body      []byte
	// Cost is the upper bound of prompt and output tokens together.
	Cost uint32
	// MaxOutputTokens is the upper bound of output tokens.
	MaxOutputTokens uint32
	// PrefixHash is the hash of the beginning of the prompt, or 0. Messages are the hashes of
	// its messages, of which a text completion has one.
	PrefixHash uint64
	Messages   []uint64
	// Digest is the hash of the content of the request.
	Digest        uint64
	ConfigVersion uint64
	Deadline      time.Duration
}

// Run serves a completion request and passes the text of each token to onToken. A stream
// that is cut is continued by another replica, after the tokens passed on. An error is a
// *refuser.Refusal.
func (d *Dispatcher) Run(ctx context.Context, completion *Completion, onToken func(text string) error) (*wire.Finish, error) {
	output := &transcript{completion: completion, onToken: onToken}
	end, err := d.core.Serve(ctx, completion.request(d.clock(), output), output)
	if err != nil {
		return nil, err
	}
	finished := end.(completionEnd)
	d.meter.RecordTokens(completion.Workspace.GetName(), finished.Used())
	return finished.Finish, nil
}

// request returns c as a request of the core.
func (c *Completion) request(now time.Duration, content *transcript) *Request {
	r := &Request{
		ID:              c.ID,
		Workspace:       c.Workspace.GetName(),
		KeyID:           c.Key.GetId(),
		Kind:            Resumable,
		Model:           baseModel(c.Model),
		Cost:            float64(c.Cost),
		MaxOutputTokens: int(c.MaxOutputTokens),
		ConfigVersion:   c.ConfigVersion,
		Started:         now,
		Deadline:        c.Deadline,
		Digest:          NewDigest(c.Workspace.GetName(), c.Digest),
		Content:         content,
	}
	if c.PrefixHash != 0 {
		r.Prompt = []PromptPart{{ID: c.PrefixHash}}
	}
	for _, hash := range c.Messages {
		r.Prompt = append(r.Prompt, PromptPart{ID: hash})
	}
	if c.Model.GetBase() != "" {
		r.Adapter = c.Model.GetName()
	}
	return r
}

// baseModel returns the name of the model whose replicas serve m: m itself or, for an
// adapter, its base.
func baseModel(m *wire.Model) string {
	if m.GetBase() != "" {
		return m.GetBase()
	}
	return m.GetName()
}

// affinityHash returns the hash that sends requests for the same adapter, or with the same
// beginning of the prompt, to the same replica. It is 0 if there is neither.
func affinityHash(r *Request) uint64 {
	if r.Adapter != "" {
		return router.Hash(r.Adapter)
	}
	if len(r.Prompt) > 0 {
		return r.Prompt[0].ID
	}
	return 0
}

// transcript is a completion request with the text that was passed on, which a replica
// needs to continue the answer. It is the request's Output.
type transcript struct {
	completion *Completion
	onToken    func(string) error
	text       strings.Builder
	// software is the version of the software of the engine that began the text.
	software string
}

// Begin implements Output.
func (t *transcript) Begin(any) error { return nil }

// Pass implements Output.
func (t *transcript) Pass(e Event) error {
	t.text.Write(e.Data)
	return t.onToken(string(e.Data))
}

// completionEnd is the end of a completion, with its token counts.
type completionEnd struct {
	*wire.Finish
}

// Used implements Usage.
func (c completionEnd) Used() float64 { return float64(c.GetPrompt() + c.GetOutput()) }

// findReplica returns a reservation at a replica of the request's model. It keeps the
// replicas in the history and queries the holder again once all were tried.
func (d *Dispatcher) findReplica(ctx context.Context, r *Request, h *History) (*Reservation, error) {
	locations, known := h.FinderState.([]*wire.ReplicaLocation)
	if !known {
		found, err := d.lookUpReplicas(ctx, r.Model, r.Deadline)
		if err != nil {
			return nil, err
		}
		locations = found
	}
	location := d.pickReplica(r, locations, h.Tried)
	if location == nil {
		found, err := d.queryOtherReplicas(ctx, r, locations, h)
		if err != nil {
			return nil, err
		}
		locations = found
		location = d.pickReplica(r, locations, h.Tried)
	}
	h.FinderState = locations
	if location == nil {
		return nil, d.noneTakes(instanceNames(locations), "no replica takes requests now")
	}
	d.requestStarted(location.GetInstance())
	return &Reservation{
		Name:    location.GetInstance(),
		Address: location.GetAddress(),
		Release: func(result AttemptResult) { d.releaseReplica(r.Model, location.GetInstance(), result) },
	}, nil
}

// releaseReplica records the end of an attempt at a replica. If the sidecar does not have
// the model or is leaving, the cached replicas of the model are dropped.
func (d *Dispatcher) releaseReplica(model, instance string, result AttemptResult) {
	queueLength := -1
	if end, ok := result.End.(completionEnd); ok {
		queueLength = int(end.GetQueue())
	}
	d.requestEnded(instance, queueLength)
	d.recordResult(instance, result)
	if refuser.Is(result.Err, refuser.NotResident) || refuser.Is(result.Err, refuser.Leaving) {
		d.forgetReplicas(model)
	}
}

// pickReplica returns the replica to try next, or nil if there is none.
func (d *Dispatcher) pickReplica(r *Request, locations []*wire.ReplicaLocation, tried map[string]bool) *wire.ReplicaLocation {
	i := d.choose(instanceNames(locations), tried, affinityHash(r))
	if i < 0 {
		return nil
	}
	return locations[i]
}

// instanceNames returns the names of the instances of replicas.
func instanceNames(locations []*wire.ReplicaLocation) []string {
	names := make([]string, len(locations))
	for i, l := range locations {
		names[i] = l.GetInstance()
	}
	return names
}

// queryOtherReplicas queries the holder for more replicas once all known ones were tried.
// If there is no untried one, it returns the error of the last attempt. If that attempt did
// not find the model at the replica or lost the connection, the replicas are first allowed
// to be tried a second time, after secondTryDelay.
func (d *Dispatcher) queryOtherReplicas(ctx context.Context, r *Request, known []*wire.ReplicaLocation, h *History) ([]*wire.ReplicaLocation, error) {
	none := d.noneTakes(instanceNames(known), "no replica takes requests now")
	query := &wire.ReplicaQuery{Model: r.Model, Full: refuser.Is(h.LastError, refuser.Busy) || none.Kind() == refuser.BackendLimited}
	for _, l := range known {
		if h.Tried[l.GetInstance()] && !query.Full {
			query.Missing = l.GetInstance()
		}
	}
	d.forgetReplicas(r.Model)
	locations, err := d.queryHolder(ctx, query, r.Deadline)
	if err != nil {
		return nil, err
	}
	if d.pickReplica(r, locations, h.Tried) != nil {
		return locations, nil
	}
	lastErr := h.LastError
	if lastErr == nil || none.Kind() == refuser.BackendLimited {
		lastErr = d.noneTakes(instanceNames(locations), none.Text())
	}
	if !refuser.Is(lastErr, refuser.NotResident) && !refuser.Is(lastErr, refuser.ConnectionLost) {
		return nil, lastErr
	}
	clear(h.Tried)
	if !timer.Wait(ctx, secondTryDelay, nil) || d.clock() >= r.Deadline || d.pickReplica(r, locations, h.Tried) == nil {
		return nil, lastErr
	}
	return locations, nil
}

// secondTryDelay is the delay before a replica is tried a second time.
const secondTryDelay = 50 * time.Millisecond

// sendCompletion sends a completion request to the sidecar of a replica, with the text
// passed on so far.
func (d *Dispatcher) sendCompletion(ctx context.Context, reservation *Reservation, r *Request, t *transcript, from uint64) (Answer, error) {
	completion := t.completion
	s, err := d.caller.Open(ctx, reservation.Address, &wire.Call{Body: &wire.Call_Run{Run: &wire.Run{
		Id:        completion.ID,
		Workspace: r.Workspace,
		Key:       r.KeyID,
		Config:    r.ConfigVersion,
		Model:     completion.Model.GetName(),
		Chat:      completion.Chat,
		Body:      completion.Body,
		Left:      timer.ToMillis(r.Deadline - d.clock()),
		Cost:      completion.Cost,
		Resume:    t.text.String(),
		Sent:      uint32(from),
		Software:  t.software,
	}}})
	if err != nil {
		return nil, sidecarRefusal(err)
	}
	return &completionStream{stream: s, requestID: completion.ID, received: from, transcript: t}, nil
}

// sidecarRefusal turns the failure of a call to a sidecar into a refusal. It states that
// the request did not run only if no byte of the call was sent.
func sidecarRefusal(err error) error {
	var r *refuser.Refusal
	if eris.As(err, &r) {
		return r
	}
	text := "the connection to the sidecar was lost: " + err.Error()
	var sendErr *peer.SendError
	if eris.As(err, &sendErr) && !sendErr.Sent {
		return refuser.New(refuser.ConnectionLost, text).WithRetryAfter(time.Second)
	}
	return refuser.MayHaveRun(refuser.ConnectionLost, text).WithRetryAfter(time.Second)
}

// completionStream is the answer of a sidecar to a completion request. It refuses tokens
// and ends of other requests.
type completionStream struct {
	stream peer.Stream
	// transcript keeps the version of the engine that begins the text. It may be nil.
	transcript *transcript
	requestID  string
	// received counts the tokens of the answer up to now, with those of earlier attempts.
	received uint64
	// begun is set once a token of this attempt has arrived, and ended once its end has.
	begun bool
	ended bool
	end   completionEnd
}

// Head implements Answer.
func (s *completionStream) Head() any { return nil }

// Info implements Answer.
func (s *completionStream) Info() assembler.Head {
	return assembler.Head{Status: http.StatusOK, Stream: true, Framing: assembler.Message}
}

// ServerRuns implements Answer. It is not asked, since the end of the answer is a message.
func (*completionStream) ServerRuns(context.Context) bool { return true }

// End implements Answer.
func (s *completionStream) End() any { return s.end }

// Close implements Answer.
func (s *completionStream) Close() { s.stream.Cancel() }

// Next implements Answer. Nothing is read after the end.
func (s *completionStream) Next() (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	reply, err := s.stream.Recv()
	if err != nil {
		return Event{}, sidecarRefusal(err)
	}
	if r := reply.GetRefusal(); r != nil {
		return Event{}, s.refusal(r)
	}
	if piece := reply.GetPiece(); piece != nil {
		if piece.GetId() != s.requestID {
			return Event{}, refuser.MayHaveRun(refuser.ConnectionLost, "a token of another request arrived")
		}
		if s.transcript != nil && piece.GetIndex() == 0 {
			s.transcript.software = piece.GetSoftware()
		}
		s.begun = true
		s.received = uint64(piece.GetIndex()) + 1
		return Event{Index: uint64(piece.GetIndex()), Data: []byte(piece.GetText())}, nil
	}
	finish := reply.GetFinish()
	if finish.GetId() != s.requestID || uint64(finish.GetOutput()) != s.received {
		return Event{}, refuser.MayHaveRun(refuser.ConnectionLost, "the end of another answer arrived")
	}
	s.ended, s.end = true, completionEnd{Finish: finish}
	return Event{}, io.EOF
}

// refusal returns the refusal of a sidecar. A request of which a token has arrived has run,
// whatever the sidecar says.
func (s *completionStream) refusal(w *wire.Refusal) error {
	r := refuser.FromWire(w)
	if !s.begun || !r.NeverRan() {
		return r
	}
	return refuser.MayHaveRun(r.Kind(), r.Text()).WithRetryAfter(r.RetryAfter())
}
