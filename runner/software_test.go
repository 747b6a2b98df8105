package runner

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// mixedSite returns a platform with two engines of each of two versions.
func mixedSite() imitator.SiteOptions {
	options := smallSite()
	options.Engines, options.EngineSoftware = 4, []string{"v1", "v2", "v1", "v2"}
	options.RestartTime = 100 * time.Millisecond
	return options
}

// versionsOf returns the versions of the engines that ran the requests with some IDs.
func (f *hostedFleet) versionsOf(ids ...string) []string {
	var versions []string
	for _, b := range f.site.Engines {
		runs := b.Runs()
		for _, id := range ids {
			if runs[id] > 0 && !slices.Contains(versions, b.Software()) {
				versions = append(versions, b.Software())
			}
		}
	}
	return versions
}

// TestStreamGoesOnAtItsVersion guards against a stream that breaks off and is continued, inside one
// answer, by an engine of another version of the software: the caller would get a text of two.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	f := newHostedFleet(t, mixedSite())
	joined, whole := 0, 0
	const streams = 12
	for i := range streams {
		for _, b := range f.site.Engines {
			b.SetFault(imitator.Fault{CutStreams: 1})
		}
		r := f.sendStream(i%2, "/brief/x", imitator.SiteModel(i%4))
		if len(f.versionsOf(r.id)) > 1 {
			joined++
		}
		if r.err == nil && r.status == http.StatusOK {
			whole++
		}
	}
	assert.Equal(t, joined, 0, "streams with events of two versions")
	assert.Assert(t, whole >= streams*3/4, "%d of %d streams went on", whole, streams)
}

// beginStream sends a request for a stream and closes the connection after a number of events. It
// returns the request's ID.
func (f *hostedFleet) beginStream(entry int, model string, events int) string {
	f.t.Helper()
	f.mu.Lock()
	f.lastID++
	id := fmt.Sprintf("%016x", f.lastID)
	f.mu.Unlock()
	req, err := imitator.NewModelRequest(f.t.Context(), f.entries[entry].Addresses().Callers, id, "/brief/x", model)
	assert.NilError(f.t, err)
	res, err := http.DefaultClient.Do(req)
	assert.NilError(f.t, err)
	defer func() { _ = res.Body.Close() }()
	assert.Equal(f.t, res.StatusCode, http.StatusOK)
	lines := bufio.NewScanner(res.Body)
	for seen := 0; seen < events && lines.Scan(); {
		if strings.HasPrefix(lines.Text(), "data: ") {
			seen++
		}
	}
	assert.NilError(f.t, lines.Err())
	return id
}

// takeUp sends a request that takes a stream up behind a number of events.
func (f *hostedFleet) takeUp(entry int, model, stream string, events int) response {
	return f.sendStream(entry, "/brief/x", model, "Last-Event-Id", strconv.Itoa(events), "Resumes", stream)
}

// TestTakeUpAfterLossOfEntries guards against a stream that a caller takes up at an engine of another
// version, after all entries that knew the stream are gone.
func TestTakeUpAfterLossOfEntries(t *testing.T) {
	f := newHostedFleet(t, mixedSite())
	const streams, events = 12, 3
	var begun []string
	for i := range streams {
		begun = append(begun, f.beginStream(i%2, imitator.SiteModel(i%4), events))
	}
	time.Sleep(300 * time.Millisecond) // The relay hears of the streams within that time.
	for _, e := range f.entries {
		e.Stop()
	}
	for _, b := range f.site.Engines {
		b.Crash() // All models are loaded again, wherever the requests need them.
	}
	f.startEntry(2)
	joined, served := 0, 0
	for i, stream := range begun {
		r := f.takeUp(2, imitator.SiteModel(i%4), stream, events)
		if len(f.versionsOf(stream, r.id)) > 1 {
			joined++
		}
		if r.err == nil && r.status == http.StatusOK {
			f.assertStream(r, events+1, 10)
			served++
		}
	}
	assert.Equal(t, joined, 0, "streams with events of two versions")
	assert.Assert(t, served >= streams*3/4, "%d of %d streams were taken up", served, streams)
}

// TestTakeUpOfVersionThatLeft guards against a stream that goes on at the new version because the
// servers of the old one have just left, also if all entries and relays were restarted since.
func TestTakeUpOfVersionThatLeft(t *testing.T) {
	options := mixedSite()
	options.EngineSoftware = []string{"v1", "v2", "v2", "v2"}
	f := newHostedFleet(t, options)
	stream := ""
	f.waitFor("a stream of the old version", func() bool {
		stream = f.beginStream(0, imitator.SiteModel(0), 3)
		if slices.Contains(f.versionsOf(stream), "v1") {
			return true
		}
		// The model is loaded elsewhere once its engine has crashed.
		for _, b := range f.site.Engines[1:] {
			if slices.Contains(b.LoadedModels(), imitator.SiteModel(0)) {
				b.Crash()
			}
		}
		return false
	})
	f.waitFor("the version's row", func() bool { return f.site.Rows.Has("fleet", "software") })
	f.site.Engines[0].PauseRow(true)
	f.site.Rows.Remove("servers", f.site.Engines[0].ID())
	time.Sleep(time.Second)
	check := func(entry int) {
		r := f.takeUp(entry, imitator.SiteModel(0), stream, 3)
		assert.Equal(t, r.status, http.StatusServiceUnavailable, r.body)
		assert.Assert(t, strings.Contains(r.body, "other_software"), r.body)
		assert.Equal(t, f.runCount(r.id), 0)
	}
	check(0)
	for _, e := range f.entries {
		e.Stop()
	}
	for _, c := range f.sidecars {
		c.Stop()
	}
	for i := range f.site.EngineAddresses {
		f.startSidecar(i)
	}
	f.startEntry(2)
	check(2)
	f.waitFor("a new stream", func() bool { return f.sendStream(2, "/brief/x", imitator.SiteModel(1)).status == http.StatusOK })
}
