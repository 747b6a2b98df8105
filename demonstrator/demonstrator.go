// Package demonstrator runs a whole fleet with stand-ins of the outside systems in one
// process on loopback, sends requests through it and prints what happens to them.
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

// Parameters of the embedded fleet.
const (
	engineMemory     = 16 << 30
	tokenInterval    = 5 * time.Millisecond
	orderServiceTime = 5 * time.Millisecond
	leaseDuration    = 2 * time.Second
	shardCount       = 4
	// readyTimeout limits the time in which a failing call is repeated, and pollInterval
	// is the pause between two attempts.
	readyTimeout = 20 * time.Second
	pollInterval = 100 * time.Millisecond
)

// StepError reports that a step of the demo failed.
type StepError struct {
	Step  string
	cause error
}

// Error implements error.
func (e *StepError) Error() string { return e.Step + ": " + e.cause.Error() }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *StepError) Unwrap() error { return e.cause }

// fleet is the embedded fleet. The functions in stops are run in reverse order.
type fleet struct {
	operatorToken string
	peerSecret    checker.Secret
	logger        *log.Logger
	platformURL   string
	entries       []*runner.Entry
	stops         []func()
}

// Run starts the fleet, configures it as an operator would, sends a model request and an
// order to the plain service, and prints the answers and the records about them. Then it
// does the same with a model request on a hosted fleet. A failed step is returned as a
// StepError.
func Run(ctx context.Context) error {
	f := &fleet{operatorToken: rand.Text(), peerSecret: checker.Secret(rand.Text()), logger: logger.New(logger.DefaultOptions("error"), "demo", os.Stderr, timer.Now).Log()}
	defer f.stop()
	if err := f.start(); err != nil {
		return &StepError{Step: "start the fleet", cause: err}
	}
	fmt.Println("started: 2 entries, 2 engines and 1 order service with their sidecars, 1 platform")
	if err := f.showRequests(ctx); err != nil {
		return err
	}
	if err := f.showHosted(ctx); err != nil {
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

// serve serves a stand-in on a free port and returns its URL.
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
	f.platformURL = address
	for _, name := range []string{"entry-a", "entry-b"} {
		if err := f.startEntry(name); err != nil {
			return err
		}
	}
	for _, name := range []string{"engine-a", "engine-b"} {
		options := imitator.EngineOptions{Capacity: engineMemory, TokenInterval: tokenInterval, WeightStore: address}
		if err := f.startSidecar(name, "engine", "models", imitator.NewEngine(options)); err != nil {
			return err
		}
	}
	return f.startSidecar("orders-a", "service", "orders", imitator.NewService(orderServiceTime))
}

func (f *fleet) commonSettings(role, name string) *checker.Settings {
	return &checker.Settings{
		Role:        role,
		Name:        name,
		Centre:      "centre-1",
		PeerAddress: "127.0.0.1:0",
		PlatformURL: f.platformURL,
		Secret:      f.peerSecret,
		ShardLease:  checker.Duration(leaseDuration),
		ShardCount:  shardCount,
	}
}

func (f *fleet) startEntry(name string) error {
	s := f.commonSettings("entry", name)
	s.Entry = &checker.Entry{
		CallerAddress:       "127.0.0.1:0",
		OperatorAddress:     "127.0.0.1:0",
		Accounts:            []checker.Account{{Name: "demo", Token: checker.Secret(f.operatorToken)}},
		MaxBodyBytes:        1 << 20,
		DefaultTimeout:      checker.Duration(30 * time.Second),
		MaxTimeout:          checker.Duration(time.Minute),
		DefaultOutputTokens: 64,
		MaxConfigurationAge: checker.Duration(3 * time.Second),
	}
	e, err := runner.StartEntry(s, f.logger)
	if err != nil {
		return err
	}
	f.entries = append(f.entries, e)
	f.stops = append(f.stops, e.Stop)
	return nil
}

func (f *fleet) startSidecar(name, kind, pool string, backend http.Handler) error {
	address, err := f.serve(backend)
	if err != nil {
		return err
	}
	s := f.commonSettings("sidecar", name)
	s.Sidecar = &checker.Sidecar{
		Kind:            kind,
		BackendURL:      address,
		Pool:            pool,
		Concurrency:     16,
		QueueLimit:      64,
		MaxOrderTransit: checker.Duration(200 * time.Millisecond),
	}
	c, err := runner.StartSidecar(s, f.logger)
	if err != nil {
		return err
	}
	f.stops = append(f.stops, c.Stop)
	return nil
}

// intent is the configuration that the demo sends as the operator.
const intent = `{
  "workspaces": [{"name": "tourism", "rate": 200, "burst": 4000}],
  "models": [{"name": "drafter", "bytes": "2147483648", "replicas": 1, "workspaces": ["tourism"]}],
  "routes": [{"name": "reserve", "method": "POST", "path": "/orders", "pool": "orders", "workspaces": ["tourism"]}]
}`

// showRequests configures the fleet, sends a model request and an order to the plain
// service, and prints the records about the model and the model request.
func (f *fleet) showRequests(ctx context.Context) error {
	c := operator.NewClient("http://"+f.entries[0].Addresses().Operators, f.operatorToken)
	key, err := f.setUp(ctx, c)
	if err != nil {
		return err
	}
	id, err := f.sendModelRequest(ctx, key)
	if err != nil {
		return &StepError{Step: "send a model request", cause: err}
	}
	if err := f.placeOrders(ctx, key); err != nil {
		return &StepError{Step: "place an order", cause: err}
	}
	return f.printRecords(ctx, c, id)
}

// setUp sends the intent, confirms its plan and returns a key of the workspace.
func (f *fleet) setUp(ctx context.Context, c *operator.Client) (string, error) {
	var plan struct {
		ID    string `json:"id"`
		Steps []struct {
			Kind string `json:"kind"`
			Text string `json:"text"`
		} `json:"steps"`
	}
	data, err := f.retry(func() ([]byte, error) { return c.Intent(ctx, []byte(intent)) })
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
	var granted operator.GrantedKey
	data, err = c.Grant(ctx, "tourism")
	if err == nil {
		err = json.Unmarshal(data, &granted)
	}
	if err != nil {
		return "", &StepError{Step: "grant a key", cause: err}
	}
	return granted.Key, nil
}

// retry repeats a call, which fails while the fleet is starting, until it succeeds. After
// readyTimeout it returns the error of the last attempt.
func (f *fleet) retry(call func() ([]byte, error)) ([]byte, error) {
	deadline := time.Now().Add(readyTimeout)
	for {
		data, err := call()
		if err == nil || time.Now().After(deadline) {
			return data, err
		}
		time.Sleep(pollInterval)
	}
}

// AnswerError reports an answer with a status of 400 or higher.
type AnswerError struct {
	Status int
	Body   string
}

// Error implements error.
func (e *AnswerError) Error() string { return fmt.Sprintf("answered %d: %s", e.Status, e.Body) }

// post sends a caller's request to the second entry, always with the same idempotency
// key. The caller closes the body of the response.
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

// sendModelRequest sends a streamed model request, prints its tokens and returns the ID of
// the request. It retries for readyTimeout, since the workspace's bucket starts empty
// and the first requests may be refused.
func (f *fleet) sendModelRequest(ctx context.Context, key string) (string, error) {
	body := `{"model": "drafter", "stream": true, "max_tokens": 16,
		"messages": [{"role": "user", "content": "Fold the map of Ghent."}]}`
	deadline := time.Now().Add(readyTimeout)
	sentAt := time.Now()
	for {
		res, err := f.post(ctx, key, "/v1/chat/completions", body)
		if err == nil {
			defer func() { _ = res.Body.Close() }()
			return res.Header.Get("X-Request-Id"), f.printTokens(res.Body, sentAt)
		}
		if time.Now().After(deadline) {
			return "", err
		}
		time.Sleep(pollInterval)
		sentAt = time.Now()
	}
}

// printTokens prints the tokens of a streamed answer and the time to the first one.
func (f *fleet) printTokens(body io.Reader, sentAt time.Time) error {
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
			fmt.Printf("(first token after %v, the model was loaded for it) ", time.Since(sentAt).Round(time.Millisecond))
			first = false
		}
		fmt.Print(event.Choices[0].Delta.Content)
	}
	fmt.Println()
	return eris.Wrap(lines.Err(), "read answer")
}

// placeOrders sends the same order twice with the same idempotency key.
func (f *fleet) placeOrders(ctx context.Context, key string) error {
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

// printRecords prints the records about the model and about the request with an ID.
func (f *fleet) printRecords(ctx context.Context, c *operator.Client, id string) error {
	for _, subject := range []string{"model/drafter", "request/" + id} {
		data, err := c.Explain(ctx, subject)
		if err != nil {
			return &StepError{Step: "explain " + subject, cause: err}
		}
		var records []recorder.Record
		if err := json.Unmarshal(data, &records); err != nil {
			return &StepError{Step: "explain " + subject, cause: err}
		}
		for _, r := range records {
			fmt.Printf("explain %s: %s: %s\n", r.Subject, r.Instance, r.Text)
		}
	}
	return nil
}
