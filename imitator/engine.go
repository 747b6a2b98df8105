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

// EngineTerms describe a stand-in engine.
type EngineTerms struct {
	// Capacity is the memory in bytes.
	Capacity uint64
	// Fenced engines refuse an order with a lower fencing number.
	Fenced bool
	// Token is the time between two tokens.
	Token time.Duration
	// Weights is the base address of the weight store, or empty for loads
	// without delay.
	Weights string
}

// Tally counts what a stand-in engine was made to do.
type Tally struct {
	Loads   int `json:"loads"`
	Unloads int `json:"unloads"`
	Runs    int `json:"runs"`
	// Overcommits counts the orders that did not fit in the memory.
	Overcommits int `json:"overcommits"`
	Cancelled   int `json:"cancelled"`
	// Keys counts requests that carried a caller's key.
	Keys int `json:"keys"`
}

// Engine is the stand-in of a model engine. Its text depends only on the prompt
// and the model, so that an answer that was resumed elsewhere can be compared.
type Engine struct {
	faults
	terms   EngineTerms
	http    *http.Client
	mu      sync.Mutex
	loaded  map[string]engine.Loaded
	fences  map[string]uint64
	memory  []string
	disk    []string
	running int
	tally   Tally
}

// NewEngine returns an engine with nothing loaded.
func NewEngine(t EngineTerms) *Engine {
	e := &Engine{
		terms:  t,
		http:   &http.Client{},
		loaded: map[string]engine.Loaded{},
		fences: map[string]uint64{},
	}
	m := mux.NewRouter()
	m.HandleFunc("/v1/state", e.state).Methods(http.MethodGet)
	m.HandleFunc("/v1/load_model", e.load).Methods(http.MethodPost)
	m.HandleFunc("/v1/unload_model", e.unload).Methods(http.MethodPost)
	m.HandleFunc("/v1/load_lora_adapter", e.load).Methods(http.MethodPost)
	m.HandleFunc("/v1/unload_lora_adapter", e.unload).Methods(http.MethodPost)
	m.HandleFunc("/v1/completions", e.generate).Methods(http.MethodPost)
	m.HandleFunc("/v1/chat/completions", e.generate).Methods(http.MethodPost)
	m.HandleFunc("/tally", e.count).Methods(http.MethodGet)
	e.next = m
	return e
}

// Tally returns the counts so far.
func (e *Engine) Tally() Tally {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tally
}

func (e *Engine) count(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, e.Tally())
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st := engine.Status{Capacity: e.terms.Capacity, Running: e.running, Memory: e.memory, Disk: e.disk}
	for _, l := range e.loaded {
		st.Loaded = append(st.Loaded, l)
	}
	answer(w, http.StatusOK, st)
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	if err := e.begin(o); err != "" {
		http.Error(w, err, http.StatusConflict)
		return
	}
	e.fetch(context.WithoutCancel(r.Context()), o)
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.loaded[o.Model]
	if !ok || l.Fence != o.Fence {
		http.Error(w, "unloaded meanwhile", http.StatusConflict)
		return
	}
	l.Loading = false
	e.loaded[o.Model] = l
	e.memory = keep(e.memory, o.Model)
	e.disk = keep(e.disk, o.Model)
}

// begin admits an order to load.
func (e *Engine) begin(o engine.Order) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.terms.Fenced && o.Fence < e.fences[o.Model] {
		return "old fencing number"
	}
	e.fences[o.Model] = max(e.fences[o.Model], o.Fence)
	if _, ok := e.loaded[o.Model]; ok {
		return ""
	}
	used := o.Bytes
	for _, l := range e.loaded {
		used += l.Bytes
	}
	if used > e.terms.Capacity {
		e.tally.Overcommits++
		return "out of memory"
	}
	e.tally.Loads++
	e.loaded[o.Model] = engine.Loaded{
		Model: o.Model, Base: o.Base, Bytes: o.Bytes, Slot: o.Slot, Fence: o.Fence, Loading: true,
	}
	return ""
}

// fetch waits for the weights unless they are cached in memory.
func (e *Engine) fetch(ctx context.Context, o engine.Order) {
	e.mu.Lock()
	cached := slices.Contains(e.memory, o.Model)
	e.mu.Unlock()
	if cached || e.terms.Weights == "" {
		return
	}
	target := fmt.Sprintf("%s/v1/weights/%s?bytes=%d", e.terms.Weights, url.PathEscape(o.Model), o.Bytes)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return
	}
	if res, err := e.http.Do(req); err == nil {
		_ = res.Body.Close()
	}
}

func keep(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(list, name)
}

func (e *Engine) unload(w http.ResponseWriter, r *http.Request) {
	var o engine.Order
	if !decode(w, r, &o) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.terms.Fenced && o.Fence < e.fences[o.Model] {
		http.Error(w, "old fencing number", http.StatusConflict)
		return
	}
	if _, ok := e.loaded[o.Model]; ok {
		e.tally.Unloads++
	}
	delete(e.loaded, o.Model)
}

// prompt is the part of a completion request that the stand-in reads.
type prompt struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	Resume    engine.Resume   `json:"resume"`
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var p prompt
	if !decode(w, r, &p) {
		return
	}
	if !e.start(p.Model, r.Header.Get("Authorization") != "") {
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	defer e.end(r.Context())
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	cut := -1
	if e.cut() {
		cut = max(1, p.MaxTokens/2)
	}
	e.stream(r.Context(), w, p, cut)
}

func (e *Engine) start(model string, key bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l, ok := e.loaded[model]; !ok || l.Loading {
		return false
	}
	if key {
		e.tally.Keys++
	}
	e.running++
	e.tally.Runs++
	return true
}

func (e *Engine) end(ctx context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	if ctx.Err() != nil {
		e.tally.Cancelled++
	}
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, p prompt, cut int) {
	control := http.NewResponseController(w)
	chat := p.Messages != nil
	first := int(p.Resume.Tokens)
	for i := first; i < p.MaxTokens; i++ {
		if i == cut {
			panic(http.ErrAbortHandler)
		}
		if !pause(ctx, e.terms.Token) {
			return
		}
		send(w, chat, Word(p.Model, p.Prompt, p.Messages, i), nil, nil)
		_ = control.Flush()
	}
	reason := "length"
	size := uint32(len(p.Prompt)+len(p.Messages))/4 + 1
	send(w, chat, "", &reason, &engine.Usage{Prompt: size, Output: uint32(p.MaxTokens)})
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func pause(ctx context.Context, d time.Duration) bool {
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

// Word returns token number i of the answer to a prompt.
func Word(model string, prompt, messages []byte, i int) string {
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s %s %s %d", model, prompt, messages, i)
	return fmt.Sprintf("w%x ", h.Sum32()&0xfff)
}

// send writes one event in the shape of the call that was made.
func send(w http.ResponseWriter, chat bool, text string, reason *string, u *engine.Usage) {
	choice := map[string]any{"index": 0, "finish_reason": reason}
	if chat {
		choice["delta"] = map[string]string{"content": text}
	} else {
		choice["text"] = text
	}
	data, _ := json.Marshal(map[string]any{"choices": []any{choice}, "usage": u})
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
}
