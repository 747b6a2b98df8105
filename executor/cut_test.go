package executor

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/dialer"
	"oleanderstall/engine"
	"oleanderstall/faker"
	"oleanderstall/refuser"
	"oleanderstall/service"
)

// unframedService is a process of a service that answers with a body that ends with its
// connection, and that closes connections without a request after idle. end is called before
// the connection of an answer is closed.
func unframedService(t *testing.T, address string, idle time.Duration, end func(*http.Server)) string {
	t.Helper()
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	server := &http.Server{ReadHeaderTimeout: idle}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, out, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = out.WriteString("HTTP/1.1 200 OK\r\n\r\n500 maps")
		_ = out.Flush()
		end(server)
		_ = c.Close()
	})
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
	return l.Addr().String()
}

// TestCutUnframedAnswer guards against half an answer that is passed on as a whole one: a body
// with neither a length nor chunks ends with its connection, also where the service's process
// was killed. Another process may listen at its address by the time the end is read.
func TestCutUnframedAnswer(t *testing.T) {
	kill := func(_ string, s *http.Server) { _ = s.Close() }
	for _, tt := range []struct {
		name    string
		idle    time.Duration
		end     func(address string, s *http.Server)
		whole   bool
		crashed bool
	}{
		{name: "whole", whole: true},
		{name: "killed", end: kill, crashed: true},
		{name: "restarted", end: func(address string, s *http.Server) {
			kill(address, s)
			unframedService(t, address, 0, func(*http.Server) {})
		}},
		{name: "listener closed first", end: func(_ string, s *http.Server) {
			time.AfterFunc(dialer.SettleTime/10, func() { _ = s.Close() })
		}, crashed: true},
		{name: "not known", idle: time.Millisecond, end: func(string, *http.Server) {
			time.Sleep(50 * time.Millisecond)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var address string
			address = unframedService(t, "127.0.0.1:0", tt.idle, func(s *http.Server) {
				if tt.end != nil {
					tt.end(address, s)
				}
			})
			f := newFixture(t)
			f.options.Refuses = func(ctx context.Context) bool { return dialer.Refuses(ctx, address) }
			x := f.sidecar("a", nil, service.New("http://"+address))
			answer, err := x.invoke(t.Context(), invocation("order", ""))
			if tt.whole {
				assert.NilError(t, err)
				assert.Equal(t, string(answer.GetBody()), "500 maps")
				return
			}
			assert.Assert(t, refuser.Is(err, refuser.ConnectionLost), "%v", err)
			assert.Assert(t, !refuser.FromError(err).NeverRan())
			assert.Equal(t, refuser.CrashTime(err) > 0, tt.crashed)
		})
	}
}

// TestRepeatedAnswerOfService guards against callers who get the answer to another call, from
// the sidecar's call to the service on.
func TestRepeatedAnswerOfService(t *testing.T) {
	p, err := faker.NewRepeater(func(r *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + r.URL.RawQuery
	})
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	x := newFixture(t).sidecar("a", nil, service.New("http://"+p.Address()))
	for _, query := range []string{"1", "2"} {
		call := invocation("", "")
		call.Route, call.Path, call.Query = "look", "/look", query
		answer, err := x.invoke(t.Context(), call)
		assert.NilError(t, err)
		assert.Equal(t, string(answer.GetBody()), query)
	}
}

// TestProofOfNoRun guards against requests that are called not run although the engine may have
// run them: only an engine that cannot be reached, or that refuses this request because it does
// not have the model, proves that.
func TestProofOfNoRun(t *testing.T) {
	for _, tt := range []struct {
		name, answer string
		neverRan     bool
	}{
		{name: "not reached", neverRan: true},
		{name: "refused", answer: "HTTP/1.1 404 Not Found\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n", neverRan: true},
		{name: "refusal of another request", answer: "HTTP/1.1 404 Not Found\r\nX-Request-Id: s\r\nContent-Length: 0\r\n\r\n"},
		{name: "half a refusal", answer: "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\nmodel"},
		{name: "half a head", answer: "HTTP/1.1 404 Not"},
		{name: "no answer", answer: "\r\n"},
		{name: "failure", answer: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"},
		{name: "error in the stream", answer: "HTTP/1.1 200 OK\r\n\r\ndata: {\"error\":\"model is not loaded\"}\n\n"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, err := faker.NewRepeater(func(r *http.Request) string {
				r.Close = true
				return tt.answer
			})
			assert.NilError(t, err)
			t.Cleanup(p.Close)
			if tt.answer == "" {
				p.Close()
			}
			x := newFixture(t).sidecar("a", newEngine(100), nil)
			_, err = engine.New("http://"+p.Address()).Generate(t.Context(), engine.Request{ID: "r", Body: []byte("{}")}, nil)
			assert.Equal(t, x.engineRefusal(err).NeverRan(), tt.neverRan, "%v", err)
		})
	}
}
