package relayer

import (
	"context"
	"slices"
	"sync"
	"time"

	"oleanderstall/peer"
	"oleanderstall/subscriber"
	"oleanderstall/wire"
)

// readPeriod is between two looks at which other relays are to be read.
const readPeriod = 100 * time.Millisecond

// ReadFeeds reads the relays of all other data centres of a book while this relay is in
// use, until ctx ends.
func (r *Relayer) ReadFeeds(ctx context.Context, j peer.Joiner, b *subscriber.Membership) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	readers := map[string]context.CancelFunc{}
	tick := time.NewTicker(readPeriod)
	defer tick.Stop()
	for {
		centres := r.others(b)
		for centre, cancel := range readers {
			if !slices.Contains(centres, centre) {
				cancel()
				delete(readers, centre)
			}
		}
		for _, centre := range centres {
			if readers[centre] == nil {
				reading, cancel := context.WithCancel(ctx)
				readers[centre] = cancel
				s := r.subscriber(centre, j, b)
				tasks.Go(func() { s.Run(reading) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// others are the data centres whose relays are to be read now.
func (r *Relayer) others(b *subscriber.Membership) []string {
	if !r.Active() {
		return nil
	}
	return slices.DeleteFunc(b.Centres(), func(centre string) bool { return centre == r.self.GetCentre() })
}

// subscriber subscribes to the relay of another data centre.
func (r *Relayer) subscriber(centre string, j peer.Joiner, b *subscriber.Membership) *subscriber.Subscriber {
	self := &wire.Link{Name: r.self.GetName(), Role: Relay, Centre: r.self.GetCentre(), Started: r.self.GetStarted()}
	host := subscriber.Host{Name: r.self.GetName(), Clock: r.clock, Joiner: j, Local: r.Handle, Book: b, Log: r.log}
	return subscriber.New(host, self, centre, subscriber.EntryTiming, &reader{relayer: r, centre: centre})
}

// reader takes what the relay of another data centre publishes. It implements
// subscriber.Process.
type reader struct {
	relayer *Relayer
	centre  string
}

// Report implements subscriber.Process. There is nothing to tell but whether processes are
// linked here: the other relay reads what this one publishes.
func (d *reader) Report(time.Duration, bool) *wire.Report {
	d.relayer.mu.Lock()
	defer d.relayer.mu.Unlock()
	return &wire.Report{Ready: d.relayer.busy}
}

// Receive implements subscriber.Process.
func (d *reader) Receive(now time.Duration, _ string, t *wire.Batch, first bool) {
	d.relayer.mu.Lock()
	defer d.relayer.mu.Unlock()
	if first {
		d.relayer.board.OpenFeed(now, d.centre, t.GetRelay())
	}
	d.relayer.board.ApplyFeed(now, d.centre, t)
	d.relayer.Wake()
}

// LinkLost implements subscriber.Process.
func (d *reader) LinkLost(now time.Duration, relay string, _ []*wire.Report) {
	d.relayer.mu.Lock()
	defer d.relayer.mu.Unlock()
	d.relayer.board.CloseFeed(now, d.centre, relay)
	d.relayer.Wake()
}

// Changed implements subscriber.Process. Nothing changes.
func (d *reader) Changed() <-chan struct{} { return nil }
