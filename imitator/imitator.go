// Package imitator provides small stand-ins for the systems around this one: the
// platform, model engines and plain services. They are meant for development, tests
// and the demo. They listen on loopback and keep all data in memory.
//
// Each stand-in injects the faults that were last sent to /faults, by PUT, as a JSON
// Fault.
package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"
)

// Fault selects the faults of a stand-in. The zero value is none.
type Fault struct {
	// Down makes every call fail with status 503.
	Down bool `json:"down"`
	// DelayMS is the delay of every call, in milliseconds.
	DelayMS int `json:"slow"`
	// LostAnswers is the number of calls, other than GET, that take effect but whose answers
	// are lost.
	LostAnswers int `json:"lose"`
	// CutStreams is the number of model streams that break off halfway, those of a hosting
	// platform's engines inside an event.
	CutStreams int `json:"cut"`
	// Unframed makes the backend servers of a hosting platform send bodies with neither a
	// length nor chunks.
	Unframed bool `json:"unframed"`
}

// faultInjector injects faults in front of the handler next.
type faultInjector struct {
	mu      sync.Mutex
	current Fault
	next    http.Handler
}

// ServeHTTP implements http.Handler. Calls to /faults set the faults.
func (f *faultInjector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/faults" {
		f.handleFault(w, r)
		return
	}
	f.mu.Lock()
	fault := f.current
	if fault.LostAnswers > 0 && r.Method != http.MethodGet {
		f.current.LostAnswers--
	}
	f.mu.Unlock()
	time.Sleep(time.Duration(fault.DelayMS) * time.Millisecond)
	if fault.Down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if fault.LostAnswers > 0 && r.Method != http.MethodGet {
		f.next.ServeHTTP(&discarder{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	f.next.ServeHTTP(w, r)
}

func (f *faultInjector) handleFault(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.setFault(fault)
}

// setFault replaces the current faults.
func (f *faultInjector) setFault(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = fault
}

// unframed reports whether bodies are sent without a length.
func (f *faultInjector) unframed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current.Unframed
}

// takeCut reports whether the calling stream is to break off, and counts it.
func (f *faultInjector) takeCut() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.CutStreams == 0 {
		return false
	}
	f.current.CutStreams--
	return true
}

// discarder is a response writer that discards the response.
type discarder struct{ header http.Header }

// Header implements http.ResponseWriter.
func (d *discarder) Header() http.Header { return d.header }

// Write implements http.ResponseWriter.
func (d *discarder) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (d *discarder) WriteHeader(int) {}

// writeJSON answers with a status and v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body of a request into v; an empty body leaves v unchanged. On
// an error it answers with status 400 and returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(r.Body).Decode(v); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
