package runner

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"oleanderstall/checker"
	"oleanderstall/imitator"
)

// hostedFleet is a simulated hosting platform with entries and sidecars, all in the test
// process.
type hostedFleet struct {
	t        *testing.T
	site     *imitator.Site
	entries  []*HostedEntry
	sidecars []*HostedSidecar
	// zones are the regions of the data centres, by data centre.
	zones map[string]string
	// mu guards lastID, the ID of the latest request.
	mu     sync.Mutex
	lastID int
}

// smallSite returns the properties of a platform with two engines, two plain services and
// four models, of which each engine holds two.
func smallSite() imitator.SiteOptions {
	return imitator.SiteOptions{
		Engines: 2, Services: 2, Models: 4, ModelsPerEngine: 2, LoadTime: 60 * time.Millisecond, EventInterval: 5 * time.Millisecond,
		EventsPerStream: 10, ServiceTime: 10 * time.Millisecond, Rate: 1e6, Burst: 1e6,
	}
}

// newHostedFleet starts a sidecar for each engine and two entries, and waits until the
// entries receive the status of all engines.
func newHostedFleet(t *testing.T, options imitator.SiteOptions) *hostedFleet {
	site, err := imitator.NewSite(options)
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	f := &hostedFleet{t: t, site: site, zones: map[string]string{"x": "region-x", "y": "region-y"}}
	for i := range site.EngineAddresses {
		f.startSidecar(i)
	}
	for i := range 2 {
		f.startEntry(i)
	}
	f.waitFor("sidecars", func() bool {
		for _, e := range f.entries {
			if e.locator.ReportingSidecars() < len(site.EngineAddresses) {
				return false
			}
		}
		return true
	})
	return f
}

// settings returns the settings that entries and sidecars have in common.
func (f *hostedFleet) settings(role, name string) *checker.Settings {
	return &checker.Settings{
		Role: role, Name: name, Centre: imitator.SiteCentre, PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0",
		Hosted: &checker.Hosted{
			StoreAddress: f.site.StoreAddress, ReadinessAddress: "127.0.0.1:0", GracePeriod: checker.Duration(3 * time.Second), EngineLease: checker.Duration(time.Second),
			Retries: checker.RetryLimits{Ratio: 0.2, Burst: 20}, Zones: f.zones,
		},
	}
}

// startSidecar starts the sidecar of engine i and adds it to the fleet.
func (f *hostedFleet) startSidecar(i int) { f.sidecars = append(f.sidecars, f.newSidecar(i)) }

// newSidecar starts the sidecar of engine i, and stops it when the test ends.
func (f *hostedFleet) newSidecar(i int) *HostedSidecar {
	f.t.Helper()
	s := f.settings("sidecar", fmt.Sprintf("sidecar-%d", i))
	s.Sidecar = &checker.Sidecar{Kind: "engine", BackendURL: "http://" + f.site.EngineAddresses[i], Pool: imitator.SiteModels}
	c, err := StartHostedSidecar(s, errorLogger(s.Name))
	assert.NilError(f.t, err)
	f.t.Cleanup(c.Stop)
	return c
}

// startEntry starts entry i and waits until it is ready. It is stopped when the test ends.
func (f *hostedFleet) startEntry(i int) {
	s := f.settings("entry", fmt.Sprintf("entry-%d", i))
	s.Entry = &checker.Entry{CallerAddress: "127.0.0.1:0", ShutdownDelay: checker.Duration(100 * time.Millisecond)}
	e, err := StartHostedEntry(s, errorLogger(s.Name))
	assert.NilError(f.t, err)
	f.t.Cleanup(e.Stop)
	f.entries = append(f.entries, e)
	f.waitFor("ready", e.isReady)
}

// waitFor polls until reached returns true. It fails the test after ten seconds.
func (f *hostedFleet) waitFor(condition string, reached func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if reached() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", condition)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// response is the response that a caller received, or the error.
type response struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// send sends a request to an entry and reads the whole response.
func (f *hostedFleet) send(entry int, method, path string, header ...string) response {
	f.mu.Lock()
	f.lastID++
	id := fmt.Sprintf("%016x", f.lastID)
	f.mu.Unlock()
	req, err := imitator.NewRequest(f.t.Context(), f.entries[entry].Addresses().Callers, id, method, path, header...)
	assert.NilError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{id: id, err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return response{id: id, status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// sendStream sends a request to a model, whose response is a stream.
func (f *hostedFleet) sendStream(entry int, path, model string, header ...string) response {
	return f.send(entry, http.MethodPost, path, append([]string{"X-Model", model, "X-Token-Count", "100,50"}, header...)...)
}

// runCount returns how often a request ran on all backend servers together.
func (f *hostedFleet) runCount(id string) int {
	total := 0
	for _, h := range append(f.site.Engines, f.site.Services...) {
		total += h.Runs()[id]
	}
	return total
}

// assertStream checks that a response is a stream of the events first to last of one run,
// in order.
func (f *hostedFleet) assertStream(r response, first, last int) {
	f.t.Helper()
	assert.NilError(f.t, r.err)
	assert.Equal(f.t, r.status, http.StatusOK, r.body)
	lines := bufio.NewScanner(strings.NewReader(r.body))
	next := first
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			assert.Equal(f.t, text, fmt.Sprintf("%s.%d", r.id, next))
			next++
		}
	}
	assert.Equal(f.t, next, last+1)
}

// TestHostedServe checks that every kind of request is served if nothing fails: requests to
// models and to an adapter that have to be loaded first, and both kinds of calls of a plain
// service. Backend servers receive the workspace's name and no caller's key.
func TestHostedServe(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	for i := range 4 {
		f.assertStream(f.sendStream(i%2, "/draft/x", imitator.SiteModel(i)), 1, 10)
	}
	f.assertStream(f.sendStream(0, "/brief/x", "model1/a2"), 1, 10)
	order := f.send(0, http.MethodPost, "/order/a%2Fb?x=1", "X-Forwarded", "yes")
	assert.Equal(t, order.status, http.StatusOK)
	assert.Equal(t, order.body, "POST /order/a%2Fb?x=1 ")
	assert.Equal(t, order.header.Get("X-Response-Seal"), "seal-"+order.id)
	assert.Equal(t, f.runCount(order.id), 1)
	assert.Equal(t, f.send(1, http.MethodGet, "/status/1").status, http.StatusOK)
	for _, h := range append(f.site.Engines, f.site.Services...) {
		tenants, keys := h.Tenants()
		assert.Equal(t, keys, 0)
		for _, name := range tenants {
			assert.Equal(t, name, imitator.SiteTenant)
		}
		assert.Equal(t, h.Overcommits(), 0)
	}
}

// TestHostedMetrics checks the metrics of requests, orders and calls to the store.
func TestHostedMetrics(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.assertStream(f.sendStream(0, "/draft/x", imitator.SiteModel(3)), 1, 10)
	entry := readMetrics(t, f.entries[0].Addresses().Admin)
	for _, want := range []string{
		`oleanderstall_requests_total{outcome="served",workspace="` + imitator.SiteTenant + `"} 1`,
		`oleanderstall_request_seconds_count{outcome="served"} 1`,
		`oleanderstall_store_call_seconds_count{call="rows-get",outcome="done"}`,
		"oleanderstall_place_wait_seconds_count 1",
	} {
		assert.Assert(t, strings.Contains(entry, want), "%s in\n%s", want, entry)
	}
	all := ""
	for _, c := range f.sidecars {
		all += readMetrics(t, c.Addresses().Admin)
	}
	assert.Assert(t, strings.Contains(all, `oleanderstall_orders_total{op="load",outcome="accepted"}`))
}

// readMetrics returns the metrics of the process with an admin address.
func readMetrics(t *testing.T, address string) string {
	res, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(body)
}

// TestHostedBadInput checks that a request with a header that is too large or with a
// truncated body is refused without being run, and that the next request is served.
func TestHostedBadInput(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	large := f.send(0, http.MethodPost, "/order/1", "X-Filler", strings.Repeat("x", 3*maxHeaderBytes))
	assert.NilError(t, large.err)
	assert.Equal(t, large.status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, f.runCount(large.id), 0)

	conn, err := net.Dial("tcp", f.entries[0].Addresses().Callers)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	const id = "00000000000000ff"
	_, err = fmt.Fprintf(conn, "POST /order/2 HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Api-Key: %s\r\nContent-Length: 100\r\n\r\nshort",
		imitator.SiteHost, id, imitator.SiteKey)
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	answer, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(answer), " 200 "), "%s", answer)
	assert.Equal(t, f.runCount(id), 0)

	assert.Equal(t, f.send(0, http.MethodPost, "/order/3").status, http.StatusOK)
}

// TestHostedRefusals checks the status of requests to an unknown route, with a wrong or
// without a key, and to an unknown model. None of them is run.
func TestHostedRefusals(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	for _, c := range []struct {
		path, model, key string
		status           int
	}{
		{"/nowhere/x", "", imitator.SiteKey, http.StatusNotFound},
		{"/status/x", "", "another", http.StatusUnauthorized},
		{"/status/x", "", "", http.StatusUnauthorized},
		{"/draft/x", "unknown", imitator.SiteKey, http.StatusServiceUnavailable},
	} {
		r := f.send(0, http.MethodPost, c.path, "X-Model", c.model, "X-Api-Key", c.key)
		assert.Equal(t, r.status, c.status, "%+v", c)
		assert.Equal(t, f.runCount(r.id), 0)
	}
}

// TestHostedResume checks that a caller receives a whole stream, although the engine breaks
// it off, on a route whose streams may be resumed. On another route the stream is broken
// off towards the caller too, and the request is not run again.
func TestHostedResume(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
	for _, h := range f.site.Engines {
		h.SetFault(imitator.Fault{CutStreams: 1})
	}
	r := f.sendStream(0, "/brief/x", "model0")
	f.assertStream(r, 1, 10)
	for _, h := range f.site.Engines {
		h.SetFault(imitator.Fault{CutStreams: 1})
	}
	r = f.sendStream(0, "/draft/x", "model0")
	assert.Assert(t, r.err != nil, "a stream that was cut looks whole: %d %q", r.status, r.body)
	assert.Equal(t, f.runCount(r.id), 1)
}

// TestHostedUnframed checks streams and calls whose answers have neither a length nor chunks:
// whole ones are passed on, a stream that is cut inside an event goes on at another engine with
// that event, or is broken off towards the caller where it may not be resumed.
func TestHostedUnframed(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
	setFault := func(fault imitator.Fault) {
		for _, h := range append(f.site.Engines, f.site.Services...) {
			h.SetFault(fault)
		}
	}
	setFault(imitator.Fault{Unframed: true})
	f.assertStream(f.sendStream(0, "/draft/x", "model0"), 1, 10)
	call := f.send(0, http.MethodPost, "/order/x")
	assert.NilError(t, call.err)
	assert.Equal(t, call.body, "POST /order/x ")
	setFault(imitator.Fault{Unframed: true, CutStreams: 1})
	f.assertStream(f.sendStream(0, "/brief/x", "model0"), 1, 10)
	setFault(imitator.Fault{Unframed: true, CutStreams: 1})
	cut := f.sendStream(0, "/draft/x", "model0")
	assert.Assert(t, cut.err != nil, "a stream that was cut looks whole: %d %q", cut.status, cut.body)
	assert.Assert(t, !strings.Contains(cut.body, "id: 6"), "%q", cut.body)
}

// TestHostedResumeByCaller checks that a stream starts after the last event that the caller
// names.
func TestHostedResumeByCaller(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.assertStream(f.sendStream(0, "/brief/x", "model0", "Last-Event-Id", "4"), 5, 10)
}

// TestHostedLostAnswer checks that a call that is not idempotent is not retried when the
// response of the service is lost. The caller receives an error.
func TestHostedLostAnswer(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	for _, h := range f.site.Services {
		h.SetFault(imitator.Fault{LostAnswers: 1})
	}
	r := f.send(0, http.MethodPost, "/order/x")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, f.runCount(r.id), 1)
}

// TestHostedKeys checks that after a change of the configuration the withdrawn key is
// refused and the new one accepted.
func TestHostedKeys(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	assert.Equal(t, f.send(0, http.MethodGet, "/status/x").status, http.StatusOK)
	version, err := f.site.Configure("another")
	assert.NilError(t, err)
	f.waitFor("configuration", func() bool {
		return f.entries[0].config.View().Version() == version && f.entries[1].config.View().Version() == version
	})
	assert.Equal(t, f.send(0, http.MethodGet, "/status/x").status, http.StatusUnauthorized)
	assert.Equal(t, f.send(1, http.MethodGet, "/status/x", "X-Api-Key", "another").status, http.StatusOK)
}

// TestHostedLeaving checks that a backend server that reports that it is leaving receives
// no more requests.
func TestHostedLeaving(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.site.Services[0].Drain()
	f.waitFor("the list", func() bool { return f.entries[0].locator.ServingServers(imitator.SiteOrders) == 1 })
	runsBefore := len(f.site.Services[0].Runs())
	for range 10 {
		assert.Equal(t, f.send(0, http.MethodGet, "/status/x").status, http.StatusOK)
	}
	assert.Equal(t, len(f.site.Services[0].Runs()), runsBefore)
}

// TestHostedStop checks that a stopping entry becomes not ready and finishes the active
// streams.
func TestHostedStop(t *testing.T) {
	options := smallSite()
	options.EventInterval = 50 * time.Millisecond
	f := newHostedFleet(t, options)
	f.assertStream(f.sendStream(0, "/draft/x", "model0"), 1, 10)
	received := make(chan response)
	go func() { received <- f.sendStream(0, "/draft/x", "model0") }()
	time.Sleep(100 * time.Millisecond)
	go f.entries[0].Stop()
	f.waitFor("readiness to end", func() bool { return !f.entries[0].isReady() })
	f.assertStream(<-received, 1, 10)
}

// TestHostedOutage checks that requests are served during an outage of the store, also to a
// model that has to be loaded, and that the entry receives a new configuration after it.
func TestHostedOutage(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.assertStream(f.sendStream(0, "/draft/x", "model0"), 1, 10)
	f.site.Rows.SetFault(imitator.Fault{Down: true})
	time.Sleep(300 * time.Millisecond)
	f.assertStream(f.sendStream(0, "/draft/x", "model0"), 1, 10)
	f.assertStream(f.sendStream(1, "/draft/x", "model3"), 1, 10)
	assert.Equal(t, f.send(0, http.MethodPost, "/order/x").status, http.StatusOK)
	f.site.Rows.SetFault(imitator.Fault{})
	version, err := f.site.Configure("another")
	assert.NilError(t, err)
	f.waitFor("configuration", func() bool { return f.entries[0].config.View().Version() == version })
}

// TestPeerPortTaken guards against a process that never becomes ready and never ends because its
// peer port was taken at its start, as by a predecessor that still drains.
func TestPeerPortTaken(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	taken, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	s := f.settings("entry", "late")
	s.PeerAddress = taken.LocalAddr().String()
	s.Entry = &checker.Entry{CallerAddress: "127.0.0.1:0"}
	e, err := StartHostedEntry(s, errorLogger(s.Name))
	assert.NilError(t, err)
	t.Cleanup(e.Stop)
	time.Sleep(500 * time.Millisecond)
	assert.Assert(t, !e.isReady())
	assert.NilError(t, taken.Close())
	f.waitFor("ready", e.isReady)
}
