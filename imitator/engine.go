package imitator

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderstall/engine"
)

// EngineOptions configure a stand-in engine.
type EngineOptions struct {
	// Capacity is the memory for weights, in bytes.
	Capacity uint64
	// Fenced makes the engine refuse orders for a model with a lower fencing number
	// than that of an earlier order for it.
	Fenced bool
	// TokenInterval is the time between two tokens of an answer.
	TokenInterval time.Duration
	// WeightStore is the base URL of the weight store. If it is empty, loads take no
	// time.
	WeightStore string
}

// EngineCounts counts the orders and requests that a stand-in engine has received.
type EngineCounts struct {
	// Loads and Unloads count the orders that were carried out, Runs the requests that were
	// started.
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	Runs    int `json:"runs"`
	// Overcommits counts the orders to load a model that did not fit in the memory.
	Overcommits int `json:"overcommits"`
	// Cancelled counts the requests whose sender disconnected before their end.
	Cancelled int `json:"cancelled"`
	// CallerKeys counts the requests that carried a caller's key, which must not reach a
	// back end.
	CallerKeys int `json:"keys"`
}

// Engine is a stand-in of a model engine. The text of its answers depends only on the
// model and the prompt, so that tests can compare an answer that was resumed at
// another engine. It is safe for concurrent use.
type Engine struct {
	faultInjector
	limitNamer
	options EngineOptions
	http    *http.Client
	mu      sync.Mutex
	// loaded holds the models and adapters that are loaded or being loaded, by name, and
	// fences the highest fencing number of the orders to load each of them.
	loaded map[string]engine.Loaded
	fences map[string]uint64
	// memoryCache and diskCache name the models whose checkpoints are cached on the instance.
	memoryCache []string
	diskCache   []string
	running     int
	counts      EngineCounts
}

// NewEngine returns an engine without loaded models.
func NewEngine(options EngineOptions) *Engine {
	e := &Engine{
		options: options,
		http:    &http.Client{},
		loaded:  map[string]engine.Loaded{},
		fences:  map[string]uint64{},
	}
	m := mux.NewRouter()
	m.HandleFunc("/v1/state", e.handleState).Methods(http.MethodGet)
	m.HandleFunc("/v1/load_model", e.handleLoad).Methods(http.MethodPost)
	m.HandleFunc("/v1/unload_model", e.handleUnload).Methods(http.MethodPost)
	m.HandleFunc("/v1/load_lora_adapter", e.handleLoad).Methods(http.MethodPost)
	m.HandleFunc("/v1/unload_lora_adapter", e.handleUnload).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", e.handleCompletion).Methods(http.MethodPost)
	m.HandleFunc("/v1/chat/completions", e.handleCompletion).Methods(http.MethodPost)
	m.HandleFunc("/tally", e.handleCounts).Methods(http.MethodGet)
	e.header = ownLimitHeader
	e.next = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { m.ServeHTTP(e.nameIn(w), r) })
	return e
}

// Counts returns the current counts.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

func (e *Engine) handleCounts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Counts())
}

// handleState answers with the status of the engine. The loaded models are in no particular
// order.
func (e *Engine) handleState(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := engine.Status{Capacity: e.options.Capacity, Running: e.running, Memory: e.memoryCache, Disk: e.diskCache}
	for _, l := range e.loaded {
		status.Loaded = append(status.Loaded, l)
	}
	writeJSON(w, http.StatusOK, status)
}

// handleLoad carries out an order to load a model. It answers once the weights are
// fetched, with status 409 if the model was unloaded during that time.
func (e *Engine) handleLoad(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	if refusal := e.startLoad(o); refusal != "" {
		http.Error(w, refusal, http.StatusConflict)
		return
	}
	e.fetchWeights(context.WithoutCancel(r.Context()), o)
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.loaded[o.Model]
	if !ok || l.Fence != o.Fence {
		http.Error(w, "the model was unloaded during the load", http.StatusConflict)
		return
	}
	l.Loading = false
	e.loaded[o.Model] = l
	e.memoryCache = appendNew(e.memoryCache, o.Model)
	e.diskCache = appendNew(e.diskCache, o.Model)
}

// startLoad reserves memory for an order to load and marks the model as loading. It
// returns the reason if the order is refused, and does nothing if the model is already
// loaded or being loaded.
func (e *Engine) startLoad(order engine.Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fenced && order.Fence < e.fences[order.Model] {
		return "old fencing number"
	}
	e.fences[order.Model] = max(e.fences[order.Model], order.Fence)
	if _, ok := e.loaded[order.Model]; ok {
		return ""
	}
	used := order.Bytes
	for _, l := range e.loaded {
		used += l.Bytes
	}
	if used > e.options.Capacity {
		e.counts.Overcommits++
		return "out of memory"
	}
	e.counts.Loads++
	e.loaded[order.Model] = engine.Loaded{
		Model: order.Model, Base: order.Base, Bytes: order.Bytes, Slot: order.Slot, Fence: order.Fence, Loading: true,
	}
	return ""
}

// fetchWeights waits until the weight store has sent the weights of a model. It
// returns at once if they are in the memory cache or there is no weight store.
func (e *Engine) fetchWeights(ctx context.Context, order engine.Order) {
	e.mu.Lock()
	cached := slices.Contains(e.memoryCache, order.Model)
	e.mu.Unlock()
	if cached || e.options.WeightStore == "" {
		return
	}
	target := fmt.Sprintf("%s/v1/weights/%s?bytes=%d", e.options.WeightStore, url.PathEscape(order.Model), order.Bytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return
	}
	if res, err := e.http.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

// appendNew appends name to list unless list contains it.
func appendNew(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

// handleUnload carries out an order to unload a model, unless its fencing number is old. It
// also succeeds if the model is not loaded.
func (e *Engine) handleUnload(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !readJSON(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.Fenced && o.Fence < e.fences[o.Model] {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if _, ok := e.loaded[o.Model]; ok {
		e.counts.Unloads++
	}
	delete(e.loaded, o.Model)
}

// completionRequest holds the fields of a completion request that the stand-in reads.
type completionRequest struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Resume    engine.Resume   `json:"resume"`
}

// handleCompletion streams the answer to a completion request, from the token at which
// it is to be resumed. A fault may cut the stream halfway.
func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	e.recordArrival(r)
	var request completionRequest
	if !readJSON(w, r, &request) {
		return
	}
	if !e.startRun(request.Model, r.Header.Get("Authorization") != "") {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	defer e.endRun(r.Context())
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	cutAt := -1
	if e.takeCut() {
		cutAt = max(1, request.MaxTokens/2)
	}
	e.streamTokens(r.Context(), w, request, cutAt)
}

// startRun records the start of a request. It reports false if the model is not loaded.
func (e *Engine) startRun(model string, hasKey bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.loaded[model]; !ok || l.Loading {
		return false
	}
	if hasKey {
		e.counts.CallerKeys++
	}
	e.running++
	e.counts.Runs++
	return true
}

// endRun records the end of a request, which counts as cancelled if ctx has ended.
func (e *Engine) endRun(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if ctx.Err() != nil {
		e.counts.Cancelled++
	}
}

// streamTokens streams the tokens of an answer and its usage. It breaks the connection off
// before token cutAt, unless that is negative.
func (e *Engine) streamTokens(ctx context.Context, w http.ResponseWriter, request completionRequest, cutAt int) {
	control := http.NewResponseController(w)
	chat := request.Messages != nil
	first := int(request.Resume.Tokens)
	for i := first; i < request.MaxTokens; i++ {
		if i == cutAt {
			panic(http.ErrAbortHandler)
		}
		if !wait(ctx, e.options.TokenInterval) {
			return
		}
		writeEvent(w, chat, TokenText(request.Model, request.Prompt, request.Messages, i), nil, nil)
		_ = control.Flush()
	}
	reason := "length"
	promptTokens := uint32(len(request.Prompt)+len(request.Messages))/4 + 1
	writeEvent(w, chat, "", &reason, &engine.Usage{PromptTokens: promptTokens, OutputTokens: uint32(request.MaxTokens)})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

// wait waits for d. It reports false if ctx ended before.
func wait(ctx context.Context, d time.Duration) bool {
	if d == 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// TokenText returns the text of token i of the answer to a prompt or to chat messages.
func TokenText(model string, prompt, messages []byte, i int) string {
	hash := fnv.New32a()
	_, _ = fmt.Fprintf(hash, "%s %s %s %d", model, prompt, messages, i)
	return fmt.Sprintf("w%x ", hash.Sum32()&0xfff)
}

// writeEvent writes one event of a stream, in the format of the chat or the plain
// completion API.
func writeEvent(w http.ResponseWriter, chat bool, text string, reason *string, usage *engine.Usage) {
	choice := map[string]any{"index": 0, "finish_reason": reason}
	if chat {
		choice["delta"] = map[string]string{"content": text}
	} else {
		choice["text"] = text
	}
	data, _ := json.Marshal(map[string]any{"choices": []any{choice}, "usage": usage})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
