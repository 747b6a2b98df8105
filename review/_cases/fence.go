package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"oleanderstall/imitator"
)

// Parameters of the case fence.
const (
	// manyAdapters is the number of adapters that callers ask for in turn, beside manySlots.
	manyAdapters = 40
	manySlots    = 8
	// answerTime is how long the engine takes to answer an order.
	answerTime = 60 * time.Millisecond
	// callerGap is the time between two requests, drillGap the time before each of the drills and after
	// the last one.
	callerGap = 60 * time.Millisecond
	drillGap  = 5 * time.Second
	drills    = 4
	// oldCopy is how old the copy is from which the store comes back.
	oldCopy = 3 * time.Second
)

// fenceWatch records the fencing numbers of the orders that an engine receives.
type fenceWatch struct {
	f    *fleet
	next http.Handler

	mu      sync.Mutex
	highest uint64
	lower   []string
}

// ServeHTTP implements http.Handler.
func (o *fenceWatch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/order" {
		o.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	o.record(body)
	time.Sleep(answerTime)
	r.Body = io.NopCloser(bytes.NewReader(body))
	o.next.ServeHTTP(w, r)
}

// record records an order, and that its number is lower than an earlier one.
func (o *fenceWatch) record(body []byte) {
	var order struct {
		Holder string `json:"holder"`
		Fence  uint64 `json:"fence"`
	}
	if json.Unmarshal(body, &order) != nil {
		return
	}
	o.f.log("the engine gets the order %s", body)
	o.mu.Lock()
	defer o.mu.Unlock()
	if order.Fence < o.highest {
		o.lower = append(o.lower, fmt.Sprintf("ONE: the engine got an order of %s with the fence number %d after one with %d: %s", order.Holder, order.Fence, o.highest, body))
	}
	o.highest = max(o.highest, order.Fence)
}

// fenceCase brings the store back from a copy while the sidecar of an engine orders adapters.
func fenceCase(f *fleet, trouble bool) ([]string, error) {
	const model = "model0"
	if err := f.configureAdapters(model); err != nil {
		return nil, err
	}
	engine := imitator.NewBackend(imitator.BackendOptions{
		ID: "engine-1", Pool: "models", Centre: zone, Slots: 64, Models: []imitator.BackendModel{{Name: model, WeightsMB: modelMB, LoadTime: 300 * time.Millisecond}},
		MemoryMB: engineMB, AdapterSlots: manySlots, EventsPerStream: 3, EventInterval: 5 * time.Millisecond,
	}, f.rows)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	watch := &fenceWatch{f: f, next: engine}
	server := &http.Server{Handler: watch, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	engine.Start(l.Addr().String())
	f.stops = append(f.stops, func() { _ = server.Close() }, engine.Stop)
	if _, err := f.startSidecar("sidecar-1", "models", l.Addr().String()); err != nil {
		return nil, err
	}
	entry, err := f.startEntry("entry-1")
	if err != nil {
		return nil, err
	}
	if err := f.draft(entry, model); err != nil {
		return nil, err
	}
	var callers sync.WaitGroup
	begin, restored := time.Now(), 0
	for i := 0; time.Since(begin) < (drills+1)*drillGap; i++ {
		callers.Go(func() { _, _ = f.draftOnce(entry, fmt.Sprintf("%s/a%d", model, i*7%manyAdapters+1)) })
		if trouble && restored < drills && time.Since(begin) >= time.Duration(restored+1)*drillGap {
			restored++
			f.log("the store comes back from a copy that is %v old", oldCopy)
			f.rows.Restore(time.Now().Add(-oldCopy))
		}
		time.Sleep(callerGap)
	}
	callers.Wait()
	watch.mu.Lock()
	defer watch.mu.Unlock()
	return watch.lower, nil
}

// configureAdapters writes the configuration with one model that has manyAdapters.
func (f *fleet) configureAdapters(model string) error {
	r := route("draft", "streaming", "models", 20*time.Second)
	r["sticky"] = true
	return f.configure([]map[string]any{r}, []map[string]any{{
		"name": "models", "health_path": "/healthz", "max_conns": 200,
		"engine": map[string]any{
			"slots": 64, "kv_capacity": 100000, "adapter_slots": manySlots, "loads_per_s": 10, "weights_mb": engineMB,
			"models": []map[string]any{{"name": model, "weights_mb": modelMB, "adapters": manyAdapters, "adapter_mb": 1, "load_time_s": 0.3, "disk_s": 0.3, "warm_s": 0.3}},
		},
	}})
}
