package runner

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// Parts of prompts in these tests: the first one is in sound requests as well.
const (
	firstPart = "a1"
	fatalPart = "bad"
)

// maxFatalRuns bounds the crashes until the entries have noticed what causes them.
const maxFatalRuns = 8

// crashSite returns a platform with four engines, which start again soon after a crash.
func crashSite() imitator.SiteOptions {
	options := smallSite()
	options.Engines, options.RestartTime = 4, 400*time.Millisecond
	return options
}

// fatalRuns returns the number of requests with a fatal part that reached a backend server.
func (f *hostedFleet) fatalRuns() int {
	n := 0
	for _, b := range append(f.site.Engines, f.site.Services...) {
		n += b.FatalRuns()
	}
	return n
}

// crashOn makes all backend servers crash on requests with a part.
func (f *hostedFleet) crashOn(part string) {
	for _, b := range append(f.site.Engines, f.site.Services...) {
		b.CrashOn(part)
	}
}

// sendParts sends a request for a stream whose prompt has the given parts and one of its own.
func (f *hostedFleet) sendParts(entry int, path string, i int, parts ...string) response {
	prefix := ""
	for _, part := range parts {
		prefix += part + ":50,"
	}
	return f.sendStream(entry, path, imitator.SiteModel(0), "X-Prefix-Hash", fmt.Sprintf("%s%x:10", prefix, 0x1000+i))
}

// TestFatalPartStopsCrashing guards against engines that crash one after the other because
// each new request with the same fatal prompt part is sent to the next engine, by any entry.
// Sound requests that share the first part have to go on.
func TestFatalPartStopsCrashing(t *testing.T) {
	f := newHostedFleet(t, crashSite())
	f.assertStream(f.sendParts(0, "/draft/x", 0, firstPart), 1, 10)
	f.crashOn(fatalPart)
	served, refused := 0, 0
	for i := range 30 {
		bad := f.sendParts(i%2, "/draft/x", 100+i, firstPart, fatalPart)
		if bad.err == nil && bad.status == http.StatusServiceUnavailable && bad.header.Get("Retry-After") != "" {
			refused++
		}
		time.Sleep(100 * time.Millisecond)
		if r := f.sendParts((i+1)%2, "/draft/x", 200+i, firstPart); r.err == nil && r.status == http.StatusOK {
			served++
		}
	}
	assert.Assert(t, f.fatalRuns() <= maxFatalRuns, "%d requests with the fatal part reached engines", f.fatalRuns())
	assert.Assert(t, refused >= 20, "%d requests with the fatal part were refused", refused)
	assert.Assert(t, served >= 20, "%d of 30 sound requests were served", served)
}
