package locator

import (
	"context"
	"time"
)

// Limits of the questions for a sign of life.
const (
	// probePeriod is between two looks at which servers are silent.
	probePeriod = 100 * time.Millisecond
	// probeLimit bounds the questions to a host. It is asked probeTries times at once,
	// since packets may be lost.
	probeLimit = 250 * time.Millisecond
	probeTries = 3
	// probeMost is the most hosts that are asked at a time.
	probeMost = 16
)

// Prober asks a host for a sign of life.
type Prober interface {
	// Answers reports whether the host at an address answers before ctx ends.
	Answers(ctx context.Context, address string) bool
}

// Probe asks the hosts of servers that are silent for a sign of life until ctx ends.
// Requests at a host that gives none are sent elsewhere, where that is allowed.
func (l *Locator) Probe(ctx context.Context, p Prober) {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	free := make(chan struct{}, probeMost)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for id, address := range l.doubtful(l.clock(), probeMost-len(free)) {
			free <- struct{}{}
			go func() {
				defer func() { <-free }()
				l.probe(ctx, p, id, address)
			}()
		}
	}
}

// doubtful returns the addresses of silent servers that are not being asked, at most
// that many, by id. They count as being asked from then on.
func (l *Locator) doubtful(now time.Duration, most int) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := map[string]string{}
	for _, b := range l.fleet.All() {
		id := b.Server().ID
		if len(out) < most && !l.asked[id] && b.NeedsProbe(now) {
			l.asked[id] = true
			out[id] = b.Server().Address
		}
	}
	return out
}

// probe asks one host, several times at once.
func (l *Locator) probe(ctx context.Context, p Prober, id, address string) {
	begun := l.clock()
	limited, cancel := context.WithTimeout(ctx, probeLimit)
	defer cancel()
	answers := make(chan bool, probeTries)
	for range probeTries {
		go func() { answers <- p.Answers(limited, address) }()
	}
	answered := false
	for range probeTries {
		answered = answered || <-answers
	}
	l.probed(begun, id, answered || ctx.Err() != nil)
}

// probed takes the outcome of questions that were asked from an instant on.
func (l *Locator) probed(begun time.Duration, id string, answers bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.asked, id)
	now := l.clock()
	b := l.fleet.Get(id)
	if b == nil {
		return
	}
	b.RecordProbe(now)
	if answers || b.ActiveSince(begun) {
		return
	}
	// Without a sign of life of any server, it is this entry that is cut off.
	others := l.fleet.ActiveSince(begun)
	l.log.Info().Str("server", id).Int("inflight", b.Inflight()).Bool("others", others).Msg("server: host does not answer")
	if others {
		b.MarkStalled(now)
		l.abandon(now, id, b.SilentFor(now))
	}
}
