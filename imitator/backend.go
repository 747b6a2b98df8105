package imitator

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// rowInterval is the time between two writes of a server's row.
const rowInterval = 200 * time.Millisecond

// BackendModel is a model that an engine may load.
type BackendModel struct {
	Name string
	// WeightsMB is the size of the weights in megabytes.
	WeightsMB float64
	// LoadTime is the time that a load takes.
	LoadTime time.Duration
}

// BackendOptions configure a stand-in backend server.
type BackendOptions struct {
	ID     string
	Pool   string
	Centre string
	// Software is the version of the server's software, which its row names unless it is empty.
	Software string
	// Slots is the number of requests that may run at once.
	Slots int
	// Models are the models that an engine may load, MemoryMB is its memory for
	// weights, and AdapterSlots the number of adapters that it holds. They are empty
	// for a plain service.
	Models       []BackendModel
	MemoryMB     float64
	AdapterSlots int
	// EventsPerStream is the number of events in a stream, EventInterval the time between two
	// of them.
	EventsPerStream int
	EventInterval   time.Duration
	// ServiceTime is the time that a plain service takes for a call.
	ServiceTime time.Duration
	// Machine is how fast the server works and what its memory holds.
	Machine MachineOptions
}

// Backend is a stand-in of a backend server on the hosting platform, either a model
// engine or a plain service. It is safe for concurrent use.
type Backend struct {
	faultInjector
	limitNamer
	machine
	coldPhase
	options   BackendOptions
	rows      *RowStore
	startedMS int64

	mu sync.Mutex
	// models maps each loaded model to its loaded adapters. loading is the model that
	// is being loaded, or empty.
	models  map[string][]string
	loading string
	// sequence counts the accepted orders, rowWrites the writes of the row.
	sequence    uint64
	rowWrites   int
	draining    bool
	active      int
	runs        map[string]int
	tenants     map[string]string
	callerKeys  int
	overcommits int
	orders      []ReceivedOrder
	done        chan struct{}
	// fatalParts are the prompt parts, the bodies of service calls and the targets on which the
	// server crashes. crash ends its process. fatalRuns counts the requests with one of them.
	fatalParts map[string]bool
	crash      func()
	fatalRuns  int
	// down is set while the process has crashed and has not started again, and rowPaused while it
	// does not write its row.
	down      bool
	rowPaused bool
	// plan chooses the faults of answers, or is nil. answers are the records by request ID.
	plan    AnswerPlan
	answers map[string]AnswerRecord
}

// NewBackend returns a server that writes its row to the given store after Start.
func NewBackend(options BackendOptions, store *RowStore) *Backend {
	b := &Backend{
		machine:   machine{options: options.Machine},
		options:   options,
		rows:      store,
		startedMS: time.Now().UnixMilli(),
		models:    map[string][]string{},
		runs:      map[string]int{},
		tenants:   map[string]string{},
		answers:   map[string]AnswerRecord{},
		done:      make(chan struct{}),
	}
	b.header = hostedLimitHeader
	m := mux.NewRouter()
	m.HandleFunc("/v1/report", b.handleReport).Methods(http.MethodGet)
	m.HandleFunc("/v1/order", b.handleOrder).Methods(http.MethodPost)
	m.HandleFunc("/healthz", b.handleHealth).Methods(http.MethodGet)
	m.NotFoundHandler = http.HandlerFunc(b.handleRequest)
	b.next = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.ServeHTTP(b.nameIn(w), r) })
	return b
}

// ID returns the ID under which the server is listed.
func (b *Backend) ID() string { return b.options.ID }

// SetFault replaces the faults of the server.
func (b *Backend) SetFault(f Fault) { b.faultInjector.setFault(f) }

// Start makes the server write its row, with the address, every rowInterval until Stop.
func (b *Backend) Start(address string) {
	go func() {
		ticker := time.NewTicker(rowInterval)
		defer ticker.Stop()
		for {
			b.writeRow(address)
			select {
			case <-b.done:
				b.rows.Remove("servers", b.options.ID)
				return
			case <-ticker.C:
			}
		}
	}()
}

// Stop ends the writes and removes the server's row. It must be called only once.
func (b *Backend) Stop() { close(b.done) }

// CrashOn makes the server crash on each request that holds one of the given parts: an ID in
// the X-Prefix-Hash header, which may not be the last one, the body of a service call, or a
// request's target. A stream has its head by then.
func (b *Backend) CrashOn(parts ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fatalParts = map[string]bool{}
	for _, part := range parts {
		b.fatalParts[part] = true
	}
}

// FatalRuns returns the number of requests with a fatal part that have arrived.
func (b *Backend) FatalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.fatalRuns
}

// crashIfFatal crashes the server if the request holds a fatal part.
func (b *Backend) crashIfFatal(r *http.Request, body string) {
	b.mu.Lock()
	parts := strings.Split(r.Header.Get("X-Prefix-Hash"), ",")
	fatal := body != "" && b.fatalParts[body] || b.fatalParts[r.RequestURI]
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(part, ":")
		fatal = fatal || b.fatalParts[id]
	}
	if !fatal {
		b.mu.Unlock()
		return
	}
	b.fatalRuns++
	b.mu.Unlock()
	b.Crash()
	panic(http.ErrAbortHandler)
}

// Crash ends the server's process, with all its connections. It starts again with nothing in
// memory.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.down = true
	b.models, b.loading, b.sequence = map[string][]string{}, "", 0
	crash := b.crash
	b.mu.Unlock()
	crash()
}

// PlanAnswers makes plan choose the faults of the answers to callers' requests from now on,
// or ends the faults if plan is nil.
func (b *Backend) PlanAnswers(plan AnswerPlan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.plan = plan
}

// hasPlan reports whether a plan of answers is in force.
func (b *Backend) hasPlan() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plan != nil
}

// planFault returns the faults of the answer to a request.
func (b *Backend) planFault(r *http.Request) AnswerFault {
	b.mu.Lock()
	plan := b.plan
	b.mu.Unlock()
	if plan == nil {
		return AnswerFault{}
	}
	return plan(r)
}

// recordAnswer changes the record of the answers to the requests with an ID.
func (b *Backend) recordAnswer(id string, change func(a *AnswerRecord)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	record := b.answers[id]
	change(&record)
	b.answers[id] = record
}

// Answers returns what was answered while a plan of answers was in force, by request ID.
func (b *Backend) Answers() map[string]AnswerRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.answers)
}

// started records that the server's process runs, for the first time or again after a crash.
func (b *Backend) started() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = false
	b.startedMS = time.Now().UnixMilli()
	b.restartCold()
}

// Drain makes the server report the state "draining". It still takes requests.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// PauseRow stops or resumes the writes of the server's row.
func (b *Backend) PauseRow(paused bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rowPaused = paused
}

// Runs returns the number of times that each request was executed, by request ID.
func (b *Backend) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := map[string]int{}
	for id, n := range b.runs {
		runs[id] = n
	}
	return runs
}

// Tenants returns the workspace of each request, by request ID, and the number of
// requests that carried a caller's key.
func (b *Backend) Tenants() (map[string]string, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tenants := map[string]string{}
	for id, name := range b.tenants {
		tenants[id] = name
	}
	return tenants, b.callerKeys
}

// Overcommits returns the number of orders to load that exceeded the memory or the
// adapter slots of the engine.
func (b *Backend) Overcommits() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.overcommits
}

// ReceivedOrder is the holder and the fencing number of an order that has arrived at an engine.
type ReceivedOrder struct {
	Holder string
	Fence  uint64
	At     time.Time
}

// Orders returns the orders in the sequence of their arrival, including refused ones.
func (b *Backend) Orders() []ReceivedOrder {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.orders)
}

// Fences returns the fencing numbers of the orders in the sequence of their arrival,
// including refused ones.
func (b *Backend) Fences() []uint64 {
	var fences []uint64
	for _, o := range b.Orders() {
		fences = append(fences, o.Fence)
	}
	return fences
}

// LoadedModels returns the names of the models in memory, sorted.
func (b *Backend) LoadedModels() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var names []string
	for name := range b.models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// status returns the fields that the row and the report of a server have in common.
// The caller holds the lock.
func (b *Backend) status() map[string]any {
	models := []map[string]any{}
	for name, adapters := range b.models {
		models = append(models, map[string]any{"name": name, "version": 1, "adapters": adapters})
	}
	var disk []string
	for _, m := range b.options.Models {
		disk = append(disk, m.Name)
	}
	state := "ready"
	if b.draining {
		state = "draining"
	}
	usedTokens, allTokens := b.memory()
	return map[string]any{
		"models": models, "state": state, "born": b.startedMS, "busy": b.loading != "",
		"at_hand": map[string]any{"in_memory": []string{}, "on_disk": disk},
		"active":  b.active, "queued": 0, "kv_used": usedTokens, "kv_total": allTokens,
	}
}

func (b *Backend) writeRow(address string) {
	b.mu.Lock()
	if b.down || b.rowPaused {
		b.mu.Unlock()
		return
	}
	b.rowWrites++
	row := b.status()
	// In the row this field counts the writes, in the report the accepted orders.
	row["sequence"] = b.rowWrites
	row["service"], row["address"], row["zone"] = b.options.Pool, address, b.options.Centre
	row["slots"] = b.options.Slots
	if b.options.Software != "" {
		row["version"] = b.options.Software
	}
	if left, ok := b.coldLeft(); ok {
		row["cold_left_ms"] = left.Milliseconds()
	}
	b.mu.Unlock()
	// The values are plain data, whose encoding can't fail.
	_, _ = b.rows.Put("servers", b.options.ID, row)
}

func (b *Backend) handleReport(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	row := b.status()
	row["sequence"] = b.sequence
	writeJSON(w, http.StatusOK, row)
}

func (b *Backend) handleHealth(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Instance-Id", b.options.ID)
	if left, ok := b.coldLeft(); ok {
		w.Header().Set("X-Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	}
}

// backendOrder is the body of an order to an engine.
type backendOrder struct {
	Operation string  `json:"operation"`
	Model     string  `json:"model"`
	Adapter   string  `json:"adapter"`
	Expected  *uint64 `json:"expected"`
	Holder    string  `json:"holder"`
	Fence     uint64  `json:"fence"`
}

func (b *Backend) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order backendOrder
	if data, err := io.ReadAll(r.Body); err != nil || json.Unmarshal(data, &order) != nil {
		http.Error(w, "the order is not valid JSON", http.StatusBadRequest)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.orders = append(b.orders, ReceivedOrder{Holder: order.Holder, Fence: order.Fence, At: time.Now()})
	w.WriteHeader(b.applyOrder(r.Header.Get("X-Expect-Instance"), order))
}

// applyOrder carries out an order for the given server ID and returns the HTTP status
// of the answer. A load finishes later. The caller holds the lock.
func (b *Backend) applyOrder(server string, order backendOrder) int {
	index := slices.IndexFunc(b.options.Models, func(m BackendModel) bool { return m.Name == order.Model })
	_, loaded := b.models[order.Model]
	switch {
	case order.Holder == "" || order.Fence == 0 || index < 0:
		return http.StatusBadRequest
	case server != "" && server != b.options.ID:
		return http.StatusMisdirectedRequest
	case b.loading != "" || order.Expected != nil && *order.Expected != b.sequence:
		return http.StatusConflict
	case order.Adapter != "":
		return b.applyAdapterOrder(order, loaded)
	case (order.Operation == "load") == loaded:
		return http.StatusOK
	}
	b.sequence++
	if order.Operation == "unload" {
		delete(b.models, order.Model)
		return http.StatusAccepted
	}
	usedMB := b.options.Models[index].WeightsMB
	for _, m := range b.options.Models {
		if _, ok := b.models[m.Name]; ok {
			usedMB += m.WeightsMB
		}
	}
	if usedMB > b.options.MemoryMB {
		b.overcommits++
	}
	b.loading = order.Model
	time.AfterFunc(b.options.Models[index].LoadTime, func() { b.finishLoad(order.Model) })
	return http.StatusAccepted
}

// applyAdapterOrder loads or unloads an adapter at once and returns the HTTP status of
// the answer. It refuses the order unless the base model is loaded. The caller holds the
// lock.
func (b *Backend) applyAdapterOrder(order backendOrder, baseLoaded bool) int {
	if !baseLoaded {
		return http.StatusBadRequest
	}
	b.sequence++
	adapters := slices.DeleteFunc(slices.Clone(b.models[order.Model]), func(a string) bool { return a == order.Adapter })
	if order.Operation == "load" {
		adapters = append(adapters, order.Adapter)
	}
	b.models[order.Model] = adapters
	adapterCount := 0
	for _, adapters := range b.models {
		adapterCount += len(adapters)
	}
	if adapterCount > b.options.AdapterSlots {
		b.overcommits++
	}
	if order.Operation == "load" {
		return http.StatusAccepted
	}
	return http.StatusOK
}

func (b *Backend) finishLoad(model string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loading != model {
		return
	}
	b.models[model] = []string{}
	b.loading = ""
}

// handleRequest executes a caller's request: a stream if it names a model, otherwise a
// call of a plain service, whose answer repeats the request.
func (b *Backend) handleRequest(w http.ResponseWriter, r *http.Request) {
	if b.hasPlan() {
		b.serveFaulty(w, r)
		return
	}
	b.recordArrival(r)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	status := b.startRun(r, id)
	if status != http.StatusMisdirectedRequest {
		b.countCold(time.Now())
	}
	if status != 0 {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	defer b.endRun()
	w.Header().Set("X-Response-Seal", "seal-"+id)
	b.writeLoad(w)
	if b.unframed() {
		unframed, err := newUnframedWriter(w)
		if err != nil {
			return
		}
		defer unframed.close()
		w = b.nameIn(unframed)
	}
	if r.Header.Get("X-Model") != "" {
		b.streamEvents(w, r, id)
		return
	}
	time.Sleep(b.stretch(b.options.ServiceTime))
	b.crashIfFatal(r, string(body))
	text := r.Method + " " + r.RequestURI + " " + string(body)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// startRun records the start of a request and returns 0, or returns the HTTP status
// with which the request is refused.
func (b *Backend) startRun(r *http.Request, id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	expected := r.Header.Get("X-Expect-Instance")
	if expected != "" && expected != b.options.ID {
		return http.StatusMisdirectedRequest
	}
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	adapters, loaded := b.models[model]
	if model != "" && (!loaded || adapter != "" && !slices.Contains(adapters, adapter)) {
		return http.StatusMisdirectedRequest
	}
	if b.active >= b.options.Slots {
		return http.StatusServiceUnavailable
	}
	b.active++
	b.runs[id]++
	b.tenants[id] = r.Header.Get("X-Tenant")
	if r.Header.Get("X-Api-Key") != "" {
		b.callerKeys++
	}
	return 0
}

// writeLoad writes the load to the head of an answer, if the server does so.
func (b *Backend) writeLoad(w http.ResponseWriter) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setLoad(w.Header(), b.active, b.options.Slots)
}

func (b *Backend) endRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.active--
}

// streamEvents answers with a stream of events that begins after the caller's
// Last-Event-Id. A fault may cut it halfway.
func (b *Backend) streamEvents(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	lastEvent, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		lastEvent = 0
	}
	control := http.NewResponseController(w)
	run := b.machine.start(r)
	defer b.machine.end(run)
	for i := lastEvent + 1; i <= b.options.EventsPerStream; i++ {
		if r.Context().Err() != nil {
			return
		}
		time.Sleep(b.stretch(b.options.EventInterval))
		if !b.advance(run) {
			panic(http.ErrAbortHandler)
		}
		if i == lastEvent+1 {
			_ = control.Flush()
			b.crashIfFatal(r, "")
		}
		if i == lastEvent+1+b.options.EventsPerStream/2 && b.takeCut() {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = fmt.Fprintf(w, "id: %d\n%sdata: %s.%d\n\n", i, b.softwareLine(), id, i)
		if control.Flush() != nil {
			return
		}
	}
}
