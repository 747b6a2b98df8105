package dispatcher

import (
	"context"
	"sync"
	"time"

	"oleanderstall/peer"
	"oleanderstall/storer"
	"oleanderstall/wire"
)

// Times of the exchange of records of crashes with other entries.
const (
	// shareInterval is the time between two searches for records to be sent.
	shareInterval = 100 * time.Millisecond
	// shareTimeout bounds one call, and shareRetry is the time after which records that an
	// entry has not taken are sent again.
	shareTimeout = 500 * time.Millisecond
	shareRetry   = time.Second
)

// ShareCrashes sends the records of crashes that are new here to the other entries until ctx
// ends, by way of the relays of the data centres. An entry that starts first asks for all
// records.
func (d *Dispatcher) ShareCrashes(ctx context.Context) {
	ticker := time.NewTicker(shareInterval)
	defer ticker.Stop()
	asked := false
	nextAt := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		neighbors := d.member.Neighbors()
		if d.clock() < nextAt || len(neighbors) == 0 {
			continue
		}
		crashes := d.quarantine.TakeUnsent(false)
		if asked && len(crashes) == 0 {
			continue
		}
		answers := d.sendCrashes(ctx, neighbors, &wire.Crashes{Crashes: crashes, Full: !asked})
		asked = asked || answers > 0
		if answers == len(neighbors) {
			continue
		}
		nextAt = d.clock() + shareRetry
		if len(crashes) > 0 {
			// The relay may be gone and still be listed, so the records also go to all others.
			d.sendCrashes(ctx, d.member.Instances("entry"), &wire.Crashes{Crashes: crashes})
			d.quarantine.MarkUnsent(crashes)
		}
	}
}

// sendCrashes sends records to other entries and merges their replies. It returns the number of
// entries that have answered.
func (d *Dispatcher) sendCrashes(ctx context.Context, entries []storer.Instance, message *wire.Crashes) int {
	limited, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	replies := make([]*wire.Crashes, len(entries))
	var wg sync.WaitGroup
	for i, in := range entries {
		if in.Name == d.member.Self().Name {
			continue
		}
		wg.Go(func() {
			reply, err := peer.Call(limited, d.caller, in.Address, &wire.Call{Body: &wire.Call_Crashes{Crashes: message}})
			if err == nil {
				replies[i] = reply.GetCrashes()
			}
		})
	}
	wg.Wait()
	answers := 0
	for _, reply := range replies {
		if reply != nil {
			answers++
		}
		d.mergeCrashes(reply.GetCrashes())
	}
	return answers
}

// mergeCrashes adds the records of another entry. The relay of a data centre passes those on
// that are new to it.
func (d *Dispatcher) mergeCrashes(crashes []*wire.Crash) {
	changed := d.quarantine.Merge(crashes)
	if d.member.IsRelay() {
		d.quarantine.MarkUnsent(changed)
	}
}

// ReceiveCrashes adds the records of another entry and returns all records if the message
// asks for them.
func (d *Dispatcher) ReceiveCrashes(message *wire.Crashes) *wire.Crashes {
	d.mergeCrashes(message.GetCrashes())
	reply := &wire.Crashes{}
	if message.GetFull() {
		reply.Crashes = d.quarantine.All()
	}
	return reply
}
