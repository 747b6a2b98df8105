package imitator

import (
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Headers in which backend servers name their limit: those of the hosting platform and those of
// the own face.
const (
	hostedLimitHeader = "Server-Limit"
	ownLimitHeader    = "X-Rate-Limit"
)

// Arrival is a caller's request that has arrived at a backend server.
type Arrival struct {
	ID string
	At time.Time
}

// limitNamer names a limit in the answers of a backend server and records the requests that
// arrive. The zero value names none. It is safe for concurrent use.
type limitNamer struct {
	header string

	mu sync.Mutex
	// perSecond is the limit in requests a second, or 0, and namedAt the time since which an
	// answer has named it.
	perSecond float64
	namedAt   time.Time
	arrivals  []Arrival
}

// NameLimit makes the server name a limit in its answers, in requests a second from all
// instances together, or no limit if it is 0. The server takes further requests all the same.
func (l *limitNamer) NameLimit(perSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.perSecond, l.namedAt = perSecond, time.Time{}
}

// LimitNamed returns the time at which an answer first named the present limit, or the zero time
// if none has.
func (l *limitNamer) LimitNamed() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.namedAt
}

// Arrivals returns the requests that have arrived, in the order of their arrival, whether they
// were run or refused.
func (l *limitNamer) Arrivals() []Arrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.arrivals)
}

// recordArrival records the arrival of a caller's request.
func (l *limitNamer) recordArrival(r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, Arrival{ID: r.Header.Get("X-Request-Id"), At: time.Now()})
}

// limitLine returns the header line that names the limit, or an empty text.
func (l *limitNamer) limitLine() string {
	if value := l.nameLimit(); value != "" {
		return l.header + ": " + value + "\r\n"
	}
	return ""
}

// nameLimit returns the limit as the value of a header, or an empty text if there is none.
func (l *limitNamer) nameLimit() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.perSecond == 0 {
		return ""
	}
	if l.namedAt.IsZero() {
		l.namedAt = time.Now()
	}
	return strconv.FormatFloat(l.perSecond, 'g', -1, 64)
}

// limitWriter adds the header that names the limit to an answer as its head is written.
type limitWriter struct {
	http.ResponseWriter
	namer *limitNamer
	wrote bool
}

// nameIn returns a writer of the same answer that names the limit.
func (l *limitNamer) nameIn(w http.ResponseWriter) http.ResponseWriter {
	return &limitWriter{ResponseWriter: w, namer: l}
}

// addHeader adds the header before the head of the answer is written.
func (w *limitWriter) addHeader() {
	if value := w.namer.nameLimit(); !w.wrote && value != "" {
		w.Header().Set(w.namer.header, value)
	}
	w.wrote = true
}

// WriteHeader implements http.ResponseWriter.
func (w *limitWriter) WriteHeader(status int) {
	w.addHeader()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *limitWriter) Write(p []byte) (int, error) {
	w.addHeader()
	return w.ResponseWriter.Write(p)
}

// FlushError flushes the answer, which writes its head.
func (w *limitWriter) FlushError() error {
	w.addHeader()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer below, for http.ResponseController.
func (w *limitWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
