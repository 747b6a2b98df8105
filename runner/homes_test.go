package runner

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// TestHomes guards against requests that reach a backend server in a region in which their route does
// not let them run: of a service, also when a server in the region crashes, and of a model, also of one
// that is loaded elsewhere already. Without a server in the region they are refused with a time.
func TestHomes(t *testing.T) {
	runParallel(t)
	options := smallSite()
	options.Centres, options.Services = []string{"x", "y"}, 4
	options.RestartTime = 300 * time.Millisecond
	options.Regions = map[string][]string{"status": {"region-y"}, "brief": {"region-x", "region-y"}, "draft": {"region-x"}, "order": {"nowhere"}}
	f := newHostedFleet(t, options)
	f.waitFor("a served stream", func() bool {
		return f.sendStream(0, "/brief/x", imitator.SiteModel(0)).status == http.StatusOK
	})
	callers := f.callSteadily(
		20*time.Millisecond,
		func(entry int) response { return f.send(entry, http.MethodGet, "/status/x") },
	)
	time.Sleep(time.Second)
	f.site.Services[1].Crash()
	time.Sleep(2 * time.Second)
	callers.end()
	assert.Assert(t, callers.statuses[http.StatusOK] > 50, "answers by status %v", callers.statuses)
	assert.Equal(t, len(f.site.Services[0].Arrivals())+len(f.site.Services[2].Arrivals()), 0)

	before := len(f.site.Engines[1].Arrivals())
	f.waitFor("a stream in the region", func() bool {
		return f.sendStream(0, "/draft/x", imitator.SiteModel(0)).status == http.StatusOK && f.sendStream(1, "/draft/x", imitator.SiteModel(3)).status == http.StatusOK
	})
	assert.Equal(t, len(f.site.Engines[1].Arrivals()), before)

	start := time.Now()
	r := f.send(0, http.MethodPost, "/order/x")
	assert.Equal(t, r.status, http.StatusServiceUnavailable)
	assert.Assert(t, r.header.Get("Retry-After") != "" && time.Since(start) < time.Second)
}
