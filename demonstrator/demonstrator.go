// Package demonstrator runs a whole fleet in one process on loopback, with the
// stand-ins of the outside systems, and shows one request on its way.
package demonstrator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"oleanderstall/checker"
	"oleanderstall/imitator"
	"oleanderstall/logger"
	"oleanderstall/operator"
	"oleanderstall/recorder"
	"oleanderstall/runner"
	"oleanderstall/timer"
)

// Sizes of the embedded fleet.
const (
	engineMemory = 16 << 30
	tokenTime    = 5 * time.Millisecond
	orderTime    = 5 * time.Millisecond
	lease        = 2 * time.Second
	shards       = 4
	readyLimit   = 20 * time.Second
	readyPoll    = 100 * time.Millisecond
)

// StepError reports a step of the demo that failed.
type StepError struct {
	Step  string
	cause error
}

// Error names the step.
func (e *StepError) Error() string { return e.Step + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.cause }

// fleet is the embedded fleet.
type fleet struct {
	token   string
	secret  checker.Secret
	logger  *log.Logger
	address string
	entries []*runner.Entry
	stops   []func()
}

// Run starts the fleet, sets it up as an operator would, sends a request and
// prints what happened.
func Run(ctx context.Context) error {
	f := &fleet{token: rand.Text(), secret: checker.Secret(rand.Text()), logger: logger.New(logger.Usual("error"), "demo", os.Stderr, timer.Now).Log()}
	defer f.stop()
	if err := f.start(); err != nil {
		return &StepError{Step: "start the fleet", cause: err}
	}
	fmt.Println("started: 2 entries, 2 engines and 1 order service with their sidecars, 1 platform")
	if err := f.show(ctx); err != nil {
		return err
	}
	if err := f.hosted(ctx); err != nil {
		return &StepError{Step: "show the hosted fleet", cause: err}
	}
	_, err := fmt.Fprintln(os.Stdout, "done")
	return err
}

func (f *fleet) stop() {
	for i := len(f.stops) - 1; i >= 0; i-- {
		f.stops[i]()
	}
}

// serve opens a stand-in and returns its URL.
func (f *fleet) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", eris.Wrap(err, "listen")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = s.Serve(l) }()
	f.stops = append(f.stops, func() { _ = s.Close() })
	return "http://" + l.Addr().String(), nil
}

func (f *fleet) start() error {
	address, err := f.serve(imitator.NewPlatform())
	if err != nil {
		return err
	}
	f.address = address
	for _, name := range []string{"entry-a", "entry-b"} {
		if err := f.entry(name); err != nil {
			return err
		}
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		terms := imitator.EngineTerms{Capacity: engineMemory, Token: tokenTime, Weights: address}
		if err := f.sidecar(name, "engine", "models", imitator.NewEngine(terms)); err != nil {
			return err
		}
	}
	return f.sidecar("orders-a", "service", "orders", imitator.NewService(orderTime))
}

func (f *fleet) common(role, name string) *checker.Settings {
	return &checker.Settings{
		Role:     role,
		Name:     name,
		Centre:   "centre-1",
		Peer:     "127.0.0.1:0",
		Platform: f.address,
		Secret:   f.secret,
		Lease:    checker.Span(lease),
		Shards:   shards,
	}
}

func (f *fleet) entry(name string) error {
	s := f.common("entry", name)
	s.Entry = &checker.Entry{
		Callers:   "127.0.0.1:0",
		Operators: "127.0.0.1:0",
		Accounts:  []checker.Account{{Name: "demo", Token: checker.Secret(f.token)}},
		Body:      1 << 20,
		Deadline:  checker.Span(30 * time.Second),
		Longest:   checker.Span(time.Minute),
		Output:    64,
		Fresh:     checker.Span(3 * time.Second),
	}
	e, err := runner.StartEntry(s, f.logger)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	f.stops = append(f.stops, e.Stop)
	return nil
}

func (f *fleet) sidecar(name, kind, pool string, backend http.Handler) error {
	address, err := f.serve(backend)
	if err != nil {
		return err
	}
	s := f.common("sidecar", name)
	s.Sidecar = &checker.Sidecar{
		Kind:        kind,
		Backend:     address,
		Pool:        pool,
		Concurrency: 16,
		Queue:       64,
		Flight:      checker.Span(200 * time.Millisecond),
	}
	c, err := runner.StartSidecar(s, f.logger)
	if err != nil {
		return err
	}
	f.stops = append(f.stops, c.Stop)
	return nil
}

// intent is what the demo's operator wants.
const intent = `{
  "workspaces": [{"name": "tourism", "rate": 200, "burst": 4000}],
  "models": [{"name": "drafter", "bytes": "2147483648", "replicas": 1, "workspaces": ["tourism"]}],
  "routes": [{"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]}]
}`

// show sets the fleet up and sends one request of each kind.
func (f *fleet) show(ctx context.Context) error {
	c := operator.NewClient("http://"+f.entries[0].Addresses().Operators, f.token)
	key, err := f.setUp(ctx, c)
	if err != nil {
		return err
	}
	id, err := f.draft(ctx, key)
	if err != nil {
		return &StepError{Step: "send a model request", cause: err}
	}
	if err := f.order(ctx, key); err != nil {
		return &StepError{Step: "place an order", cause: err}
	}
	return f.explain(ctx, c, id)
}

// setUp goes from the intent to a key.
func (f *fleet) setUp(ctx context.Context, c *operator.Client) (string, error) {
	var plan struct {
		ID    string `json:"id"`
		Steps []struct {
			Kind string `json:"kind"`
			Text string `json:"text"`
		} `json:"steps"`
	}
	data, err := f.patiently(func() ([]byte, error) { return c.Intent(ctx, []byte(intent)) })
	if err != nil {
		return "", &StepError{Step: "send the intent", cause: err}
	}
	if err := json.Unmarshal(data, &plan); err != nil {
		return "", &StepError{Step: "read the plan", cause: err}
	}
	fmt.Println("plan", plan.ID)
	for _, s := range plan.Steps {
		fmt.Printf("  %-8s %s\n", s.Kind, s.Text)
	}
	if _, err := c.Confirm(ctx, plan.ID); err != nil {
		return "", &StepError{Step: "confirm the plan", cause: err}
	}
	fmt.Println("confirmed")
	var granted operator.Granted
	data, err = c.Grant(ctx, "tourism")
	if err == nil {
		err = json.Unmarshal(data, &granted)
	}
	if err != nil {
		return "", &StepError{Step: "grant a key", cause: err}
	}
	return granted.Key, nil
}

// patiently repeats a call while the fleet comes up.
func (f *fleet) patiently(call func() ([]byte, error)) ([]byte, error) {
	until := time.Now().Add(readyLimit)
	for {
		data, err := call()
		if err == nil || time.Now().After(until) {
			return data, err
		}
		time.Sleep(readyPoll)
	}
}

// AnswerError reports an answer with an unexpected status.
type AnswerError struct {
	Status int
	Body   string
}

// Error gives the status and the body.
func (e *AnswerError) Error() string { return fmt.Sprintf("answered %d: %s", e.Status, e.Body) }

// post sends a caller's request through the second entry.
func (f *fleet) post(ctx context.Context, key, path, body string) (*http.Response, error) {
	address := "http://" + f.entries[1].Addresses().Callers + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewBufferString(body))
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", "demo-1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	if res.StatusCode >= http.StatusBadRequest {
		data, _ := io.ReadAll(res.Body)
		_ = res.Body.Close()
		return nil, &AnswerError{Status: res.StatusCode, Body: string(data)}
	}
	return res, nil
}

// draft sends a streamed model request and prints its tokens. The workspace's
// bucket starts empty, so the first tries may be refused.
func (f *fleet) draft(ctx context.Context, key string) (string, error) {
	body := `{"model": "drafter", "stream": true, "max_tokens": 16,
		"messages": [{"role": "user", "content": "Fold the map of Ghent."}]}`
	until := time.Now().Add(readyLimit)
	begun := time.Now()
	for {
		res, err := f.post(ctx, key, "/v1/chat/completions", body)
		if err == nil {
			defer func() { _ = res.Body.Close() }()
			return res.Header.Get("X-Request-Id"), f.tokens(res.Body, begun)
		}
		if time.Now().After(until) {
			return "", err
		}
		time.Sleep(readyPoll)
		begun = time.Now()
	}
}

func (f *fleet) tokens(body io.Reader, begun time.Time) error {
	lines := bufio.NewScanner(body)
	first := true
	fmt.Print("answer: ")
	for lines.Scan() {
		var event struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		data := bytes.TrimPrefix(lines.Bytes(), []byte("data: "))
		if json.Unmarshal(data, &event) != nil || len(event.Choices) == 0 {
			continue
		}
		if first {
			fmt.Printf("(first token after %v, the model was loaded for it) ", time.Since(begun).Round(time.Millisecond))
			first = false
		}
		fmt.Print(event.Choices[0].Delta.Content)
	}
	fmt.Println()
	return eris.Wrap(lines.Err(), "read answer")
}

// order places one order twice with the same idempotency key.
func (f *fleet) order(ctx context.Context, key string) error {
	for range 2 {
		res, err := f.post(ctx, key, "/orders", "500 copies of the Ghent map")
		if err != nil {
			return err
		}
		data, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			return eris.Wrap(err, "read order")
		}
		fmt.Printf("order sent with one idempotency key: %s", data)
	}
	return nil
}

// explain prints the records about the model and the request.
func (f *fleet) explain(ctx context.Context, c *operator.Client, id string) error {
	for _, subject := range []string{"model/drafter", "request/" + id} {
		data, err := c.Explain(ctx, subject)
		if err != nil {
			return &StepError{Step: "explain " + subject, cause: err}
		}
		var found []recorder.Record
		if err := json.Unmarshal(data, &found); err != nil {
			return &StepError{Step: "explain " + subject, cause: err}
		}
		for _, r := range found {
			fmt.Printf("explain %s: %s: %s\n", r.Subject, r.Instance, r.Text)
		}
	}
	return nil
}
