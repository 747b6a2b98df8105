package overloader

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// requestTimeout bounds one try of an ordinary request.
const requestTimeout = 6 * time.Second

// plainClient opens a connection for each request.
var plainClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: requestTimeout}

// expectStatus sends a request and returns an error unless it is answered with the status.
func expectStatus(req *http.Request, status int) error {
	res, err := plainClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != status {
		err = fmt.Errorf("status %d: %.200s", res.StatusCode, text)
	}
	return err
}

// startHosted starts a site and a hosted entry inside the limits. It returns the entry and the
// address of its readiness checks.
func startHosted(t testing.TB, within limits) (entry *instance, ready string) {
	t.Helper()
	return startSite(t, within, imitator.SiteOptions{
		Engines: 1, Services: 2, Models: 1, ModelsPerEngine: 1, EventsPerStream: 10, ServiceTime: 5 * time.Millisecond,
		Rate: 1e9, Burst: 1e9,
	})
}

// startHostedSite starts a site with the options and a hosted entry.
func startHostedSite(t testing.TB, within limits, options imitator.SiteOptions) *instance {
	t.Helper()
	entry, _ := startSite(t, within, options)
	return entry
}

// startSite starts a site with the options and a hosted entry inside the limits.
func startSite(t testing.TB, within limits, options imitator.SiteOptions) (entry *instance, ready string) {
	t.Helper()
	site, err := imitator.NewSite(options)
	assert.NilError(t, err)
	t.Cleanup(site.Stop)
	ready = freeAddress(t)
	path := settingsFile(t, map[string]any{
		"role": "entry", "name": "entry-a", "centre": imitator.SiteCentre, "peer": "127.0.0.1:0", "admin": "127.0.0.1:0",
		"hosted": map[string]any{"store": site.StoreAddress, "ready": ready, "memory": within.memory / 1e6},
		"entry":  map[string]any{"callers": "127.0.0.1:0", "grace": "200ms"},
	})
	entry = launch(t, within.descriptors, nil, "entry", "--settings", path)
	eventually(t, "the entry serves", hostedRequest(t, entry))
	return entry, ready
}

// hostedRequest returns a function that sends an ordinary request to a hosted entry.
func hostedRequest(t testing.TB, entry *instance) func() error {
	count := 0
	return func() error {
		count++
		ctx, cancel := context.WithTimeout(t.Context(), requestTimeout)
		defer cancel()
		req, err := imitator.NewRequest(ctx, entry.Callers, fmt.Sprintf("ordinary-%d", count), http.MethodGet, "/status/one")
		assert.NilError(t, err)
		return expectStatus(req, http.StatusOK)
	}
}

// hostedTarget returns the listener for callers of a hosted entry.
func hostedTarget(entry *instance) target {
	head := " /order/one HTTP/1.1\r\nHost: " + imitator.SiteHost + "\r\nX-Api-Key: " + imitator.SiteKey + "\r\n"
	return target{address: entry.Callers, bodyHead: "POST" + head, plainHead: "GET" + head}
}

// TestHostedCallers guards against a hosted entry that ends, hangs or exceeds the memory or the
// descriptors of its instance because of a few callers.
func TestHostedCallers(t *testing.T) {
	for _, l := range slices.Concat(bodyLoads, connectionLoads) {
		t.Run(l.name, func(t *testing.T) {
			entry, _ := startHosted(t, l.within())
			checkLoad(t, entry, l.within(), hostedTarget(entry), l, hostedRequest(t, entry))
		})
	}
}
