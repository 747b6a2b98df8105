package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"oleanderstall/imitator"
)

// engineModel is a model in the configuration of an engine's service. Its weights take mb megabytes.
type engineModel struct {
	name     string
	mb       int
	adapters int
}

// Sizes of the engine in megabytes, and its adapter slots.
const (
	modelMB      = 1000
	engineMB     = 2010
	adapterSlots = 2
)

// configureEngine writes the next version of the configuration, with the models of the engines.
func (f *fleet) configureEngine(models ...engineModel) error {
	var list []map[string]any
	for _, m := range models {
		list = append(list, map[string]any{
			"name": m.name, "weights_mb": m.mb, "adapters": m.adapters, "adapter_mb": 1, "load_time_s": 0.3, "disk_s": 0.3, "warm_s": 0.3,
		})
	}
	r := route("draft", "streaming", "models", 20*time.Second)
	r["sticky"] = true
	f.log("the operator writes the models %v", models)
	return f.configure([]map[string]any{r}, []map[string]any{{
		"name": "models", "health_path": "/healthz", "max_conns": 100,
		"engine": map[string]any{"slots": 32, "kv_capacity": 100000, "models": list, "adapter_slots": adapterSlots, "loads_per_s": 10, "weights_mb": engineMB},
	}})
}

// startEngine starts one engine with its sidecar, and an entry. The engine knows the models with the
// sizes that they have in the weight store at first.
func (f *fleet) startEngine(models ...engineModel) (*imitator.Backend, *process, *process, error) {
	var known []imitator.BackendModel
	for _, m := range models {
		known = append(known, imitator.BackendModel{Name: m.name, WeightsMB: float64(m.mb), LoadTime: 300 * time.Millisecond})
	}
	engine := imitator.NewBackend(imitator.BackendOptions{
		ID: "engine-1", Pool: "models", Centre: zone, Slots: 32, Models: known, MemoryMB: engineMB, AdapterSlots: adapterSlots,
		EventsPerStream: 100, EventInterval: 20 * time.Millisecond,
	}, f.rows)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, nil, err
	}
	address := l.Addr().String()
	server := &http.Server{ReadHeaderTimeout: 10 * time.Second}
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		engine.ServeHTTP(w, r)
		if engine.Overcommits() > 0 {
			// An engine that is ordered to load more than it holds crashes.
			f.crashed.Do(func() {
				f.log("the engine crashes: it was ordered to load more than it holds")
				engine.PauseRow(true)
				go func() { _ = server.Close() }()
			})
		}
	})
	go func() { _ = server.Serve(l) }()
	engine.Start(address)
	f.stops = append(f.stops, func() { _ = server.Close() }, engine.Stop)
	sidecar, err := f.startSidecar("sidecar-1", "models", address)
	if err != nil {
		return nil, nil, nil, err
	}
	entry, err := f.startEntry("entry-1")
	return engine, sidecar, entry, err
}

// draft asks for a stream from a model or an adapter, and again while the answer is a refusal that
// promises that it has not run, for at most 20 s.
func (f *fleet) draft(entry *process, model string) error {
	for deadline := time.Now().Add(20 * time.Second); ; {
		status, err := f.draftOnce(entry, model)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%s was not served: %d, %w", model, status, err)
		}
		time.Sleep(300 * time.Millisecond)
	}
}

func (f *fleet) draftOnce(entry *process, model string) (int, error) {
	f.mu.Lock()
	f.requests++
	id := fmt.Sprintf("draft-%d", f.requests)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.callers+"/draft/note", nil)
	if err != nil {
		return 0, err
	}
	req.Host = host
	for name, value := range map[string]string{
		"X-Request-Id": id, "X-Api-Key": apiKey, "X-Deadline-Ms": "10000", "X-Model": model, "X-Token-Count": "100,50", "X-Prefix-Hash": fmt.Sprintf("%x:100", f.requests),
	} {
		req.Header.Set(name, value)
	}
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		f.log("%s for %s: no answer: %v", id, model, err)
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	f.log("%s for %s: %d, %d bytes, %v", id, model, res.StatusCode, len(body), err)
	return res.StatusCode, err
}

// logOrders writes the orders that an engine has received to the record, and what it holds.
func (f *fleet) logOrders(engine *imitator.Backend) {
	f.log("the engine holds %v", engine.LoadedModels())
	for _, o := range engine.Orders() {
		f.log("the engine got %+v", o)
	}
}

// engineCase is a change of the configuration after an engine has loaded models and adapters, and a
// request for another one after that.
type engineCase struct {
	before, after []engineModel
	// loaded are asked for first, held while the last one is asked for.
	loaded []string
	held   string
	asked  string
	// restarts is set if the sidecar is stopped and started after the change.
	restarts bool
	limit    string
}

// play plays the case. It returns what an order beyond the engine's limits has broken.
func (c *engineCase) play(f *fleet, trouble bool) ([]string, error) {
	if err := f.configureEngine(c.before...); err != nil {
		return nil, err
	}
	engine, sidecar, entry, err := f.startEngine(c.before...)
	if err != nil {
		return nil, err
	}
	for _, m := range c.loaded {
		if err := f.draft(entry, m); err != nil {
			return nil, err
		}
	}
	if n := engine.Overcommits(); n > 0 {
		return nil, fmt.Errorf("%d overcommits before the change: %w", n, errNotSound)
	}
	if trouble {
		if err := f.configureEngine(c.after...); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	if c.restarts {
		if err := f.restart(sidecar); err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
	}
	return f.askBeside(engine, entry, c.held, c.asked, c.limit)
}

// errNotSound reports that a case cannot be judged.
var errNotSound = errors.New("the deployment was not sound before the disruption")

// adaptersCase withdraws two adapters that the engine holds in its only slots. Then a caller asks for
// another one.
func adaptersCase(f *fleet, trouble bool) ([]string, error) {
	c := engineCase{
		before: []engineModel{{"model0", modelMB, 4}, {"model1", modelMB, 4}},
		after:  []engineModel{{"model0", modelMB, 2}, {"model1", modelMB, 4}},
		loaded: []string{"model0", "model1", "model0/a3", "model0/a4"},
		held:   "model1", asked: "model1/a1",
		limit: fmt.Sprintf("more adapters than the %d slots of the engine hold", adapterSlots),
	}
	return c.play(f, trouble)
}

// retiredCase withdraws a model that the engine holds, and then restarts the sidecar by SIGTERM. Then a
// caller asks for a third model.
func retiredCase(f *fleet, trouble bool) ([]string, error) {
	c := engineCase{
		before: []engineModel{{"model0", modelMB, 0}, {"model1", modelMB, 0}, {"model2", modelMB, 0}},
		after:  []engineModel{{"model1", modelMB, 0}, {"model2", modelMB, 0}},
		loaded: []string{"model0", "model1"},
		held:   "model1", asked: "model2", restarts: true,
		limit: fmt.Sprintf("more than the %d MB of the engine hold", engineMB),
	}
	return c.play(f, trouble)
}

// smallMB is the size of a small model, and of the next version of a large one.
const smallMB = 600

// resizedCase publishes a smaller version of a model that the engine holds; the engine holds the larger
// one until it is ordered to load the model again. Then a caller asks for a third model.
func resizedCase(f *fleet, trouble bool) ([]string, error) {
	c := engineCase{
		before: []engineModel{{"model0", modelMB, 0}, {"model1", modelMB, 0}, {"model2", smallMB, 0}},
		after:  []engineModel{{"model0", smallMB - 200, 0}, {"model1", modelMB, 0}, {"model2", smallMB, 0}},
		loaded: []string{"model0", "model1"},
		held:   "model1", asked: "model2",
		limit: fmt.Sprintf("more than the %d MB of the engine hold", engineMB),
	}
	return c.play(f, trouble)
}

// askBeside asks for a model or an adapter that the engine does not hold, while the answer to an ordinary
// request for a model that it holds is on its way. It returns what an order beyond the engine's limits
// has broken.
func (f *fleet) askBeside(engine *imitator.Backend, entry *process, held, asked, limit string) ([]string, error) {
	running := make(chan string, 1)
	go func() {
		status, err := f.draftOnce(entry, held)
		running <- fmt.Sprintf("status %d, %v", status, err)
	}()
	time.Sleep(500 * time.Millisecond)
	status, err := f.draftOnce(entry, asked)
	outcome := <-running
	f.logOrders(engine)
	if engine.Overcommits() > 0 {
		return []string{
			fmt.Sprintf("LIMIT: the load of %s was ordered, %s", asked, limit),
			fmt.Sprintf("the engine has crashed; the answer for %s that was on its way: %s", held, outcome),
		}, nil
	}
	if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
		return nil, fmt.Errorf("%s: status %d, %w", asked, status, err)
	}
	return nil, nil
}
