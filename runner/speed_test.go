package runner

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// TestSlowServerGetsFewRequests guards against a fourth figure in the load of servers that is lost on
// its way: a server that takes ten times as long then gets as many requests as the others.
func TestSlowServerGetsFewRequests(t *testing.T) {
	options := smallSite()
	options.Engines, options.ServiceTime = 1, 20*time.Millisecond
	options.ServiceMachines = []imitator.MachineOptions{{Speed: 10}, {Speed: 1}}
	f := newHostedFleet(t, options)
	f.waitFor("the list", func() bool {
		return f.entries[0].locator.ServingServers(imitator.SiteOrders) == 2 && f.entries[1].locator.ServingServers(imitator.SiteOrders) == 2
	})
	send := func(entry, requests int) (slow int) {
		before := len(f.site.Services[0].Runs())
		for range requests {
			r := f.send(entry, http.MethodGet, "/status/x")
			assert.NilError(t, r.err)
			assert.Equal(t, r.status, http.StatusOK)
		}
		return len(f.site.Services[0].Runs()) - before
	}
	slow := send(0, 60)
	assert.Assert(t, slow <= 20, "%d of 60 requests went to the slow server", slow)
	time.Sleep(time.Second)
	slow = send(1, 12)
	assert.Assert(t, slow <= 3, "%d of 12 requests of the other entry went to the slow server", slow)
}
