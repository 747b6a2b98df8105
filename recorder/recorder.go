// Package recorder keeps the last decisions of a process with their reasons.
package recorder

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
)

// Record is one decision.
type Record struct {
	// At is the wall clock, in Unix milliseconds, for a reader to compare.
	At       int64  `json:"at"`
	Instance string `json:"instance"`
	Subject  string `json:"subject"`
	Text     string `json:"text"`
}

// Recorder is a ring of records. It is safe for concurrent use.
type Recorder struct {
	instance string
	mu       sync.Mutex
	ring     []Record
	next     int
}

// New returns a recorder that keeps the last size records of an instance.
func New(instance string, size int) *Recorder {
	return &Recorder{instance: instance, ring: make([]Record, 0, size)}
}

// Note records text about subject, such as model/name or request/id.
func (r *Recorder) Note(at time.Time, subject, text string) {
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

// About returns the records whose subject begins with prefix, oldest first.
func (r *Recorder) About(prefix string) []Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := []Record{}
	for i := range r.ring {
		rec := r.ring[(r.next+i)%len(r.ring)]
		if strings.HasPrefix(rec.Subject, prefix) {
			found = append(found, rec)
		}
	}
	return found
}

// Merge joins the records of several processes by time.
func Merge(lists [][]Record) []Record {
	all := []Record{}
	for _, l := range lists {
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Record) int { return cmp.Compare(a.At, b.At) })
	return all
}
