package runner

import (
	"context"
	"time"

	"oleanderstall/dispatcher"
	"oleanderstall/peer"
	"oleanderstall/refuser"
	"oleanderstall/router"
	"oleanderstall/storer"
	"oleanderstall/timer"
	"oleanderstall/wire"
)

const (
	// originTimeout bounds a question to the relay for the version that began a stream, and
	// originRetryDelay is the time after which it is asked once more: the entry that began the stream
	// may not have reported it before.
	originTimeout    = 300 * time.Millisecond
	originRetryDelay = 200 * time.Millisecond
	// originRetryAfter is the time after which a caller may take up a stream again of which nobody
	// knows the version.
	originRetryAfter = time.Second
)

// softwareState returns the versions that servers have had as state that is written to a row.
func (h *hostedProcess) softwareState() savedState {
	return savedState{key: storer.SoftwareKey, revision: h.relayer.SoftwareRevision, encode: h.relayer.EncodeSoftware}
}

// applySoftwareRow adds the versions that servers have had if their row has changed.
func (h *hostedProcess) applySoftwareRow(rows []storer.Row) {
	for _, r := range rows {
		if r.Deleted || r.Key != storer.SoftwareKey {
			continue
		}
		for _, restore := range []func([]byte, time.Time) error{h.relayer.RestoreSoftware, h.onSoftwareRead} {
			if err := restore(r.Value, time.Now()); err != nil {
				h.log.Warn().Err(err).Uint64("row", r.Version).Msg("software: unreadable row, not used")
			}
		}
	}
}

// answerOrigin answers which version began a stream.
func (h *hostedProcess) answerOrigin(query *wire.OriginQuery) *wire.Reply {
	origin := &wire.Origin{}
	if version, ok := h.relayer.FindSoftware(query); ok {
		origin.Stream, origin.Software = query.GetStream(), version
	}
	return &wire.Reply{Body: &wire.Reply_Origin{Origin: origin}}
}

// pinSoftware restricts the rest of a stream that a caller takes up to the version that began the
// stream. It refuses the request if nobody knows that version.
func (e *HostedEntry) pinSoftware(ctx context.Context, r *dispatcher.Request) error {
	if r.Kind != dispatcher.Resumable || r.FirstIndex == 0 {
		return nil
	}
	version, ok := e.locator.FindSoftware(r)
	source := "entry"
	if !ok && r.Resumes != "" {
		version, ok = e.askOrigin(ctx, r)
		source = "relay"
	}
	e.log.Info().Str("request", r.ID).Str("resumes", r.Resumes).Uint64("first", r.FirstIndex).Str("software", version).
		Bool("known", ok).Str("source", source).Msg("stream: taken up")
	if !ok {
		return refuser.New(refuser.OtherSoftware, "the version that began the stream is not known").WithRetryAfter(originRetryAfter)
	}
	r.Software = dispatcher.OnlySoftware(version)
	return nil
}

// askOrigin asks the relay in use for the version that began the stream that r takes up, twice if it
// does not know.
func (e *HostedEntry) askOrigin(ctx context.Context, r *dispatcher.Request) (version string, ok bool) {
	query := &wire.OriginQuery{Pool: r.Pool, Stream: router.Hash(r.StreamID())}
	for i := range 2 {
		if i > 0 && !timer.Wait(ctx, originRetryDelay, nil) {
			return "", false
		}
		if origin := e.askRelay(ctx, query); origin.GetStream() == query.GetStream() {
			return origin.GetSoftware(), true
		}
	}
	return "", false
}

// askRelay returns the relay's answer to a question for the version that began a stream, or nil.
func (e *HostedEntry) askRelay(ctx context.Context, query *wire.OriginQuery) *wire.Origin {
	link := e.link.Load()
	if link == nil {
		return nil
	}
	name := link.subscriber.Relay()
	if name == e.settings.Load().Name {
		return e.answerOrigin(query).GetOrigin()
	}
	member := e.membership.Find(name)
	if member == nil {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	reply, err := peer.Call(limited, e.node, member.GetAddress(), &wire.Call{Body: &wire.Call_Origin{Origin: query}})
	if err != nil {
		return nil
	}
	return reply.GetOrigin()
}
