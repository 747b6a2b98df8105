package engine

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndlessRefusals guards against a sidecar that runs out of memory because its engine answers many
// requests at a time with an error whose body has no end: each must fail soon, and all together may
// hold little.
func TestEndlessRefusals(t *testing.T) {
	const requests, maxGrowth = 64, 64 << 20
	// A string would be copied for each write, and counted below.
	filler := bytes.Repeat([]byte("x"), 32<<10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		for {
			if _, err := w.Write(filler); err != nil {
				return
			}
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var calls sync.WaitGroup
	for range requests {
		calls.Go(func() {
			_, err := New(s.URL).Generate(ctx, Request{ID: "i", Body: []byte("{}")}, func(string) error { return nil })
			assert.Check(t, err != nil)
		})
	}
	calls.Wait()
	runtime.ReadMemStats(&after)
	assert.NilError(t, ctx.Err())
	grown := after.TotalAlloc - before.TotalAlloc
	t.Logf("%d bytes were allocated", grown)
	assert.Assert(t, grown < maxGrowth)
}
