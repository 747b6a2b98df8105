// Package imitator has small stand-ins for the systems around the product: the
// platform, a model engine and a plain service. They serve development, tests
// and the demo, on loopback, and keep everything in memory.
//
// Each has fault switches, set by a PUT of a Fault as JSON on /faults.
package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault is what a stand-in does wrong.
type Fault struct {
	// Down answers every call with 503.
	Down bool `json:"down"`
	// Slow delays every call by that many milliseconds.
	Slow int `json:"slow"`
	// Lose drops the answers of that many calls after they took effect.
	Lose int `json:"lose"`
	// Cut ends that many model streams in their middle.
	Cut int `json:"cut"`
}

// faults applies fault switches to a handler.
type faults struct {
	mu    sync.Mutex
	fault Fault
	next  http.Handler
}

// ServeHTTP implements http.Handler.
func (f *faults) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		f.set(w, r)
		return
	}
	f.mu.Lock()
	now := f.fault
	if now.Lose > 0 && r.Method != http.MethodGet {
		f.fault.Lose--
	}
	f.mu.Unlock()
	time.Sleep(time.Duration(now.Slow) * time.Millisecond)
	if now.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if now.Lose > 0 && r.Method != http.MethodGet {
		f.next.ServeHTTP(&discarder{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	f.next.ServeHTTP(w, r)
}

func (f *faults) set(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.store(fault)
}

// store makes the stand-in misbehave from now on.
func (f *faults) store(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fault = fault
}

// cut spends one stream cut.
func (f *faults) cut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.fault.Cut == 0 {
		return false
	}
	f.fault.Cut--
	return true
}

// discarder is a response that nobody reads.
type discarder struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discarder) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discarder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discarder) WriteHeader(int) {}

func answer(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
