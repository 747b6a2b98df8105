// Package recorder keeps the most recent decisions of a process and the reasons
// for them in memory.
package recorder

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record describes one decision.
type Record struct {
	// At is the wall-clock time of the decision in Unix milliseconds, which makes
	// records of different processes comparable.
	At       int64  `json:"at"`
	Instance string `json:"instance"`
	// Subject is what the decision concerns, such as model/name or request/id.
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Recorder is a ring buffer of records. It is safe for concurrent use.
type Recorder struct {
	instance string
	mu       sync.Mutex
	ring     []Record
	// next is the index of the oldest record, which is overwritten next once the
	// ring is full.
	next int
}

// New returns a recorder that keeps the last size records of an instance. The size
// must be positive.
func New(instance string, size int) *Recorder {
	return &Recorder{instance: instance, ring: make([]Record, 0, size)}
}

// Add adds a record with text about subject, such as model/name or request/id. It
// overwrites the oldest record if the ring is full.
func (r *Recorder) Add(at time.Time, subject, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := Record{At: at.UnixMilli(), Instance: r.instance, Subject: subject, Text: text}
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, rec)
		return
	}
	r.ring[r.next] = rec
	r.next = (r.next + 1) % len(r.ring)
}

// BySubject returns the records whose subject begins with prefix, the oldest first.
func (r *Recorder) BySubject(prefix string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	matching := []Record{}
	for i := range r.ring {
		rec := r.ring[(r.next+i)%len(r.ring)]
		if strings.HasPrefix(rec.Subject, prefix) {
			matching = append(matching, rec)
		}
	}
	return matching
}

// Merge returns the records of several processes, sorted by time.
func Merge(lists [][]Record) []Record {
	all := []Record{}
	for _, l := range lists {
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	return all
}
