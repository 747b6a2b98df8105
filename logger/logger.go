// Package logger writes the structured log of a process, one line of JSON per
// event. Logging never blocks on a slow reader: lines that don't fit into a
// bounded queue are dropped and counted.
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

// Options limit the volume of a log.
type Options struct {
	// Level is the lowest level that is written, such as "info".
	Level string
	// Queue is the number of lines that are buffered for the writer. Lines beyond it
	// are dropped.
	Queue uint
	// Rate and Burst are those of a token bucket for lines below the level "warn":
	// Rate is the sustained number of lines per second, Burst the number at once.
	// Lines beyond it are dropped.
	Rate  float64
	Burst int
}

// DefaultOptions returns the options of a process of the fleet, with that level.
func DefaultOptions(level string) Options {
	return Options{Level: level, Queue: 4096, Rate: 2000, Burst: 4000}
}

// Logger is the log of one process. It is safe for concurrent use.
type Logger struct {
	log     *log.Logger
	async   *log.AsyncWriter
	limiter *rate.Limiter
	clock   timer.Clock
	// start is added to the instants of clock, since limiter needs wall-clock times.
	start   time.Time
	dropped atomic.Uint64

	mu sync.Mutex
	// reported is the part of dropped that has been reported in the log.
	reported uint64
}

// New returns a log that writes to w. Each line has the field instance. The rate
// limit uses clock.
func New(opts Options, instance string, w io.Writer, clock timer.Clock) *Logger {
	l := &Logger{
		async:   &log.AsyncWriter{Writer: &log.IOWriter{Writer: w}, ChannelSize: opts.Queue, DiscardOnFull: true},
		limiter: rate.NewLimiter(rate.Limit(opts.Rate), opts.Burst),
		clock:   clock,
		start:   time.Now(),
	}
	l.log = &log.Logger{
		Level:   log.ParseLevel(opts.Level),
		Writer:  l,
		Context: log.NewContext(nil).Str("instance", instance).Value(),
	}
	return l
}

// Log returns the logger to which the components of the process write.
func (l *Logger) Log() *log.Logger { return l.log }

// Dropped returns the number of lines dropped since the start.
func (l *Logger) Dropped() uint64 { return l.dropped.Load() }

// Close reports lines dropped so far, writes the buffered lines and closes the
// log.
func (l *Logger) Close() error {
	l.reportDropped()
	return l.async.Close()
}

// WriteEntry implements log.Writer. It drops the line, without an error, if the
// rate limit is exceeded or the queue is full.
func (l *Logger) WriteEntry(e *log.Entry) (int, error) {
	if e.Level < log.WarnLevel && !l.limiter.AllowN(l.start.Add(l.clock()), 1) {
		l.dropped.Add(1)
		return 0, nil
	}
	l.reportDropped()
	n, err := l.async.WriteEntry(e)
	if err != nil {
		l.dropped.Add(1)
	}
	return n, nil
}

// reportDropped logs how many lines were dropped since the last such report, if
// any were.
func (l *Logger) reportDropped() {
	total := l.dropped.Load()
	l.mu.Lock()
	before := l.reported
	l.reported = total
	l.mu.Unlock()
	if total == before {
		return
	}
	line := log.Logger{Level: log.WarnLevel, Writer: l.async, Context: l.log.Context}
	line.Warn().Uint64("lines", total-before).Uint64("total", total).Msg("log: lines dropped")
}
