package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host and key are the host of all routes and the key of the only tenant.
const (
	host   = "desk.example"
	key    = "k4tnq0vv81hd"
	tenant = "tourism"
)

// outcome is what a requester got.
type outcome struct {
	id       string
	status   int
	events   int
	seal     string
	complete bool
	err      error
}

// client is a stand-in of the requesters.
type client struct {
	log  *record
	http *http.Client
	next atomic.Int64

	mu       sync.Mutex
	outcomes []outcome
	pending  sync.WaitGroup
}

func newClient(log *record) *client {
	return &client{log: log, http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// send sends a request in the background. headers are alternating names and values.
func (c *client) send(p *process, method, path string, body []byte, deadline time.Duration, headers ...string) {
	c.pending.Add(1)
	go func() {
		defer c.pending.Done()
		o := c.call(p, method, path, body, deadline, headers...)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.outcomes = append(c.outcomes, o)
	}()
}

// call sends a request and reads the answer.
func (c *client) call(p *process, method, path string, body []byte, deadline time.Duration, headers ...string) (o outcome) {
	o.id = fmt.Sprintf("%016x", 0x51a0000000+c.next.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline+2*time.Second)
	defer cancel()
	c.log.add("request %s %s %s %v to %s, %d bytes", o.id, method, path, headers, p.name, len(body))
	defer func() {
		c.log.add("answer %s status=%d events=%d seal=%q complete=%t err=%v", o.id, o.status, o.events, o.seal, o.complete, o.err)
	}()
	var r *http.Request
	r, o.err = http.NewRequestWithContext(ctx, method, "http://"+p.callers+path, bytes.NewReader(body))
	if o.err != nil {
		return o
	}
	r.Host = host
	r.Header.Set("X-Request-Id", o.id)
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	res, err := c.http.Do(r)
	if err != nil {
		o.err = err
		return o
	}
	defer func() { _ = res.Body.Close() }()
	o.status, o.seal = res.StatusCode, res.Header.Get("X-Response-Seal")
	lines := bufio.NewReader(res.Body)
	for {
		// A requester abandons a stream after such a gap.
		abandon := time.AfterFunc(patience(path), cancel)
		line, err := lines.ReadString('\n')
		abandon.Stop()
		if strings.HasPrefix(line, "id: ") {
			o.events++
		}
		if err == io.EOF {
			o.complete = true
			return o
		}
		if err != nil {
			o.err = err
			return o
		}
	}
}

// stream sends a request for a model or an adapter on the route draft.
func (c *client) stream(p *process, model string) { c.streamOn(p, "draft", model) }

// streamOn sends a request for a model or an adapter on a streaming route.
func (c *client) streamOn(p *process, route, model string) {
	n := c.next.Load()
	c.send(p, http.MethodPost, "/"+route+"/1", []byte("prompt"), 8*time.Second,
		"X-Model", model, "X-Token-Count", "100,40", "X-Prefix-Hash", fmt.Sprintf("%x:50,%x:50", 0xa1, 0xb000+n))
}

// Response-time goals of the streaming routes and of the others, in milliseconds, and the pause between
// two events that is still on time.
const (
	draftGoal = 500
	briefGoal = 2500
	plainGoal = 500
	gapAim    = 250
)

// patience returns the gap after which a requester abandons the answer to a request with a path: two
// seconds, four times the goal or eight times the pause, whichever is longest. A plain answer is awaited
// until the deadline.
func patience(path string) time.Duration {
	switch {
	case strings.HasPrefix(path, "/draft/"):
		return max(2000, 4*draftGoal, 8*gapAim) * time.Millisecond
	case strings.HasPrefix(path, "/brief/"):
		return max(2000, 4*briefGoal, 8*gapAim) * time.Millisecond
	}
	return time.Minute
}

// route returns a route of the manifest.
func route(name, kind, service string, timeout, goal int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": "/" + name + "/", "type": kind, "service": service, "timeout_ms": timeout,
		"latency_goal_ms": goal, "gap_aim_ms": gapAim, "max_attempts": 2, "priority": 1, "sticky": kind == "streaming",
	}
}

// manifest returns a manifest with a pool of engines and a plain service.
func manifest(version int, spec engineSpec) map[string]any {
	models := []any{}
	for _, m := range spec.Models {
		models = append(models, map[string]any{
			"name": m.Name, "weights_mb": m.WeightsMB, "adapters": m.Adapters, "adapter_mb": m.AdapterMB,
			"load_time_s": spec.LoadTime.Seconds(), "disk_s": spec.LoadTime.Seconds(), "warm_s": spec.LoadTime.Seconds(),
		})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("draft", "streaming", "models", 8000, draftGoal), route("brief", "streaming", "models", 15000, briefGoal),
			route("order", "non_idempotent", "orders", 5000, plainGoal),
		},
		"services": []any{
			map[string]any{"name": "models", "health_path": "/healthz", "max_conns": 360, "engine": map[string]any{
				"slots": spec.Slots, "kv_capacity": 100000, "models": models, "weights_mb": spec.WeightsMB, "adapter_slots": spec.AdapterSlots, "loads_per_s": 3.3,
			}},
			map[string]any{"name": "orders", "health_path": "/healthz", "max_conns": 96},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "unit": "token_rate", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}},
	}
}

// awaitReady waits until the entries answer their readiness checks with 200.
func awaitReady(entries ...*process) {
	for _, p := range entries {
		deadline := time.Now().Add(20 * time.Second)
		for {
			res, err := http.Get("http://" + p.ready + "/v1/readyz")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				fmt.Println(p.log())
				check(fmt.Errorf("%s is not ready after 20 s", p.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
