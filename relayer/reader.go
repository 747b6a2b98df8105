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

// Read reads the relays of all other data centres of a book while this relay is in
// use, until ctx ends.
func (r *Relayer) Read(ctx context.Context, j peer.Joiner, b *subscriber.Book) {
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
func (r *Relayer) others(b *subscriber.Book) []string {
	if !r.Active() {
		return nil
	}
	return slices.DeleteFunc(b.Centres(), func(centre string) bool { return centre == r.self.GetCentre() })
}

// subscriber subscribes to the relay of another data centre.
func (r *Relayer) subscriber(centre string, j peer.Joiner, b *subscriber.Book) *subscriber.Subscriber {
	self := &wire.Link{Name: r.self.GetName(), Role: Relay, Centre: r.self.GetCentre(), Started: r.self.GetStarted()}
	host := subscriber.Host{Name: r.self.GetName(), Clock: r.clock, Joiner: j, Local: r.Handle, Book: b, Log: r.log}
	return subscriber.New(host, self, centre, subscriber.EntryPace, &reader{relayer: r, centre: centre})
}

// reader takes what the relay of another data centre publishes. It implements
// subscriber.Desk.
type reader struct {
	relayer *Relayer
	centre  string
}

// Report implements subscriber.Desk. There is nothing to tell but whether processes are
// linked here: the other relay reads what this one publishes.
func (d *reader) Report(time.Duration, bool) *wire.Report {
	d.relayer.mu.Lock()
	defer d.relayer.mu.Unlock()
	return &wire.Report{Ready: d.relayer.busy}
}

// Take implements subscriber.Desk.
func (d *reader) Take(now time.Duration, _ string, t *wire.Batch, first bool) {
	d.relayer.mu.Lock()
	defer d.relayer.mu.Unlock()
	if first {
		d.relayer.board.Open(now, d.centre, t.GetRelay())
	}
	d.relayer.board.Read(now, d.centre, t)
	d.relayer.Kick()
}

// Lost implements subscriber.Desk.
func (d *reader) Lost(now time.Duration, relay string, _ []*wire.Report) {
	d.relayer.mu.Lock()
	defer d.relayer.mu.Unlock()
	d.relayer.board.Tear(now, d.centre, relay)
	d.relayer.Kick()
}

// Changed implements subscriber.Desk. Nothing changes.
func (d *reader) Changed() <-chan struct{} { return nil }
