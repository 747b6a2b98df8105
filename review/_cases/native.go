package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"oleanderstall/imitator"
)

// Secrets of the fleet and of the operator's account, for these cases only.
const (
	fleetSecret   = "a secret for these cases only"
	operatorToken = "an operator token for these cases"
)

// nativeFleet is a small deployment on the product's own interfaces.
type nativeFleet struct {
	*fleet
	platform *imitator.Platform
	url      string
	key      string
}

// newNativeFleet starts the stand-in of the platform.
func newNativeFleet(f *fleet) (*nativeFleet, error) {
	n := &nativeFleet{fleet: f, platform: imitator.NewPlatform()}
	address, err := f.listen(n.platform)
	n.url = "http://" + address
	return n, err
}

// settings returns the settings that all processes have.
func (n *nativeFleet) settings(role, name, peer string) (map[string]any, error) {
	admin, err := freeAddress()
	return map[string]any{
		"role": role, "name": name, "centre": zone, "peer": peer, "admin": admin, "platform": n.url, "secret": fleetSecret, "lease": "6s", "shards": 4,
	}, err
}

// startEntry starts an entry.
func (n *nativeFleet) startEntry(name string) (*process, error) {
	peer, err := freeAddress()
	if err != nil {
		return nil, err
	}
	p := &process{name: name}
	if p.callers, err = freeAddress(); err != nil {
		return nil, err
	}
	if p.operators, err = freeAddress(); err != nil {
		return nil, err
	}
	settings, err := n.settings("entry", name, peer)
	if err != nil {
		return nil, err
	}
	settings["entry"] = map[string]any{
		"callers": p.callers, "operators": p.operators, "grace": "2800ms", "fresh": "3s",
		"accounts": []map[string]any{{"name": "office", "token": operatorToken}},
	}
	return p, n.run(p, "entry", settings)
}

// startServiceSidecar starts the sidecar of a plain service.
func (n *nativeFleet) startServiceSidecar(name, pool, peer, backend string) (*process, error) {
	p := &process{name: name}
	settings, err := n.settings("sidecar", name, peer)
	if err != nil {
		return nil, err
	}
	settings["sidecar"] = map[string]any{"kind": "service", "backend": "http://" + backend, "pool": pool}
	n.log("%s starts beside a server of %s, for other processes at %s", name, pool, peer)
	return p, n.run(p, "sidecar", settings)
}

// operate runs an operator's command against an entry until it succeeds, for at most startTimeout, and
// decodes its output.
func (n *nativeFleet) operate(entry *process, stdin string, target any, args ...string) error {
	var failure error
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		command := exec.Command(n.binary, args...)
		command.Env = append(os.Environ(), "OLEANDERSTALL_ENTRY=http://"+entry.operators, "OLEANDERSTALL_TOKEN="+operatorToken)
		command.Stdin = strings.NewReader(stdin)
		out, err := command.Output()
		if err == nil {
			return json.Unmarshal(out, target)
		}
		failure = fmt.Errorf("%v: %w: %s", args, err, out)
	}
	return failure
}

// apply states an intent and confirms its plan.
func (n *nativeFleet) apply(entry *process, intent string) error {
	var plan struct {
		ID string `json:"id"`
	}
	if err := n.operate(entry, intent, &plan, "intent", "-"); err != nil {
		return err
	}
	err := n.operate(entry, "", &plan, "confirm", plan.ID)
	n.log("the operator has confirmed %s: %v", strings.Join(strings.Fields(intent), " "), err)
	return err
}

// intend states an intent, confirms its plan and gets a key for the workspace.
func (n *nativeFleet) intend(entry *process, intent string) error {
	if err := n.apply(entry, intent); err != nil {
		return err
	}
	var granted struct {
		Key string `json:"key"`
	}
	err := n.operate(entry, "", &granted, "key", "grant", tenant)
	n.key = granted.Key
	return err
}

// drop makes the platform drop a process from its list.
func (n *nativeFleet) drop(name string) error {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodDelete, n.url+"/v1/instances/"+name, nil)
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	n.log("the platform drops %s from its list", name)
	return res.Body.Close()
}

// order sends an order and returns the status and the body of the answer.
func (n *nativeFleet) order(entry *process, path, body, idempotencyKey string) (int, string, error) {
	return n.send(entry, http.MethodPost, path, body, idempotencyKey)
}

// send sends a request and returns the status and the body of the answer.
func (n *nativeFleet) send(entry *process, method, path, body, idempotencyKey string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry.callers+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	req.Header.Set("Authorization", "Bearer "+n.key)
	req.Header.Set("X-Deadline-Ms", "5000")
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		n.log("%s %s %q: no answer: %v", method, path, body, err)
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	n.log("%s %s %q: %d %q %v", method, path, body, res.StatusCode, strings.TrimSpace(string(answer)), err)
	return res.StatusCode, string(answer), err
}

// errNoOrder reports that the deployment did not take orders before the disruption.
var errNoOrder = errors.New("no order was placed before the disruption")

// placeFirst sends a request, again until it is served, for at most startTimeout.
func (n *nativeFleet) placeFirst(entry *process, method, path, body string) error {
	for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(300 * time.Millisecond) {
		if status, _, err := n.send(entry, method, path, body, ""); err == nil && status == http.StatusCreated {
			return nil
		}
	}
	return errNoOrder
}

// orderService is a server of a plain service that runs each request that it gets.
type orderService struct {
	f    *fleet
	name string
	pool string

	mu   sync.Mutex
	runs []string
	// work is how long the server works on a request.
	work time.Duration
}

// setWork sets how long the server works on a request from now on.
func (s *orderService) setWork(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work = d
}

// ServeHTTP implements http.Handler.
func (s *orderService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, r.Method+" "+r.URL.Path+" "+string(body))
	work := s.work
	s.mu.Unlock()
	s.f.log("%s, a server of %s, runs %s %s %q of workspace %s", s.name, s.pool, r.Method, r.URL.Path, body, r.Header.Get("X-Workspace"))
	time.Sleep(work)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, `{"server": %q, "item": %q}`, s.name, body)
}

// ran returns the requests that the server has run.
func (s *orderService) ran() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.runs...)
}

// count returns how often the server has run a request.
func (s *orderService) count(request string) int {
	n := 0
	for _, run := range s.ran() {
		if run == request {
			n++
		}
	}
	return n
}
