package runner

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// coldNotice is the time within which entries have to know that a running server is cold.
const coldNotice = time.Second

// coldSite returns the properties of a platform whose servers are cold for two seconds after each
// start and then take 16 requests a second.
func coldSite() imitator.SiteOptions {
	options := smallSite()
	options.ColdTime, options.ColdRate, options.RestartTime = 2*time.Second, 16, 700*time.Millisecond
	return options
}

// newColdFleet returns a fleet with three entries whose servers are warm, and callers that send
// 150 requests a second to the plain service and 60 to a model.
func newColdFleet(t *testing.T) (*hostedFleet, *steadyCallers) {
	f := newHostedFleet(t, coldSite())
	f.startEntry(2)
	f.waitFor("warm servers", func() bool {
		for _, e := range f.entries {
			if e.locator.ColdServers() > 0 {
				return false
			}
		}
		return true
	})
	f.waitFor("a served stream", func() bool { return f.sendStream(0, "/brief/x", imitator.SiteModel(0)).status == http.StatusOK })
	callers := f.callSteadily(
		20*time.Millisecond,
		func(entry int) response { return f.send(entry, http.MethodGet, "/status/x") },
	)
	return f, callers
}

// assertNotFlooded checks that no cold server got more requests than it tolerates.
func (f *hostedFleet) assertNotFlooded() {
	f.t.Helper()
	for _, b := range append(f.site.Engines, f.site.Services...) {
		most, floods := b.ColdArrivals()
		f.t.Logf("%s: %d requests within a second at most", b.ID(), most)
		assert.Check(f.t, floods == 0, "%s got %d requests within a second of its cold phase", b.ID(), most)
	}
}

// TestRestartedServerIsNotFlooded guards against a server that has crashed and started again under
// the same identity and gets the requests of a warm one.
func TestRestartedServerIsNotFlooded(t *testing.T) {
	f, callers := newColdFleet(t)
	f.site.Services[0].Crash()
	time.Sleep(5 * time.Second)
	callers.end()
	f.assertNotFlooded()
	assert.Equal(t, callers.failures, 0, "answers by status %v", callers.statuses)
}

// TestReturningServersAreNotFlooded guards against servers that come back together and get all the
// requests that waited or were refused meanwhile.
func TestReturningServersAreNotFlooded(t *testing.T) {
	f, callers := newColdFleet(t)
	for _, b := range f.site.Services {
		b.Crash()
	}
	time.Sleep(5 * time.Second)
	callers.end()
	f.assertNotFlooded()
}

// TestRunningServerTurnsCold guards against a server that becomes cold again without a restart and
// gets the requests of a warm one.
func TestRunningServerTurnsCold(t *testing.T) {
	f, callers := newColdFleet(t)
	for _, b := range f.site.Services {
		b.TurnCold(coldNotice)
	}
	time.Sleep(coldNotice + 3*time.Second)
	callers.end()
	f.assertNotFlooded()
}
