package subscriber

import (
	"context"
	"fmt"
	"time"

	"oleanderstall/peer"
	"oleanderstall/wire"
)

// maxUnconfirmed bounds the reports that are kept until the relay confirms them. A session
// with more of them ends.
const maxUnconfirmed = 256

// WrongProcessError reports that a process other than the expected one, Want, answered at
// its address.
type WrongProcessError struct {
	Want, Got string
}

// Error implements error.
func (e *WrongProcessError) Error() string {
	return fmt.Sprintf("%s answers at the address of %s", e.Got, e.Want)
}

// session is a link to one relay.
type session struct {
	// member is the relay's process.
	member *wire.Member
	stream peer.Stream
	cancel context.CancelFunc
	// batches passes on the batches after first.
	batches chan *wire.Batch
	first   *wire.Batch
	// openedAt, lastBatchAt and lastReportAt are the instants at which the link was opened,
	// the latest batch arrived and the latest report was sent.
	openedAt     time.Duration
	lastBatchAt  time.Duration
	lastReportAt time.Duration
	// batchNumber is the number of the newest batch, reportNumber that of the newest report.
	batchNumber  uint64
	reportNumber uint64
	// unconfirmed are the reports that the relay has not confirmed, the oldest first, and
	// sentAt the instants at which they were sent.
	unconfirmed []*wire.Report
	sentAt      []time.Duration
}

// receive waits for the next batch.
func (s *session) receive() (*wire.Batch, error) {
	reply, err := s.stream.Recv()
	if err != nil {
		return nil, err
	}
	if reply.GetBatch() == nil {
		return nil, peer.UnexpectedReply(reply)
	}
	return reply.GetBatch(), nil
}

// forwardBatches passes the received batches on until the stream ends.
func (s *session) forwardBatches() {
	defer close(s.batches)
	for {
		batch, err := s.receive()
		if err != nil {
			return
		}
		select {
		case s.batches <- batch:
		case <-s.stream.Context().Done():
			return
		}
	}
}

// recordBatch records the arrival of a batch and drops the reports that it confirms.
func (s *session) recordBatch(now time.Duration, batch *wire.Batch) {
	s.lastBatchAt, s.batchNumber = now, batch.GetNumber()
	for len(s.unconfirmed) > 0 && s.unconfirmed[0].GetNumber() <= batch.GetHeard() {
		s.unconfirmed, s.sentAt = s.unconfirmed[1:], s.sentAt[1:]
	}
}

// send sends a report. It returns no error, because a stream ends after it has failed.
func (s *session) send(now time.Duration, report *wire.Report) {
	s.reportNumber++
	s.lastReportAt = now
	report.Number, report.Heard = s.reportNumber, s.batchNumber
	s.unconfirmed, s.sentAt = append(s.unconfirmed, report), append(s.sentAt, now)
	if len(s.unconfirmed) > maxUnconfirmed {
		s.cancel()
		return
	}
	_ = s.stream.SendCall(&wire.Call{Body: &wire.Call_Report{Report: report}})
}

// timedOut reports whether the relay has sent no batch, or has not confirmed a report, for
// longer than the timeout.
func (s *session) timedOut(now time.Duration, timeout time.Duration) bool {
	return now-s.lastBatchAt > timeout || len(s.sentAt) > 0 && now-s.sentAt[0] > timeout
}

// isOpen reports whether the stream is still open.
func (s *session) isOpen() bool { return s.stream.Context().Err() == nil }

// close ends the link.
func (s *session) close() {
	s.stream.Cancel()
	s.cancel()
}
