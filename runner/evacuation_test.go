package runner

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// evacuationTime is the time after its acknowledgement within which an evacuation is in force. The
// platform tolerates 5 s.
const evacuationTime = 1500 * time.Millisecond

// newTwoCentreFleet returns a fleet whose backend servers are spread over the data centres x and y.
func newTwoCentreFleet(t *testing.T) *hostedFleet {
	options := smallSite()
	options.Centres = []string{"x", "y"}
	return newHostedFleet(t, options)
}

// arrivalsIn returns the number of requests that have arrived in a data centre, in which the servers
// with the number i of each kind are.
func (f *hostedFleet) arrivalsIn(i int) int {
	return len(f.site.Engines[i].Arrivals()) + len(f.site.Services[i].Arrivals())
}

// callBoth makes callers send requests to the service and to a model at all entries.
func (f *hostedFleet) callBoth() *steadyCallers {
	return f.callSteadily(
		50*time.Millisecond,
		func(entry int) response { return f.send(entry, http.MethodGet, "/status/x") },
		func(entry int) response { return f.sendStream(entry, "/brief/x", imitator.SiteModel(0)) },
	)
}

// assertStaysEvacuated checks that no request arrives in a data centre for a while, and that requests
// are served all the while.
func (f *hostedFleet) assertStaysEvacuated(i int) {
	f.t.Helper()
	before, elsewhere := f.arrivalsIn(i), f.arrivalsIn(1-i)
	time.Sleep(time.Second)
	assert.Equal(f.t, f.arrivalsIn(i), before, "requests arrive in the evacuated data centre")
	assert.Assert(f.t, f.arrivalsIn(1-i) > elsewhere+20, "%d requests elsewhere", f.arrivalsIn(1-i)-elsewhere)
}

// TestEvacuation guards against requests that reach a data centre after its evacuation was acknowledged,
// requests that fail because of it, a model whose only copy is there and that is not served, and a data
// centre that gets nothing after the end.
func TestEvacuation(t *testing.T) {
	runParallel(t)
	f := newTwoCentreFleet(t)
	f.waitFor("a served stream", func() bool { return f.sendStream(0, "/brief/x", imitator.SiteModel(0)).status == http.StatusOK })
	i := slices.IndexFunc(f.site.Engines, func(b *imitator.Backend) bool { return slices.Contains(b.LoadedModels(), imitator.SiteModel(0)) })
	centre := []string{"x", "y"}[i]
	callers := f.callBoth()
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, f.site.Evacuate(centre))
	time.Sleep(evacuationTime)
	f.assertStaysEvacuated(i)
	f.site.EndEvacuation(centre)
	time.Sleep(evacuationTime)
	before := len(f.site.Services[i].Arrivals())
	f.waitFor("requests after the end", func() bool { return len(f.site.Services[i].Arrivals()) > before })
	callers.end()
	assert.Equal(t, callers.failures, 0, "answers by status %v", callers.statuses)
	served, all := callers.statuses[http.StatusOK], 0
	for _, n := range callers.statuses {
		all += n
	}
	assert.Assert(t, float64(served) >= 0.9*float64(all), "answers by status %v", callers.statuses)
}

// TestEvacuationOutlivesOutage guards against an evacuation that ends because the store is out or has
// come back without its row, before the operator has written it again, and against one that does not
// take effect in a later era of the store.
func TestEvacuationOutlivesOutage(t *testing.T) {
	runParallel(t)
	f := newTwoCentreFleet(t)
	f.waitFor("a served stream", func() bool { return f.sendStream(0, "/brief/x", imitator.SiteModel(0)).status == http.StatusOK })
	callers := f.callBoth()
	defer callers.end()
	copied := time.Now()
	time.Sleep(500 * time.Millisecond)
	assert.NilError(t, f.site.Evacuate("x"))
	time.Sleep(evacuationTime)
	f.site.Rows.Refuse("127.0.0.1", true)
	f.assertStaysEvacuated(0)
	f.site.Rows.Refuse("127.0.0.1", false)
	f.site.Rows.Restore(copied)
	assert.NilError(t, f.site.Rewrite())
	f.assertStaysEvacuated(0)
	f.assertStaysEvacuated(0)
	assert.NilError(t, f.site.Evacuate("x"))
	time.Sleep(evacuationTime)
	f.site.EndEvacuation("x")
	before := len(f.site.Services[0].Arrivals())
	f.waitFor("requests after the end", func() bool { return len(f.site.Services[0].Arrivals()) > before })
	assert.NilError(t, f.site.Evacuate("y"))
	time.Sleep(evacuationTime)
	f.assertStaysEvacuated(1)
}

// TestAllEvacuated guards against requests that are held, or refused without a time to retry, while all
// data centres are evacuated.
func TestAllEvacuated(t *testing.T) {
	runParallel(t)
	f := newTwoCentreFleet(t)
	f.waitFor("a served stream", func() bool { return f.sendStream(0, "/brief/x", imitator.SiteModel(0)).status == http.StatusOK })
	assert.NilError(t, f.site.Evacuate("x"))
	assert.NilError(t, f.site.Evacuate("y"))
	time.Sleep(evacuationTime)
	for _, call := range []func() response{
		func() response { return f.send(0, http.MethodGet, "/status/x") },
		func() response { return f.sendStream(1, "/brief/x", imitator.SiteModel(0)) },
	} {
		start := time.Now()
		r := call()
		assert.Equal(t, r.status, http.StatusServiceUnavailable)
		assert.Assert(t, r.header.Get("Retry-After") != "")
		assert.Assert(t, time.Since(start) < time.Second)
	}
	f.site.EndEvacuation("x")
	f.site.EndEvacuation("y")
	f.waitFor("a served call", func() bool { return f.send(0, http.MethodGet, "/status/x").status == http.StatusOK })
}
