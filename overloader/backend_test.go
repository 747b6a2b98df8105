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
	// headCallers is the number of callers at a time whose answers have heads without end.
	headCallers = 1000
)

// endlessHeads are the beginnings of answers without end that never have a whole head, and what follows
// over and over.
var endlessHeads = map[string]struct{ beginning, repeated string }{
	"endless-line":    {"HTTP/1.1 200 ", strings.Repeat("x", 32<<10)},
	"endless-header":  {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 32<<10)},
	"endless-headers": {"HTTP/1.1 200 OK\r\n", strings.Repeat("X: y\r\n", 4<<10)},
	"endless-interim": {"", "HTTP/1.1 103 Early Hints\r\n" + strings.Repeat("Link: <y>\r\n", 4<<10) + "\r\n"},
}

// writeEndlessHead writes an answer without a whole head to the connection of a request until that is
// closed.
func writeEndlessHead(w http.ResponseWriter, beginning, repeated string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, beginning)
	for endless := []byte(repeated); err == nil; {
		_, err = conn.Write(endless)
	}
}

// newAnswerServer starts a backend server whose answers are large or endless if the path or the
// query of the request says so.
func newAnswerServer(t testing.TB) *httptest.Server {
	t.Helper()
	large := bytes.Repeat([]byte("a"), answerBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for kind, head := range endlessHeads {
			if strings.HasSuffix(r.RequestURI, kind) {
				writeEndlessHead(w, head.beginning, head.repeated)
				return
			}
		}
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

// callersOf returns the number of callers at a time for a kind of answers.
func callersOf(kind string) int {
	if _, ok := endlessHeads[kind]; ok {
		return headCallers
	}
	return answerCallers
}

// callAll sends a number of requests at a time and waits for their ends. Callers read their answers.
func callAll(t testing.TB, callers int, newRequest func(ctx context.Context, i int) *http.Request) {
	ctx, cancel := context.WithTimeout(t.Context(), sendTime)
	defer cancel()
	var calls sync.WaitGroup
	for i := range callers {
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
var answerLoads = []string{"large", "endless", "endless-line", "endless-header", "endless-headers", "endless-interim"}

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
			callAll(t, callersOf(kind), func(ctx context.Context, i int) *http.Request {
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
			callAll(t, callersOf(kind), func(ctx context.Context, _ int) *http.Request {
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
