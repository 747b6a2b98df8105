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

// feedScanInterval is the time between two checks for data centres whose feeds are to be
// read.
const feedScanInterval = 100 * time.Millisecond

// ReadFeeds reads the feeds of the relays of all other data centres that have processes,
// while this relay is active, until ctx ends.
func (r *Relayer) ReadFeeds(ctx context.Context, caller peer.DuplexCaller, membership *subscriber.Membership) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	readers := map[string]context.CancelFunc{}
	ticker := time.NewTicker(feedScanInterval)
	defer ticker.Stop()
	for {
		centres := r.remoteCentres(membership)
		for centre, cancel := range readers {
			if !slices.Contains(centres, centre) {
				cancel()
				delete(readers, centre)
			}
		}
		for _, centre := range centres {
			if readers[centre] == nil {
				feedCtx, cancel := context.WithCancel(ctx)
				readers[centre] = cancel
				s := r.newSubscriber(centre, caller, membership)
				tasks.Go(func() { s.Run(feedCtx) })
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// remoteCentres returns the data centres whose feeds are to be read now: none if this relay
// is not active.
func (r *Relayer) remoteCentres(membership *subscriber.Membership) []string {
	if !r.Active() {
		return nil
	}
	return slices.DeleteFunc(membership.Centres(), func(centre string) bool { return centre == r.self.GetCentre() })
}

// newSubscriber returns a subscriber to the relay of another data centre.
func (r *Relayer) newSubscriber(centre string, caller peer.DuplexCaller, membership *subscriber.Membership) *subscriber.Subscriber {
	self := &wire.Link{Name: r.self.GetName(), Role: Relay, Centre: r.self.GetCentre(), Started: r.self.GetStarted()}
	reader := &feedReader{relayer: r, centre: centre}
	host := subscriber.Host{Name: r.self.GetName(), Clock: r.clock, Caller: caller, Local: r.Handle, Membership: membership, Excluded: reader.excluded, Log: r.log}
	return subscriber.New(host, self, centre, subscriber.EntryTiming, reader)
}

// feedReader applies the feed of another data centre's relay. It implements
// subscriber.Process.
type feedReader struct {
	relayer *Relayer
	centre  string
}

// excluded reports whether the feed is not to be read from a process: this one itself, or one
// whose feed is read already, which holds what is linked to it of all data centres.
func (r *feedReader) excluded(name string) bool {
	r.relayer.mu.Lock()
	defer r.relayer.mu.Unlock()
	return name == r.relayer.self.GetName() || r.relayer.state.readsFeedOf(name, r.centre)
}

// Report implements subscriber.Process. A report only says whether processes are linked to
// this relay: the other relay subscribes to this one's state itself.
func (r *feedReader) Report(time.Duration, bool) *wire.Report {
	r.relayer.mu.Lock()
	defer r.relayer.mu.Unlock()
	return &wire.Report{Ready: r.relayer.serving}
}

// Receive implements subscriber.Process. The first batch of a link opens the feed, unless that of
// the same relay has been opened for another data centre meanwhile.
func (r *feedReader) Receive(now time.Duration, address string, batch *wire.Batch, first bool) {
	r.relayer.mu.Lock()
	defer r.relayer.mu.Unlock()
	if first && !r.relayer.state.readsFeedOf(batch.GetRelay(), r.centre) {
		r.relayer.state.OpenFeed(now, r.centre, batch.GetRelay())
	}
	r.relayer.state.ApplyFeed(now, r.centre, address, batch)
	r.relayer.Wake()
}

// LinkLost implements subscriber.Process. It closes the feed.
func (r *feedReader) LinkLost(now time.Duration, relay string, _ []*wire.Report) {
	r.relayer.mu.Lock()
	defer r.relayer.mu.Unlock()
	r.relayer.state.CloseFeed(now, r.centre, relay)
	r.relayer.Wake()
}

// Changed implements subscriber.Process. It returns nil, so that reports are only sent as
// heartbeats.
func (r *feedReader) Changed() <-chan struct{} { return nil }
