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

// TestEndlessAnswers guards against a sidecar that runs out of memory because its engine answers many
// requests at a time with bytes without end, in the body of an error or in a line of a stream: each must
// fail soon, and all together may hold little.
func TestEndlessAnswers(t *testing.T) {
	const requests, maxGrowth = 64, 64 << 20
	for _, c := range []struct {
		name      string
		status    int
		beginning string
	}{
		{name: "error", status: http.StatusInternalServerError},
		{name: "line", status: http.StatusOK},
		{name: "event", status: http.StatusOK, beginning: "data: {\"choices\":[{\"text\":\""},
		{name: "second event", status: http.StatusOK, beginning: "data: {}\n\ndata: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New(newEndlessServer(t, c.status, c.beginning).URL)
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var calls sync.WaitGroup
			for range requests {
				calls.Go(func() {
					_, err := client.Generate(ctx, Request{ID: "i", Body: []byte("{}")}, func(string) error { return nil })
					assert.Check(t, err != nil)
				})
			}
			calls.Wait()
			runtime.ReadMemStats(&after)
			assert.NilError(t, ctx.Err())
			grown := after.TotalAlloc - before.TotalAlloc
			t.Logf("%d bytes were allocated", grown)
			assert.Assert(t, grown < maxGrowth)
		})
	}
}

// newEndlessServer starts an engine that answers each request with a status, a beginning and then the
// same byte without end.
func newEndlessServer(t *testing.T, status int, beginning string) *httptest.Server {
	t.Helper()
	// A string would be copied for each write, and counted by the test.
	filler := bytes.Repeat([]byte("x"), 32<<10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, err := w.Write([]byte(beginning))
		for err == nil {
			_, err = w.Write(filler)
		}
	}))
	t.Cleanup(s.Close)
	return s
}
