package overloader

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/imitator"
)

// Sizes of the load by answers of backend servers.
const (
	// answerCallers is the number of callers at a time, and answerBytes the size of a large legal
	// answer.
	answerCallers = 64
	answerBytes   = 3 << 20
)

// newAnswerServer starts a backend server whose answers are large or endless if the path or the
// query of the request says so.
func newAnswerServer(t testing.TB) *httptest.Server {
	t.Helper()
	large := bytes.Repeat([]byte("a"), answerBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.Header().Set("X-Request-Id", id)
		w.Header().Set("X-Response-Seal", "seal-"+id)
		switch {
		case strings.HasSuffix(r.RequestURI, "endless"):
			for {
				if _, err := w.Write(large); err != nil {
					return
				}
			}
		case strings.HasSuffix(r.RequestURI, "large"):
			_, _ = w.Write(large)
		default:
			_, _ = io.WriteString(w, "ordinary")
		}
	}))
	t.Cleanup(server.Close)
	return server
}

// callAll sends requests at a time and waits for their ends. Callers read their answers.
func callAll(t testing.TB, newRequest func(ctx context.Context, i int) *http.Request) {
	ctx, cancel := context.WithTimeout(t.Context(), sendTime)
	defer cancel()
	var calls sync.WaitGroup
	for i := range answerCallers {
		calls.Go(func() {
			if res, err := plainClient.Do(newRequest(ctx, i)); err == nil {
				_, _ = io.Copy(io.Discard, res.Body)
				_ = res.Body.Close()
			}
		})
	}
	calls.Wait()
}

// answerLoads are the ends of the targets of requests with such answers.
var answerLoads = []string{"large", "endless"}

// TestHostedAnswers guards against a hosted entry that exceeds its memory because backend servers
// send answers that are large or have no end.
func TestHostedAnswers(t *testing.T) {
	for _, kind := range answerLoads {
		t.Run(kind, func(t *testing.T) {
			backend := newAnswerServer(t)
			entry := startHostedSite(t, smallest, imitator.SiteOptions{
				Engines: 1, Services: 1, Models: 1, ModelsPerEngine: 1, EventsPerStream: 10, Rate: 1e9, Burst: 1e9,
				// The entry finds this server at the addresses of all backend servers.
				Proxy: func(string) (string, error) { return backend.Listener.Addr().String(), nil },
			})
			callAll(t, func(ctx context.Context, i int) *http.Request {
				req, err := imitator.NewRequest(ctx, entry.Callers, fmt.Sprintf("%s-%d", kind, i), http.MethodGet, "/status/"+kind)
				assert.NilError(t, err)
				return req
			})
			checkLoad(t, entry, smallest, target{}, load{send: func(target, net.Conn) {}}, hostedRequest(t, entry))
		})
	}
}

// TestNativeAnswers guards against an entry of the native API, or a sidecar, that exceeds its memory
// because backend servers send answers that are large or have no end.
func TestNativeAnswers(t *testing.T) {
	for _, kind := range answerLoads {
		t.Run(kind, func(t *testing.T) {
			n := startNativeAt(t, smallest, newAnswerServer(t).URL)
			callAll(t, func(ctx context.Context, _ int) *http.Request {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.entry.Callers+"/status?"+kind, nil)
				assert.NilError(t, err)
				return req
			})
			time.Sleep(settleTime)
			none := load{send: func(target, net.Conn) {}}
			checkLoad(t, n.sidecar, smallest, target{}, none, n.request(t))
			checkLoad(t, n.entry, smallest, target{}, none, n.request(t))
		})
	}
}
