// Package logger writes the structured log of a process: one line of JSON an event,
// never waiting for whoever reads it.
package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"oleanderstall/timer"
)

// Options bound the volume of a log.
type Options struct {
	// Level is the least level that is written, such as "info".
	Level string
	// Queue is the number of lines that wait for the reader; more are dropped.
	Queue uint
	// Rate is the number of lines a second below the level "warn" that are written
	// over time, and Burst the number at once; more are dropped.
	Rate  float64
	Burst int
}

// Usual are the terms of a process of the fleet.
func Usual(level string) Options {
	return Options{Level: level, Queue: 4096, Rate: 2000, Burst: 4000}
}

// Logger is a log. It is safe for concurrent use.
type Logger struct {
	log     *log.Logger
	async   *log.AsyncWriter
	limiter *rate.Limiter
	clock   timer.Clock
	start   time.Time
	dropped atomic.Uint64

	mu sync.Mutex
	// told is the number of dropped lines that a line of the log has told.
	told uint64
}

// New returns a log of an instance that goes to w.
func New(t Options, instance string, w io.Writer, clock timer.Clock) *Logger {
	l := &Logger{
		async:   &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: t.Queue, DiscardOnFull: true},
		limiter: rate.NewLimiter(rate.Limit(t.Rate), t.Burst),
		clock:   clock,
		start:   time.Now(),
	}
	l.log = &log.Logger{
		Level:   log.ParseLevel(t.Level),
		Writer:  l,
		Context: log.NewContext(nil).Str("instance", instance).Value(),
	}
	return l
}

// Log returns what the parts of the process write to.
func (l *Logger) Log() *log.Logger { return l.log }

// Dropped returns the number of lines that were dropped.
func (l *Logger) Dropped() uint64 { return l.dropped.Load() }

// Close writes the lines that wait and ends the log.
func (l *Logger) Close() error {
	l.tell()
	return l.async.Close()
}

// WriteEntry implements log.Writer. It drops the line if there are too many.
func (l *Logger) WriteEntry(e *log.Entry) (int, error) {
	if e.Level < log.WarnLevel && !l.limiter.AllowN(l.start.Add(l.clock()), 1) {
		l.dropped.Add(1)
		return 0, nil
	}
	l.tell()
	n, err := l.async.WriteEntry(e)
	if err != nil {
		l.dropped.Add(1)
	}
	return n, nil
}

// tell writes a line on the lines that were dropped since the last such line.
func (l *Logger) tell() {
	total := l.dropped.Load()
	l.mu.Lock()
	before := l.told
	l.told = total
	l.mu.Unlock()
	if total == before {
		return
	}
	line := log.Logger{Level: log.WarnLevel, Writer: l.async, Context: l.log.Context}
	line.Warn().Uint64("lines", total-before).Uint64("total", total).Msg("log: lines dropped")
}
