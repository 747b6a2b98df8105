package runner

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/checker"
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

// fatalTarget is the target of a request on which engines crash.
const fatalTarget = "/draft/fatal"

// sendFatalRequest sends the request on which engines crash. Each repeat is the same but for its ID.
func (f *hostedFleet) sendFatalRequest(entry int) response {
	return f.sendStream(entry, fatalTarget, imitator.SiteModel(0), "X-Prefix-Hash", firstPart+":50,77:10")
}

// crashThrice sends the fatal request to entries in turn until it has crashed three engines, each at a
// moment of its own.
func (f *hostedFleet) crashThrice(entries ...int) {
	f.t.Helper()
	f.crashOn(fatalTarget)
	next := 0
	f.waitFor("three crashes", func() bool {
		// The model is loaded again for a sound request.
		f.sendParts(0, "/draft/x", 400+next, firstPart)
		f.sendFatalRequest(entries[next%len(entries)])
		next++
		time.Sleep(100 * time.Millisecond)
		return f.fatalRuns() >= 3
	})
	f.waitFor("quarantine", func() bool { return f.sendFatalRequest(entries[0]).status == http.StatusServiceUnavailable })
}

// assertFatalRefused checks that an entry serves a sound request, and that it refuses the fatal one with
// the same first part, sent repeatedly, before that reaches an engine.
func (f *hostedFleet) assertFatalRefused(entry int) {
	f.t.Helper()
	f.waitFor("a sound request", func() bool {
		// The model is loaded again for a request at an entry with a relay.
		f.sendParts(0, "/draft/x", 300, firstPart)
		return f.sendParts(entry, "/draft/x", 301, firstPart).status == http.StatusOK
	})
	before := f.fatalRuns()
	for range 8 {
		r := f.sendFatalRequest(entry)
		assert.Assert(f.t, strings.Contains(r.body, "quarantined"), "%d %s %v", r.status, r.body, r.err)
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(f.t, f.fatalRuns()-before, 0, "requests that reached engines")
}

// TestFatalRequestAfterRestartOfAll guards against processes that, all killed at once, learn again from
// three further crashes what a request does to engines.
func TestFatalRequestAfterRestartOfAll(t *testing.T) {
	f := newHostedFleet(t, crashSite())
	f.crashThrice(0, 1)
	time.Sleep(time.Second) // The records of the third crash are written within that time.
	for _, e := range f.entries {
		e.Stop()
	}
	for _, c := range f.sidecars {
		c.Stop()
	}
	f.entries, f.sidecars = nil, nil
	for i := range f.site.EngineAddresses {
		f.startSidecar(i)
	}
	for i := range 2 {
		f.startEntry(i)
	}
	for i := range f.entries {
		f.assertFatalRefused(i)
	}
}

// startSeparateEntry starts an entry of a second data centre that reaches the store and the engines
// only. Its secret is another one, so that no process accepts a link of another data centre.
func (f *hostedFleet) startSeparateEntry() {
	_, err := f.site.Rows.Put("fleet", "secret", "the secret of the second data centre")
	assert.NilError(f.t, err)
	s := f.settings("entry", "separate")
	s.Centre = "centre-2"
	s.Entry = &checker.Entry{CallerAddress: "127.0.0.1:0", ShutdownDelay: checker.Duration(100 * time.Millisecond)}
	e, err := StartHostedEntry(s, errorLogger(s.Name))
	assert.NilError(f.t, err)
	f.t.Cleanup(e.Stop)
	f.entries = append(f.entries, e)
	f.waitFor("ready", e.isReady)
}

// TestFatalRequestAtACut guards against data centres that count apart while they cannot reach each
// other and both reach the store: the second one must not need three crashes of its own.
func TestFatalRequestAtACut(t *testing.T) {
	f := newHostedFleet(t, crashSite())
	f.startSeparateEntry()
	f.crashThrice(0, 1)
	time.Sleep(2 * time.Second) // Rows written by others are read within that time.
	f.assertFatalRefused(2)
}

// TestFatalRequestAtAnEntryAlone is TestFatalRequestAtACut the other way round: only an entry without
// a relay sees the crashes.
func TestFatalRequestAtAnEntryAlone(t *testing.T) {
	f := newHostedFleet(t, crashSite())
	f.startSeparateEntry()
	f.crashThrice(2)
	time.Sleep(2 * time.Second) // Rows written by others are read within that time.
	f.assertFatalRefused(0)
}
