package runner

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
	"oleanderstall/storer"
)

// newFleetWithoutSidecars starts two entries and engines without sidecars. It returns once
// an entry has adopted an engine and a model is served.
func newFleetWithoutSidecars(t *testing.T, options imitator.SiteOptions) *hostedFleet {
	site, err := imitator.NewSite(options)
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	f := &hostedFleet{t: t, site: site}
	f.startEntry(0)
	f.startEntry(1)
	f.waitFor("a model on an engine without a sidecar", f.serves(imitator.SiteModel(0)))
	return f
}

// serves returns a function that sends a request for a model and reports whether it was
// served.
func (f *hostedFleet) serves(model string) func() bool {
	return func() bool { return f.sendStream(1, "/draft/x", model).status == http.StatusOK }
}

// orderCount returns the number of orders that the engines have received.
func (f *hostedFleet) orderCount() int {
	count := 0
	for _, h := range f.site.Engines {
		count += len(h.Fences())
	}
	return count
}

// TestAdoptionDuringStoreOutage checks that an adopted engine receives no orders once the
// store has been unavailable for a lease: a sidecar may have acquired the engine meanwhile,
// and two processes would order it. Orders resume after the outage.
func TestAdoptionDuringStoreOutage(t *testing.T) {
	f := newFleetWithoutSidecars(t, smallSite())
	f.site.Rows.SetFault(imitator.Fault{Down: true})
	time.Sleep(time.Duration(f.entries[0].settings.Load().Hosted.EngineLease))
	before := f.orderCount()
	assert.Assert(t, !f.serves(imitator.SiteModel(3))())
	assert.Equal(t, f.orderCount(), before)
	f.site.Rows.SetFault(imitator.Fault{})
	f.waitFor("a model after the outage", f.serves(imitator.SiteModel(3)))
}

// TestAdoptionUntilSidecarsStart checks that an entry which orders engines without sidecars
// releases them when their sidecars start. Models can be loaded throughout, no engine is
// ordered to load more than it holds, and the fencing numbers of the orders never decrease,
// as they could if two processes ordered an engine at the same time.
func TestAdoptionUntilSidecarsStart(t *testing.T) {
	f := newFleetWithoutSidecars(t, smallSite())
	for i := range f.site.EngineAddresses {
		f.startSidecar(i)
	}
	f.waitFor("the sidecars", func() bool {
		return !slices.ContainsFunc(f.sidecars, func(c *HostedSidecar) bool { return !c.isReady() })
	})
	for i := 1; i < 4; i++ {
		f.waitFor("a model after the sidecars have started", f.serves(imitator.SiteModel(i)))
	}
	for _, h := range f.site.Engines {
		assert.Assert(t, slices.IsSorted(h.Fences()), "%v", h.Fences())
		assert.Equal(t, h.Overcommits(), 0)
	}
}

// TestNoTurnsWithinLease guards against a sidecar whose first order follows the last one of the process
// that had adopted its engine within a lease. The adopting process goes on until it reads the
// sidecar's row.
func TestNoTurnsWithinLease(t *testing.T) {
	runParallel(t)
	options := smallSite()
	options.Models = 7
	f := newFleetWithoutSidecars(t, options)
	ctx, cancel := context.WithCancel(t.Context())
	var callers sync.WaitGroup
	for entry := range 2 {
		callers.Go(func() {
			for i := entry; ctx.Err() == nil; i += 2 {
				f.sendStream(entry, "/draft/x", imitator.SiteModel(i%options.Models))
			}
		})
	}
	defer callers.Wait()
	defer cancel()
	time.Sleep(time.Second)
	for i := range f.site.EngineAddresses {
		f.startSidecar(i)
	}
	f.waitFor("the sidecars", func() bool {
		return !slices.ContainsFunc(f.sidecars, func(c *HostedSidecar) bool { return !c.isReady() })
	})
	lease := time.Duration(f.entries[0].settings.Load().Hosted.EngineLease)
	for i, h := range f.site.Engines {
		sidecar := fmt.Sprint("sidecar-", i)
		f.waitFor("an order of the sidecar", func() bool { return h.Orders()[len(h.Orders())-1].Holder == sidecar })
		orders := h.Orders()
		for j := 1; j < len(orders); j++ {
			gap := orders[j].At.Sub(orders[j-1].At)
			assert.Assert(t, orders[j].Holder == orders[j-1].Holder || gap >= lease, "%s after %s in %v", orders[j].Holder, orders[j-1].Holder, gap)
		}
	}
}

// TestNoAdoptionFromUnknownSidecar checks that an entry does not adopt an engine whose
// holder row names a sidecar, although no sidecar is listed or reports: the sidecar may
// still order the engine.
func TestNoAdoptionFromUnknownSidecar(t *testing.T) {
	site, err := imitator.NewSite(smallSite())
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	for _, address := range site.EngineAddresses {
		key := strings.TrimPrefix(storer.HolderKey(address), storer.FleetTable+"/")
		_, err := site.Rows.Put(storer.FleetTable, key, holderRow{Holder: "somewhere", Started: 1})
		assert.NilError(t, err)
	}
	f := &hostedFleet{t: t, site: site}
	f.startEntry(0)
	for start := time.Now(); time.Since(start) < adoptionDelay+4*time.Second; {
		f.sendStream(0, "/draft/x", imitator.SiteModel(0))
	}
	assert.Equal(t, f.orderCount(), 0)
}
