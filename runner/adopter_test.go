package runner

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
	"oleanderstall/storer"
)

// newLoneFleet returns two entries before engines without sidecars, one of which serves
// a model already.
func newLoneFleet(t *testing.T) *hostedFleet {
	site, err := imitator.NewSite(smallSite())
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	f := &hostedFleet{t: t, site: site}
	f.startEntry(0)
	f.startEntry(1)
	f.waitFor("a model on an engine without a sidecar", f.serves(imitator.SiteModel(0)))
	return f
}

// serves reports whether a model is served now.
func (f *hostedFleet) serves(model string) func() bool {
	return func() bool { return f.draft(1, "/draft/x", model).status == http.StatusOK }
}

// orders is the number of orders that the engines were sent.
func (f *hostedFleet) orders() int {
	n := 0
	for _, h := range f.site.Engines {
		n += len(h.Fences())
	}
	return n
}

// TestAdoptedOutage orders no engine in the place of its sidecar for longer than a
// lease without the store, since a sidecar may have taken it meanwhile.
func TestAdoptedOutage(t *testing.T) {
	f := newLoneFleet(t)
	f.site.Rows.Set(imitator.Fault{Down: true})
	time.Sleep(time.Duration(f.entries[0].settings.Load().Hosted.Lease))
	before := f.orders()
	assert.Assert(t, !f.serves(imitator.SiteModel(3))())
	assert.Equal(t, f.orders(), before)
	f.site.Rows.Set(imitator.Fault{})
	f.waitFor("a model after the outage", f.serves(imitator.SiteModel(3)))
}

// TestAdopts lets an entry order engines that have no sidecar, and leave them to their
// sidecars once these have started. Models are loaded throughout, and the fencing
// numbers of the orders never fall.
func TestAdopts(t *testing.T) {
	f := newLoneFleet(t)
	for i := range f.site.Apps {
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
		assert.Equal(t, h.Crashes(), 0)
	}
}

// TestAdoptsNoSidecars leaves engines alone that their sidecars have taken, though it
// knows of no process beside them and hears none: those may order them all the same.
func TestAdoptsNoSidecars(t *testing.T) {
	site, err := imitator.NewSite(smallSite())
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	for _, address := range site.Apps {
		key := strings.TrimPrefix(storer.HolderKey(address), storer.FleetTable+"/")
		_, err := site.Rows.Put(storer.FleetTable, key, holderRow{Holder: "somewhere", Started: 1})
		assert.NilError(t, err)
	}
	f := &hostedFleet{t: t, site: site}
	f.startEntry(0)
	for begun := time.Now(); time.Since(begun) < adoptAfter+4*time.Second; {
		f.draft(0, "/draft/x", imitator.SiteModel(0))
	}
	assert.Equal(t, f.orders(), 0)
}
