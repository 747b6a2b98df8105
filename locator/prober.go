package locator

import (
	"context"
	"time"
)

// Limits of probes.
const (
	// probeInterval is the time between two searches for silent servers.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds the probes of a host. probesPerHost of them are sent at once,
	// since packets may be lost.
	probeTimeout  = 250 * time.Millisecond
	probesPerHost = 3
	// maxProbedHosts is the largest number of hosts that are probed at a time.
	maxProbedHosts = 16
)

// Prober checks whether a host is reachable.
type Prober interface {
	// HostResponds reports whether the host at an address answers before ctx ends.
	HostResponds(ctx context.Context, address string) bool
	// Refuses reports whether the host at an address refuses connections, so that no process
	// listens there.
	Refuses(ctx context.Context, address string) bool
}

// Probe probes the hosts of silent servers, and of those that may have crashed, until ctx
// ends. Attempts at a server whose host does not answer are abandoned, so that requests that
// may run elsewhere do.
func (l *Locator) Probe(ctx context.Context, p Prober) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	running := make(chan struct{}, maxProbedHosts)
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.crashSuspected:
		case <-tick.C:
		}
		l.checkCrashes(ctx, p)
		for id, address := range l.claimProbes(l.clock(), maxProbedHosts-len(running)) {
			running <- struct{}{}
			go func() {
				defer func() { <-running }()
				l.probe(ctx, p, id, address)
			}()
		}
	}
}

// claimProbes returns the addresses, by ID, of at most limit servers that need a probe and
// are not being probed, and marks them as being probed.
func (l *Locator) claimProbes(now time.Duration, limit int) map[string]string {
	l.mu.Lock()
	defer l.mu.Unlock()
	claimed := map[string]string{}
	for _, b := range l.fleet.All() {
		id := b.Server().ID
		if len(claimed) < limit && !l.probing[id] && b.NeedsProbe(now) {
			l.probing[id] = true
			claimed[id] = b.Server().Address
		}
	}
	return claimed
}

// probe sends several probes to one host at once; one answer is enough. Probes cut short by
// the end of ctx count as answered.
func (l *Locator) probe(ctx context.Context, p Prober, id, address string) {
	started := l.clock()
	probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answers := make(chan bool, probesPerHost)
	for range probesPerHost {
		go func() { answers <- p.HostResponds(probeCtx, address) }()
	}
	answered := false
	for range probesPerHost {
		answered = answered || <-answers
	}
	l.recordProbe(started, id, answered || ctx.Err() != nil)
}

// recordProbe records whether a host answered probes that started at an instant. Without an
// answer, or activity of the server since, the server is marked stalled and its attempts may
// be abandoned.
func (l *Locator) recordProbe(started time.Duration, id string, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.probing, id)
	now := l.clock()
	b := l.fleet.Get(id)
	if b == nil {
		return
	}
	b.RecordProbe(now)
	if answered || b.ActiveSince(started) {
		return
	}
	// If no server has been active, this entry is the one that is cut off.
	others := l.fleet.ActiveSince(started)
	l.log.Info().Str("server", id).Int("inflight", b.Inflight()).Bool("others", others).Msg("server: host does not answer")
	if others {
		b.MarkStalled(now)
		l.abandonAttempts(now, id, b.SilentFor(now))
	}
}
