package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"oleanderstall/imitator"
)

// engineModel is a model in the configuration of an engine's service.
type engineModel struct {
	name     string
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
			"name": m.name, "weights_mb": modelMB, "adapters": m.adapters, "adapter_mb": 1, "load_time_s": 0.3, "disk_s": 0.3, "warm_s": 0.3,
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

// startEngine starts one engine with its sidecar, and an entry.
func (f *fleet) startEngine() (*imitator.Backend, *process, *process, error) {
	var known []imitator.BackendModel
	for i := range 3 {
		known = append(known, imitator.BackendModel{Name: imitator.SiteModel(i), WeightsMB: modelMB, LoadTime: 300 * time.Millisecond})
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

// adaptersCase withdraws two adapters that the engine holds in its only slots. Then callers ask for two
// others.
func adaptersCase(f *fleet, trouble bool) ([]string, error) {
	if err := f.configureEngine(engineModel{"model0", 4}, engineModel{"model1", 4}); err != nil {
		return nil, err
	}
	engine, _, entry, err := f.startEngine()
	if err != nil {
		return nil, err
	}
	for _, m := range []string{"model0", "model1", "model0/a3", "model0/a4"} {
		if err := f.draft(entry, m); err != nil {
			return nil, err
		}
	}
	if n := engine.Overcommits(); n > 0 {
		return nil, fmt.Errorf("%d overcommits before the change", n)
	}
	if trouble {
		if err := f.configureEngine(engineModel{"model0", 2}, engineModel{"model1", 4}); err != nil {
			return nil, err
		}
	}
	time.Sleep(5 * time.Second)
	return f.askBeside(engine, entry, "model1", "model1/a1", fmt.Sprintf("more adapters than the %d slots of the engine hold", adapterSlots))
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

// retiredCase withdraws a model that the engine holds, and then restarts the sidecar by SIGTERM. Then
// callers ask for a third model.
func retiredCase(f *fleet, trouble bool) ([]string, error) {
	all := []engineModel{{"model0", 0}, {"model1", 0}, {"model2", 0}}
	if err := f.configureEngine(all...); err != nil {
		return nil, err
	}
	engine, sidecar, entry, err := f.startEngine()
	if err != nil {
		return nil, err
	}
	for _, m := range []string{"model0", "model1"} {
		if err := f.draft(entry, m); err != nil {
			return nil, err
		}
	}
	if trouble {
		if err := f.configureEngine(all[1:]...); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	if err := f.restart(sidecar); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	return f.askBeside(engine, entry, "model1", "model2", fmt.Sprintf("more than the %d MB of the engine hold", engineMB))
}
