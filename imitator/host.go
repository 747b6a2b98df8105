package imitator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// hostBeat is between two writes of a server's row.
const hostBeat = 200 * time.Millisecond

// HostModel is a model that an engine may hold.
type HostModel struct {
	Name string
	// MB is the size of its weights.
	MB float64
	// Load is the duration of a load.
	Load time.Duration
}

// HostTerms are the properties of a backend server on the platform that hosts the
// system.
type HostTerms struct {
	ID     string
	Pool   string
	Centre string
	Slots  int
	// Models, MB and Adapters are those of an engine: the models it may hold, the
	// memory for weights, and the places for adapters. A plain service has none.
	Models   []HostModel
	MB       float64
	Adapters int
	// Events is the number of events of a stream, Step the time between two.
	Events int
	Step   time.Duration
	// Work is the time of a call of a plain service.
	Work time.Duration
}

// Host is the stand-in of a backend server on the platform that hosts the system,
// a model engine or a plain service. It is safe for concurrent use.
type Host struct {
	faults
	terms HostTerms
	store *Rows
	born  int64

	mu       sync.Mutex
	held     map[string][]string
	loading  string
	sequence uint64
	beats    int
	draining bool
	active   int
	runs     map[string]int
	tenants  map[string]string
	keys     int
	crashes  int
	fences   []uint64
	done     chan struct{}
}

// NewHost returns a server that writes its row to a store once it is started.
func NewHost(t HostTerms, store *Rows) *Host {
	h := &Host{
		terms:   t,
		store:   store,
		born:    time.Now().UnixMilli(),
		held:    map[string][]string{},
		runs:    map[string]int{},
		tenants: map[string]string{},
		done:    make(chan struct{}),
	}
	m := mux.NewRouter()
	m.HandleFunc("/v1/report", h.report).Methods(http.MethodGet)
	m.HandleFunc("/v1/order", h.order).Methods(http.MethodPost)
	m.HandleFunc("/healthz", h.health).Methods(http.MethodGet)
	m.NotFoundHandler = http.HandlerFunc(h.serve)
	h.next = m
	return h
}

// Set makes the server misbehave from now on.
func (h *Host) Set(f Fault) { h.faults.store(f) }

// Start writes the row of the server at an address until Stop.
func (h *Host) Start(address string) {
	go func() {
		tick := time.NewTicker(hostBeat)
		defer tick.Stop()
		for {
			h.beat(address)
			select {
			case <-h.done:
				h.store.Remove("servers", h.terms.ID)
				return
			case <-tick.C:
			}
		}
	}()
}

// Stop removes the server's row.
func (h *Host) Stop() { close(h.done) }

// Drain makes the server report that it leaves.
func (h *Host) Drain() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.draining = true
}

// Runs returns how often each request ran.
func (h *Host) Runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string]int{}
	for id, n := range h.runs {
		runs[id] = n
	}
	return runs
}

// Tenants returns the workspace that each request was sent for, and the number of
// requests that carried a caller's key.
func (h *Host) Tenants() (map[string]string, int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	tenants := map[string]string{}
	for id, name := range h.tenants {
		tenants[id] = name
	}
	return tenants, h.keys
}

// Crashes returns how often the engine was ordered to load more than it holds.
func (h *Host) Crashes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.crashes
}

// Fences returns the fencing numbers of the orders, in their order.
func (h *Host) Fences() []uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.fences)
}

// Held returns the models in memory.
func (h *Host) Held() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for name := range h.held {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// state is what a server says of itself.
func (h *Host) state() map[string]any {
	models := []map[string]any{}
	for name, adapters := range h.held {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	var disk []string
	for _, m := range h.terms.Models {
		disk = append(disk, m.Name)
	}
	state := "ready"
	if h.draining {
		state = "draining"
	}
	return map[string]any{
		"models": models, "state": state, "born": h.born, "busy": h.loading != "",
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": disk},
		"active":  h.active, "queued": 0, "kv_used": 0, "kv_total": 100000,
	}
}

func (h *Host) beat(address string) {
	h.mu.Lock()
	h.beats++
	row := h.state()
	// In the row this field counts the writes, in the report the orders.
	row["sequence"] = h.beats
	row["service"], row["address"], row["zone"] = h.terms.Pool, address, h.terms.Centre
	row["slots"] = h.terms.Slots
	h.mu.Unlock()
	// The values are plain data, so that encoding them does not fail.
	_, _ = h.store.Put("servers", h.terms.ID, row)
}

func (h *Host) report(w http.ResponseWriter, _ *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	row := h.state()
	row["sequence"] = h.sequence
	answer(w, http.StatusOK, row)
}

func (h *Host) health(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", h.terms.ID)
}

// hostOrder is the body of an order.
type hostOrder struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *uint64 `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fence"`
}

func (h *Host) order(w http.ResponseWriter, r *http.Request) {
	var o hostOrder
	if data, err := io.ReadAll(r.Body); err != nil || json.Unmarshal(data, &o) != nil {
		http.Error(w, "unreadable order", http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fences = append(h.fences, o.Fence)
	w.WriteHeader(h.carryOut(r.Header.Get("X-Expect-Instance"), o))
}

// carryOut returns the status of the answer to an order. The caller holds the
// lock.
func (h *Host) carryOut(server string, o hostOrder) int {
	at := slices.IndexFunc(h.terms.Models, func(m HostModel) bool { return m.Name == o.Model })
	_, held := h.held[o.Model]
	switch {
	case o.Holder == "" || o.Fence == 0 || at < 0:
		return http.StatusBadRequest
	case server != "" && server != h.terms.ID:
		return http.StatusMisdirectedRequest
	case h.loading != "" || o.Expected != nil && *o.Expected != h.sequence:
		return http.StatusConflict
	case o.Adapter != "":
		return h.carryOutAdapter(o, held)
	case (o.Operation == "load") == held:
		return http.StatusOK
	}
	h.sequence++
	if o.Operation == "unload" {
		delete(h.held, o.Model)
		return http.StatusAccepted
	}
	used := h.terms.Models[at].MB
	for _, m := range h.terms.Models {
		if _, ok := h.held[m.Name]; ok {
			used += m.MB
		}
	}
	if used > h.terms.MB {
		h.crashes++
	}
	h.loading = o.Model
	time.AfterFunc(h.terms.Models[at].Load, func() { h.loaded(o.Model) })
	return http.StatusAccepted
}

// carryOutAdapter loads or unloads an adapter at once. The caller holds the lock.
func (h *Host) carryOutAdapter(o hostOrder, held bool) int {
	if !held {
		return http.StatusBadRequest
	}
	h.sequence++
	kept := slices.DeleteFunc(slices.Clone(h.held[o.Model]), func(a string) bool { return a == o.Adapter })
	if o.Operation == "load" {
		kept = append(kept, o.Adapter)
	}
	h.held[o.Model] = kept
	count := 0
	for _, adapters := range h.held {
		count += len(adapters)
	}
	if count > h.terms.Adapters {
		h.crashes++
	}
	if o.Operation == "load" {
		return http.StatusAccepted
	}
	return http.StatusOK
}

func (h *Host) loaded(model string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.held[model] = []string{}
	h.loading = ""
}

// serve runs a caller's request.
func (h *Host) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if status := h.admit(r, id); status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer h.end()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	if r.Header.Get("X-Model") != "" {
		h.stream(w, r, id)
		return
	}
	time.Sleep(h.terms.Work)
	text := r.Method + " " + r.RequestURI + " " + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// admit begins a run, or returns the status with which the request is refused.
func (h *Host) admit(r *http.Request, id string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	expected := r.Header.Get("X-Expect-Instance")
	if expected != "" && expected != h.terms.ID {
		return http.StatusMisdirectedRequest
	}
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	adapters, held := h.held[model]
	if model != "" && (!held || adapter != "" && !slices.Contains(adapters, adapter)) {
		return http.StatusMisdirectedRequest
	}
	if h.active >= h.terms.Slots {
		return http.StatusServiceUnavailable
	}
	h.active++
	h.runs[id]++
	h.tenants[id] = r.Header.Get("X-Tenant")
	if r.Header.Get("X-Api-Key") != "" {
		h.keys++
	}
	return 0
}

func (h *Host) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.active--
}

// stream answers by events, from the one after the caller's last.
func (h *Host) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		last = 0
	}
	rc := http.NewResponseController(w)
	for i := last + 1; i <= h.terms.Events; i++ {
		if r.Context().Err() != nil {
			return
		}
		time.Sleep(h.terms.Step)
		if i == last+1+h.terms.Events/2 && h.cut() {
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", i, id, i)
		if rc.Flush() != nil {
			return
		}
	}
}
