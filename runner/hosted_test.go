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

// hostedFleet is a stand-in site with the system's processes on it, all in this
// process.
type hostedFleet struct {
	t        *testing.T
	site     *imitator.Site
	entries  []*HostedEntry
	sidecars []*HostedSidecar
	mu       sync.Mutex
	ids      int
}

func smallSite() imitator.SiteTerms {
	return imitator.SiteTerms{
		Engines: 2, Services: 2, Models: 4, Room: 2, Load: 60 * time.Millisecond, Step: 5 * time.Millisecond,
		Events: 10, Work: 10 * time.Millisecond, Rate: 1e6, Burst: 1e6,
	}
}

func newHostedFleet(t *testing.T, terms imitator.SiteTerms) *hostedFleet {
	site, err := imitator.NewSite(terms)
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	f := &hostedFleet{t: t, site: site}
	for i := range site.Apps {
		f.startSidecar(i)
	}
	for i := range 2 {
		f.startEntry(i)
	}
	f.waitFor("sidecars", func() bool {
		for _, e := range f.entries {
			if e.locator.ReportingSidecars() < len(site.Apps) {
				return false
			}
		}
		return true
	})
	return f
}

func (f *hostedFleet) common(role, name string) *checker.Settings {
	return &checker.Settings{
		Role: role, Name: name, Centre: imitator.SiteCentre, Peer: "127.0.0.1:0", Admin: "127.0.0.1:0",
		Hosted: &checker.Hosted{
			Store: f.site.Store, Ready: "127.0.0.1:0", Grace: checker.Span(3 * time.Second), Lease: checker.Span(time.Second),
			Retries: checker.Retries{Ratio: 0.2, Slack: 20},
		},
	}
}

func (f *hostedFleet) startSidecar(i int) {
	s := f.common("sidecar", fmt.Sprintf("sidecar-%d", i))
	s.Sidecar = &checker.Sidecar{Kind: "engine", Backend: "http://" + f.site.Apps[i], Pool: imitator.SiteModels}
	c, err := StartHostedSidecar(s, quiet(s.Name))
	assert.NilError(f.t, err)
	f.t.Cleanup(c.Stop)
	f.sidecars = append(f.sidecars, c)
}

func (f *hostedFleet) startEntry(i int) {
	s := f.common("entry", fmt.Sprintf("entry-%d", i))
	s.Entry = &checker.Entry{Callers: "127.0.0.1:0", Grace: checker.Span(100 * time.Millisecond)}
	e, err := StartHostedEntry(s, quiet(s.Name))
	assert.NilError(f.t, err)
	f.t.Cleanup(e.Stop)
	f.entries = append(f.entries, e)
	f.waitFor("ready", e.isReady)
}

func (f *hostedFleet) waitFor(what string, done func() bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("waiting for %s", what)
	}, poll.WithDelay(10*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// reply is what a caller received.
type reply struct {
	id     string
	status int
	header http.Header
	body   string
	err    error
}

// ask sends a request to an entry and reads the whole answer.
func (f *hostedFleet) ask(entry int, method, path string, header ...string) reply {
	f.mu.Lock()
	f.ids++
	id := fmt.Sprintf("%016x", f.ids)
	f.mu.Unlock()
	req, err := imitator.NewCall(f.t.Context(), f.entries[entry].Addresses().Callers, id, method, path, header...)
	assert.NilError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{id: id, err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	return reply{id: id, status: res.StatusCode, header: res.Header, body: string(body), err: err}
}

// draft asks for a stream of a model.
func (f *hostedFleet) draft(entry int, path, model string, header ...string) reply {
	return f.ask(entry, http.MethodPost, path, append([]string{"X-Model", model, "X-Token-Count", "100,50"}, header...)...)
}

// runs adds up how often a request ran.
func (f *hostedFleet) runs(id string) int {
	n := 0
	for _, h := range append(f.site.Engines, f.site.Services...) {
		n += h.Runs()[id]
	}
	return n
}

// whole checks that a stream has all events of one run, in order.
func (f *hostedFleet) whole(r reply, from, events int) {
	f.t.Helper()
	assert.NilError(f.t, r.err)
	assert.Equal(f.t, r.status, http.StatusOK, r.body)
	lines := bufio.NewScanner(strings.NewReader(r.body))
	next := from
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			assert.Equal(f.t, text, fmt.Sprintf("%s.%d", r.id, next))
			next++
		}
	}
	assert.Equal(f.t, next, events+1)
}

// TestHostedPath serves every kind of request on a calm site: a model that no
// engine holds is loaded, an adapter too, orders and their status go through.
func TestHostedPath(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	for i := range 4 {
		f.whole(f.draft(i%2, "/draft/x", imitator.SiteModel(i)), 1, 10)
	}
	f.whole(f.draft(0, "/brief/x", "model1/a2"), 1, 10)
	order := f.ask(0, http.MethodPost, "/order/a%2Fb?x=1", "X-Forwarded", "yes")
	assert.Equal(t, order.status, http.StatusOK)
	assert.Equal(t, order.body, "POST /order/a%2Fb?x=1 ")
	assert.Equal(t, order.header.Get("X-Response-Seal"), "seal-"+order.id)
	assert.Equal(t, f.runs(order.id), 1)
	assert.Equal(t, f.ask(1, http.MethodGet, "/status/1").status, http.StatusOK)
	for _, h := range append(f.site.Engines, f.site.Services...) {
		tenants, keys := h.Tenants()
		assert.Equal(t, keys, 0)
		for _, name := range tenants {
			assert.Equal(t, name, imitator.SiteTenant)
		}
		assert.Equal(t, h.Crashes(), 0)
	}
}

// TestHostedMetrics serves metrics of requests, orders and calls to the store.
func TestHostedMetrics(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.whole(f.draft(0, "/draft/x", imitator.SiteModel(3)), 1, 10)
	entry := metrics(t, f.entries[0].Addresses().Admin)
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
		all += metrics(t, c.Addresses().Admin)
	}
	assert.Assert(t, strings.Contains(all, `oleanderstall_orders_total{op="load",outcome="accepted"}`))
}

// metrics reads the metrics of a process.
func metrics(t *testing.T, address string) string {
	res, err := http.Get("http://" + address + "/metrics")
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(body)
}

// TestHostedBadInput refuses a header that is too large and a body that is cut short.
// Neither runs, and the next request is served.
func TestHostedBadInput(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	large := f.ask(0, http.MethodPost, "/order/1", "X-Filler", strings.Repeat("x", 3*maxHeader))
	assert.NilError(t, large.err)
	assert.Equal(t, large.status, http.StatusRequestHeaderFieldsTooLarge)
	assert.Equal(t, f.runs(large.id), 0)

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
	assert.Equal(t, f.runs(id), 0)

	assert.Equal(t, f.ask(0, http.MethodPost, "/order/3").status, http.StatusOK)
}

// TestHostedRefusals answers what no configuration allows, and tells that nothing
// has run.
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
		r := f.ask(0, http.MethodPost, c.path, "X-Model", c.model, "X-Api-Key", c.key)
		assert.Equal(t, r.status, c.status, "%+v", c)
		assert.Equal(t, f.runs(r.id), 0)
	}
}

// TestHostedResume passes one whole stream on though its engine cuts it, and cuts
// a stream that may not be resumed.
func TestHostedResume(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.whole(f.draft(0, "/brief/x", "model0"), 1, 10)
	for _, h := range f.site.Engines {
		h.Set(imitator.Fault{Cut: 1})
	}
	r := f.draft(0, "/brief/x", "model0")
	f.whole(r, 1, 10)
	for _, h := range f.site.Engines {
		h.Set(imitator.Fault{Cut: 1})
	}
	r = f.draft(0, "/draft/x", "model0")
	assert.Assert(t, r.err != nil, "a stream that was cut looks whole: %d %q", r.status, r.body)
	assert.Equal(t, f.runs(r.id), 1)
}

// TestHostedResumeByCaller goes on after the last event that the caller has.
func TestHostedResumeByCaller(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.whole(f.draft(0, "/brief/x", "model0", "Last-Event-Id", "4"), 5, 10)
}

// TestHostedLostAnswer does not repeat an order whose answer was lost, and says
// that it may have run; a status is asked for again.
func TestHostedLostAnswer(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	for _, h := range f.site.Services {
		h.Set(imitator.Fault{Lose: 1})
	}
	r := f.ask(0, http.MethodPost, "/order/x")
	assert.Equal(t, r.status, http.StatusBadGateway)
	assert.Equal(t, f.runs(r.id), 1)
}

// TestHostedKeys accepts a granted key and refuses a withdrawn one, also at an
// entry that the store turns away.
func TestHostedKeys(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	assert.Equal(t, f.ask(0, http.MethodGet, "/status/x").status, http.StatusOK)
	version, err := f.site.Configure("another")
	assert.NilError(t, err)
	f.waitFor("configuration", func() bool {
		return f.entries[0].copy.View().Version() == version && f.entries[1].copy.View().Version() == version
	})
	assert.Equal(t, f.ask(0, http.MethodGet, "/status/x").status, http.StatusUnauthorized)
	assert.Equal(t, f.ask(1, http.MethodGet, "/status/x", "X-Api-Key", "another").status, http.StatusOK)
}

// TestHostedLeaving sends nothing more to a server that leaves.
func TestHostedLeaving(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.site.Services[0].Drain()
	f.waitFor("the list", func() bool { return f.entries[0].locator.Serving(imitator.SiteOrders) == 1 })
	before := len(f.site.Services[0].Runs())
	for range 10 {
		assert.Equal(t, f.ask(0, http.MethodGet, "/status/x").status, http.StatusOK)
	}
	assert.Equal(t, len(f.site.Services[0].Runs()), before)
}

// TestHostedStop finishes the streams in hand and tells the platform first.
func TestHostedStop(t *testing.T) {
	terms := smallSite()
	terms.Step = 50 * time.Millisecond
	f := newHostedFleet(t, terms)
	f.whole(f.draft(0, "/draft/x", "model0"), 1, 10)
	got := make(chan reply)
	go func() { got <- f.draft(0, "/draft/x", "model0") }()
	time.Sleep(100 * time.Millisecond)
	go f.entries[0].Stop()
	f.waitFor("readiness to end", func() bool { return !f.entries[0].isReady() })
	f.whole(<-got, 1, 10)
}

// TestHostedOutage serves what is loaded while the store is down, and follows it
// again afterwards.
func TestHostedOutage(t *testing.T) {
	f := newHostedFleet(t, smallSite())
	f.whole(f.draft(0, "/draft/x", "model0"), 1, 10)
	f.site.Rows.Set(imitator.Fault{Down: true})
	time.Sleep(300 * time.Millisecond)
	f.whole(f.draft(0, "/draft/x", "model0"), 1, 10)
	f.whole(f.draft(1, "/draft/x", "model3"), 1, 10)
	assert.Equal(t, f.ask(0, http.MethodPost, "/order/x").status, http.StatusOK)
	f.site.Rows.Set(imitator.Fault{})
	version, err := f.site.Configure("another")
	assert.NilError(t, err)
	f.waitFor("configuration", func() bool { return f.entries[0].copy.View().Version() == version })
}
