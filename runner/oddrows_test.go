package runner

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// oddServerRows are values of rows in the list of backend servers that name no server, by the IDs
// that they have in the tests.
var oddServerRows = map[string]string{
	"odd-empty":    ``,
	"odd-bytes":    "\x00\xff\xfe",
	"odd-null":     `null`,
	"odd-list":     `[]`,
	"odd-nested":   nested(maxRowBytes / 2),
	"odd-unclosed": strings.Repeat(`{"a":[`, maxRowBytes/len(`{"a":[`)),
	"odd-number":   `{"service":"models","address":"127.0.0.1:1","zone":"centre-1","state":"ready","slots":` + strings.Repeat("9", 10_000) + `}`,
	"odd-exponent": `{"service":"models","address":"127.0.0.1:1","zone":"centre-1","state":"ready","slots":1e999,"models":[{"name":"model0"}]}`,
	"odd-negative": `{"service":"models","address":"127.0.0.1:1","zone":"centre-1","state":"ready","slots":-9223372036854775808,"models":[{"name":"model0"}]}`,
	"odd-port":     `{"service":"models","address":"127.0.0.1:70000","zone":"centre-1","state":"ready","slots":4,"models":[{"name":"model0"}]}`,
	"odd-zero":     `{"service":"orders","address":"127.0.0.1:0","zone":"centre-1","state":"ready","slots":4}`,
	"odd-address":  `{"service":"orders","address":"nowhere","zone":"centre-1","state":"ready","slots":4}`,
	"odd-type":     `{"service":"orders","address":["127.0.0.1:1"],"zone":"centre-1","state":"ready","slots":4}`,
	"odd-state":    `{"service":"orders","address":"127.0.0.1:1","zone":"centre-1","state":"asleep","slots":4}`,
	"odd-zone":     `{"service":"orders","address":"127.0.0.1:1","state":"ready","slots":4}`,
	"odd-born":     `{"service":"orders","address":"127.0.0.1:1","zone":"centre-1","state":"ready","slots":4,"born":1.5}`,
	"odd-service":  `{"service":"elsewhere","address":"127.0.0.1:1","zone":"centre-1","state":"ready","slots":4}`,
	"odd-models":   `{"service":"models","address":"127.0.0.1:70000","zone":"centre-1","state":"ready","slots":4,"models":[` + nested(20_000) + `,7,null]}`,
	"odd id\r\nX:": `{"service":"orders","address":"127.0.0.1:1","zone":"centre-1","state":"ready","slots":4}`,
}

// oddMemberRows are values of rows of processes that name none.
var oddMemberRows = map[string]string{
	"odd-0": ``, "odd-1": "\xff", "odd-2": `null`, "odd-3": nested(maxRowBytes / 2), "odd-4": `{"role":"sidecar","centre":"centre-1","address":"127.0.0.1:70000"}`,
	"odd-5": `{"role":"broker","centre":"centre-1","address":"127.0.0.1:1"}`, "odd-6": `{"role":"sidecar","centre":"centre-1"}`,
	"odd-7": `{"role":"sidecar","centre":"centre-1","address":"127.0.0.1:1","started":1e40}`, "": `{}`,
}

// putOddRows writes the odd rows, with a suffix in their keys.
func putOddRows(site *imitator.Site, suffix string) {
	for id, value := range oddServerRows {
		site.Rows.PutRaw("servers", id+suffix, []byte(value))
	}
	for name, value := range oddMemberRows {
		site.Rows.PutRaw("fleet", "process:"+name+suffix, []byte(value))
		site.Rows.PutRaw("fleet", "engine:"+name+suffix, []byte(value))
		site.Rows.PutRaw("fleet", "other"+name+suffix, []byte(value))
		site.Rows.PutRaw("op", "other"+name+suffix, []byte(value))
	}
}

// startFleet starts a sidecar for each engine of a site and two entries.
func startFleet(t *testing.T, site *imitator.Site) *hostedFleet {
	f := &hostedFleet{t: t, site: site}
	for i := range site.EngineAddresses {
		f.startSidecar(i)
	}
	f.startEntry(0)
	f.startEntry(1)
	return f
}

// newSite starts a site that ends with the test.
func newSite(t *testing.T) *imitator.Site {
	site, err := imitator.NewSite(smallSite())
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	return site
}

// assertServes checks that both entries serve streams and calls, that the sidecars load models, and
// that no odd row is used.
func (f *hostedFleet) assertServes() {
	f.t.Helper()
	for i, e := range f.entries {
		f.waitFor("the sidecars", func() bool { return e.locator.ReportingSidecars() == len(f.site.Engines) })
		for model := range 4 {
			f.waitFor("a model", func() bool { return f.sendStream(i, "/brief/x", imitator.SiteModel(model)).status == http.StatusOK })
		}
		f.assertStream(f.sendStream(i, "/draft/x", "model0"), 1, 10)
		for range 6 {
			assert.Equal(f.t, f.send(i, http.MethodPost, "/order/x").status, http.StatusOK)
		}
		f.waitFor("the list", func() bool {
			return e.locator.ServingServers(imitator.SiteModels) == len(f.site.Engines) && e.locator.ServingServers(imitator.SiteOrders) == len(f.site.Services)
		})
		assert.Equal(f.t, e.locator.ServingServers(""), 0)
	}
	for _, c := range f.sidecars {
		assert.Assert(f.t, c.isReady())
	}
}

// assertFollows checks that both entries take over a new configuration and the departure of a
// server. It is the last check of a test.
func (f *hostedFleet) assertFollows() {
	f.t.Helper()
	version, err := f.site.Configure("another")
	assert.NilError(f.t, err)
	f.site.Services[0].Drain()
	for _, e := range f.entries {
		f.waitFor("the configuration", func() bool { return e.config.View().Version() == version })
		f.waitFor("the list", func() bool { return e.locator.ServingServers(imitator.SiteOrders) == len(f.site.Services)-1 })
	}
}

// TestOddRowsAtStart guards against entries and sidecars that do not get to serve because odd rows
// are in the store when they start.
func TestOddRowsAtStart(t *testing.T) {
	site := newSite(t)
	putOddRows(site, "")
	f := startFleet(t, site)
	f.assertServes()
	f.assertFollows()
}

// TestOddRowsLater guards against entries and sidecars that end, stop serving or stop following
// when odd rows come to the store one by one, take the places of sound ones for a moment, and come
// again after their removal.
func TestOddRowsLater(t *testing.T) {
	f := startFleet(t, newSite(t))
	f.assertServes()
	for id, value := range oddServerRows {
		f.site.Rows.PutRaw("servers", id, []byte(value))
		assert.Equal(t, f.send(0, http.MethodPost, "/order/x").status, http.StatusOK)
	}
	putOddRows(f.site, "-later")
	f.assertServes()
	for _, value := range oddServerRows {
		f.site.Rows.PutRaw("servers", "engine-0", []byte(value))
		f.site.Rows.PutRaw("servers", "service-1", []byte(value))
		time.Sleep(5 * time.Millisecond)
	}
	f.assertServes()
	for id := range oddServerRows {
		f.site.Rows.Remove("servers", id)
	}
	f.site.Rows.Compact()
	putOddRows(f.site, "-again")
	f.assertServes()
	f.assertFollows()
}

// oddAnswerRows are rows of a table that no sound store returns, with TABLE for the table's name.
var oddAnswerRows = []string{
	`null`, `7`, `[]`, `{}`, `"row"`, nested(20_000), `{"table":"TABLE","part":"","key":7,"ver":1}`, `{"table":[],"part":"","key":"odd","ver":1}`,
	`{"table":"TABLE","part":"","key":"odd-base","value":"%","ver":1}`, `{"table":"TABLE","part":"","key":"odd-value","value":[1],"ver":1}`,
	`{"table":"TABLE","part":"","key":"odd-deep","value":` + nested(20_000) + `,"ver":1}`,
	`{"table":"TABLE","part":"","key":"odd-large","value":"e30=","ver":99999999999999999999}`, `{"table":"TABLE","part":"","key":"odd-most","value":"e30=","ver":18446744073709551615}`,
	`{"table":"TABLE","part":"","key":"odd-minus","value":"e30=","ver":-1}`, `{"table":"TABLE","part":"","key":"odd-half","value":"e30=","ver":0.5}`,
	`{"table":"TABLE","part":"","key":"odd-deleted","ver":1,"deleted":7}`, `{"table":"TABLE","part":"p","key":"odd-part","value":"e30=","ver":1}`,
}

// serveOddAnswers starts a store that returns the rows of another one after odd rows, in each
// answer. It returns the address.
func serveOddAnswers(t *testing.T, rows http.Handler) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		rows.ServeHTTP(recorder, r)
		w.WriteHeader(recorder.Code)
		_, _ = w.Write([]byte(addOddRows(recorder.Body.String(), r.URL.Query().Get("table"))))
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// addOddRows returns an answer of the store with odd rows of a table before its own.
func addOddRows(answer, table string) string {
	odd := strings.ReplaceAll(strings.Join(oddAnswerRows, ","), "TABLE", table)
	rest, ok := strings.CutPrefix(answer, `{"rows":[`)
	switch {
	case !ok:
		return answer
	case strings.HasPrefix(rest, "]"):
		return `{"rows":[` + odd + rest
	}
	return `{"rows":[` + odd + "," + rest
}
