package subscriber

import (
	"context"
	"fmt"
	"time"

	"oleanderstall/peer"
	"oleanderstall/wire"
)

// maxUnconfirmed bounds the reports that are kept until the relay confirms them.
const maxUnconfirmed = 256

// NameError reports a process that answers at another one's address.
type NameError struct {
	Want, Got string
}

// Error names both.
func (e *NameError) Error() string { return fmt.Sprintf("%s answers in place of %s", e.Got, e.Want) }

// session is a link to one relay.
type session struct {
	member  *wire.Member
	stream  peer.Stream
	cancel  context.CancelFunc
	batches chan *wire.Batch
	first   *wire.Batch
	// begun and heard are the instants of the opening and of the latest batch, reported
	// that of the latest report.
	begun    time.Duration
	heard    time.Duration
	reported time.Duration
	// received is the number of the newest batch, sent that of the newest report.
	received uint64
	sent     uint64
	// unconfirmed are the reports that the relay has not confirmed, with the instants
	// at which they were sent.
	unconfirmed []*wire.Report
	instants    []time.Duration
}

// receive returns the next batch.
func (x *session) receive() (*wire.Batch, error) {
	reply, err := x.stream.Recv()
	if err != nil {
		return nil, err
	}
	if reply.GetBatch() == nil {
		return nil, peer.Unexpected(reply)
	}
	return reply.GetBatch(), nil
}

// read passes the batches on until the stream ends.
func (x *session) read() {
	defer close(x.batches)
	for {
		t, err := x.receive()
		if err != nil {
			return
		}
		select {
		case x.batches <- t:
		case <-x.stream.Context().Done():
			return
		}
	}
}

// hear takes note of a batch.
func (x *session) hear(now time.Duration, t *wire.Batch) {
	x.heard, x.received = now, t.GetNumber()
	for len(x.unconfirmed) > 0 && x.unconfirmed[0].GetNumber() <= t.GetHeard() {
		x.unconfirmed, x.instants = x.unconfirmed[1:], x.instants[1:]
	}
}

// report sends a report. An error shows by the end of the stream.
func (x *session) report(now time.Duration, r *wire.Report) {
	x.sent++
	x.reported = now
	r.Number, r.Heard = x.sent, x.received
	x.unconfirmed, x.instants = append(x.unconfirmed, r), append(x.instants, now)
	if len(x.unconfirmed) > maxUnconfirmed {
		x.cancel()
		return
	}
	_ = x.stream.Tell(&wire.Call{Body: &wire.Call_Report{Report: r}})
}

// silent reports whether the relay has sent nothing, or has not confirmed a report, for
// that long.
func (x *session) silent(now time.Duration, silence time.Duration) bool {
	return now-x.heard > silence || len(x.instants) > 0 && now-x.instants[0] > silence
}

// open reports whether the stream has not ended.
func (x *session) open() bool { return x.stream.Context().Err() == nil }

// end ends the link.
func (x *session) end() {
	x.stream.Cancel()
	x.cancel()
}
