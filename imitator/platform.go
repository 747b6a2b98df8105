package imitator

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"oleanderstall/storer"
)

// Speed of the weight store.
const (
	// loadBytesPerSecond is the bandwidth of one load from the weight store while at
	// most fullSpeedLoads run.
	loadBytesPerSecond = 2 << 30
	fullSpeedLoads     = 4
)

// Platform is a stand-in of the platform's services: the table, the object store, the
// instance list and the weight store. It is safe for concurrent use.
type Platform struct {
	faultInjector
	mu   sync.Mutex
	rows map[string]storer.Row
	// version is the version of the last row that was put, era the number of the table's life, and undo
	// what the last changes replaced.
	version   uint64
	era       uint64
	undo      undoLog[string, storer.Row]
	objects   map[string][]byte
	instances map[string]storer.Instance
	// activeLoads is the number of loads from the weight store that run now, and maxLoads
	// the highest number so far.
	activeLoads int
	maxLoads    int
	// reads counts the reads of rows, lists those of the instance list, and writes the
	// transactions.
	reads int
	lists int
	// listVersion is the version of the instance list, which is its entity tag.
	listVersion int
	writes      int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		rows:      map[string]storer.Row{},
		objects:   map[string][]byte{},
		instances: map[string]storer.Instance{},
		era:       storer.FirstEra,
	}
	m := mux.NewRouter().UseEncodedPath()
	m.HandleFunc("/v1/rows", p.handleRows).Methods(http.MethodGet)
	m.HandleFunc("/v1/rows/{key}", p.handleRow).Methods(http.MethodGet)
	m.HandleFunc("/v1/transactions", p.handleTransaction).Methods(http.MethodPost)
	m.HandleFunc("/v1/objects/{name}", p.handleObject).Methods(http.MethodGet, http.MethodPut)
	m.HandleFunc("/v1/instances", p.handleInstances).Methods(http.MethodGet)
	m.HandleFunc("/v1/instances/{name}", p.handleInstance).Methods(http.MethodPut, http.MethodDelete)
	m.HandleFunc("/v1/weights/{model}", p.handleWeights).Methods(http.MethodGet)
	m.HandleFunc("/stats", p.handleStats).Methods(http.MethodGet)
	m.HandleFunc("/restore", p.handleRestore).Methods(http.MethodPost)
	p.next = m
	return p
}

func (p *Platform) handleRow(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	p.nameEra(w)
	row, ok := p.rows[pathVariable(r, "key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, row)
}

func (p *Platform) handleRows(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	p.nameEra(w)
	rows := []storer.Row{}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, p.rows[key])
		}
	}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, rows)
}

// Headers of the table: the era of an answer, and the only era in which a transaction is to be applied.
const (
	eraHeader   = "Store-Era"
	ifEraHeader = "If-Store-Era"
)

// nameEra names the era in an answer. The caller holds the lock.
func (p *Platform) nameEra(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(p.era, 10))
}

// RestoreRequest asks a stand-in platform to set its table back.
type RestoreRequest struct {
	// AgoMS is how far, in milliseconds.
	AgoMS int `json:"ago"`
}

func (p *Platform) handleRestore(w http.ResponseWriter, r *http.Request) {
	var request RestoreRequest
	if readJSON(w, r, &request) {
		p.Restore(time.Now().Add(-time.Duration(request.AgoMS) * time.Millisecond))
	}
}

// Restore sets the table back to what it was at a time, at most undoTime ago, and begins the next era:
// versions that were given out since are given out again. Objects and the instance list stay.
func (p *Platform) Restore(to time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version = p.undo.undo(p.rows, to, p.version)
	p.era++
}

func (p *Platform) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx storer.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	p.nameEra(w)
	if era := r.Header.Get(ifEraHeader); era != "" && era != w.Header().Get(eraHeader) {
		http.Error(w, "another era", http.StatusPreconditionFailed)
		return
	}
	versions, err := p.apply(tx)
	if err != nil {
		writeJSON(w, http.StatusConflict, err)
		return
	}
	writeJSON(w, http.StatusOK, versions)
}

// apply commits a transaction and returns the new versions of the rows that it puts,
// or the conflict if a check does not hold. The caller holds the lock.
func (p *Platform) apply(tx storer.Transaction) ([]uint64, *storer.ConflictError) {
	for _, c := range tx.Checks {
		if p.rows[c.Key].Version != c.Version {
			return nil, &storer.ConflictError{Key: c.Key}
		}
	}
	versions := []uint64{}
	for _, put := range tx.Puts {
		p.undo.record(p.rows, put.Key, p.version)
		p.version++
		p.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Version: p.version}
		versions = append(versions, p.version)
	}
	for _, key := range tx.Deletes {
		p.undo.record(p.rows, key, p.version)
		delete(p.rows, key)
	}
	return versions, nil
}

func (p *Platform) handleObject(w http.ResponseWriter, r *http.Request) {
	name := pathVariable(r, "name")
	if r.Method == http.MethodPut {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.objects[name] = data
		p.mu.Unlock()
		return
	}
	p.mu.Lock()
	data, ok := p.objects[name]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

// handleInstances answers with the instance list, or with status 304 if the list has
// not changed since the caller's.
func (p *Platform) handleInstances(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.lists++
	list := slices.SortedFunc(maps.Values(p.instances), func(a, b storer.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	tag := fmt.Sprintf("%q", strconv.Itoa(p.listVersion))
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if list == nil {
		list = []storer.Instance{}
	}
	writeJSON(w, http.StatusOK, list)
}

// handleInstance adds, replaces or removes an instance of the instance list.
func (p *Platform) handleInstance(w http.ResponseWriter, r *http.Request) {
	name := pathVariable(r, "name")
	var instance storer.Instance
	if r.Method == http.MethodPut && !readJSON(w, r, &instance) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listVersion++
	if r.Method == http.MethodDelete {
		delete(p.instances, name)
		return
	}
	p.instances[name] = instance
}

// handleWeights answers after the time that the transfer of a model's weights would
// take. The load is slowed in proportion if more than fullSpeedLoads run at its start.
func (p *Platform) handleWeights(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseUint(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.activeLoads++
	p.maxLoads = max(p.maxLoads, p.activeLoads)
	slowdown := max(1, float64(p.activeLoads)/fullSpeedLoads)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.activeLoads--
		p.mu.Unlock()
	}()
	duration := time.Duration(float64(size) / loadBytesPerSecond * slowdown * float64(time.Second))
	select {
	case <-time.After(duration):
	case <-r.Context().Done():
	}
}

// Stats counts the calls that a stand-in platform has received.
type Stats struct {
	Reads  int `json:"reads"`
	Lists  int `json:"lists"`
	Writes int `json:"writes"`
	// MaxLoads is the highest number of simultaneous loads from the weight store.
	MaxLoads int `json:"most"`
}

func (p *Platform) handleStats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, http.StatusOK, Stats{Reads: p.reads, Lists: p.lists, Writes: p.writes, MaxLoads: p.maxLoads})
}

// pathVariable returns an unescaped variable of the request's path.
func pathVariable(r *http.Request, name string) string {
	value := mux.Vars(r)[name]
	if unescaped, err := url.PathUnescape(value); err == nil {
		return unescaped
	}
	return value
}
