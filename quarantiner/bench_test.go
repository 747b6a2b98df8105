package quarantiner

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
)

// fullQuarantiner returns a quarantiner with as many records and suspects as it keeps.
func fullQuarantiner() *Quarantiner {
	q := New(0)
	for i := range maxCrashes {
		for j := range maxSuspects {
			whole := Fingerprint{ID: uint64(j*j*i) + 1<<40, Depth: 1, Whole: true}
			q.RecordCrash(time.Hour+time.Duration(i)*time.Second/4, process(i), "p", append(prints(uint64(j*j*i)), whole))
		}
	}
	return q
}

// BenchmarkFullState measures a decision with as many records as are kept, and the size of all
// records as messages.
func BenchmarkFullState(b *testing.B) {
	q, now := fullQuarantiner(), time.Hour+2*time.Minute
	bytes := 0
	for _, message := range q.All(now) {
		bytes += proto.Size(message)
	}
	for b.Loop() {
		q.stale = true
		q.Update(now)
	}
	b.ReportMetric(float64(bytes), "B/all")
}

// BenchmarkAnswer measures what an answer costs while few crashes are known.
func BenchmarkAnswer(b *testing.B) {
	q := New(0)
	for i := range 3 {
		q.RecordCrash(time.Hour+time.Duration(i)*time.Second, process(i), "p", prints(shared, fatal))
	}
	for b.Loop() {
		q.RecordAnswer(time.Hour, "p", prints(shared, middle, own))
		q.Check(time.Hour+10*time.Second, "r", "p", prints(shared, middle, own))
	}
}
