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

// Speeds of the weight store and of the caches before an engine.
const (
	// weightSpeed is the bandwidth of one load from the weight store, in bytes
	// a second, while at most fullSpeed loads run.
	weightSpeed = 2 << 30
	fullSpeed   = 4
)

// Platform is the stand-in of the platform's services.
type Platform struct {
	faults
	mu        sync.Mutex
	rows      map[string]storer.Row
	version   uint64
	objects   map[string][]byte
	instances map[string]storer.Instance
	loads     int
	most      int
	reads     int
	lists     int
	listed    int
	writes    int
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	p := &Platform{
		rows:      map[string]storer.Row{},
		objects:   map[string][]byte{},
		instances: map[string]storer.Instance{},
	}
	m := mux.NewRouter().UseEncodedPath()
	m.HandleFunc("/v1/rows", p.list).Methods(http.MethodGet)
	m.HandleFunc("/v1/rows/{key}", p.get).Methods(http.MethodGet)
	m.HandleFunc("/v1/transactions", p.commit).Methods(http.MethodPost)
	m.HandleFunc("/v1/objects/{name}", p.object).Methods(http.MethodGet, http.MethodPut)
	m.HandleFunc("/v1/instances", p.roster).Methods(http.MethodGet)
	m.HandleFunc("/v1/instances/{name}", p.instance).Methods(http.MethodPut, http.MethodDelete)
	m.HandleFunc("/v1/weights/{model}", p.weights).Methods(http.MethodGet)
	m.HandleFunc("/stats", p.stats).Methods(http.MethodGet)
	p.next = m
	return p
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.reads++
	row, ok := p.rows[variable(r, "key")]
	p.mu.Unlock()
	if !ok {
		http.Error(w, "no such row", http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, row)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	p.reads++
	rows := []storer.Row{}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, p.rows[key])
		}
	}
	p.mu.Unlock()
	answer(w, http.StatusOK, rows)
}

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var tx storer.Transaction
	if !decode(w, r, &tx) {
		return
	}
	versions, err := p.apply(tx)
	if err != nil {
		answer(w, http.StatusConflict, err)
		return
	}
	answer(w, http.StatusOK, versions)
}

func (p *Platform) apply(tx storer.Transaction) ([]uint64, *storer.ConflictError) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	for _, c := range tx.Checks {
		if p.rows[c.Key].Version != c.Version {
			return nil, &storer.ConflictError{Key: c.Key}
		}
	}
	versions := []uint64{}
	for _, put := range tx.Puts {
		p.version++
		p.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Version: p.version}
		versions = append(versions, p.version)
	}
	for _, key := range tx.Deletes {
		delete(p.rows, key)
	}
	return versions, nil
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	name := variable(r, "name")
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

// roster answers with the instance list, or with 304 if the caller has it.
func (p *Platform) roster(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	p.lists++
	list := slices.SortedFunc(maps.Values(p.instances), func(a, b storer.Instance) int {
		return strings.Compare(a.Name, b.Name)
	})
	tag := fmt.Sprintf("%q", strconv.Itoa(p.listed))
	p.mu.Unlock()
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	if list == nil {
		list = []storer.Instance{}
	}
	answer(w, http.StatusOK, list)
}

func (p *Platform) instance(w http.ResponseWriter, r *http.Request) {
	name := variable(r, "name")
	var in storer.Instance
	if r.Method == http.MethodPut && !decode(w, r, &in) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listed++
	if r.Method == http.MethodDelete {
		delete(p.instances, name)
		return
	}
	p.instances[name] = in
}

// weights answers once the weights of a model have been sent: bytes divided by
// the speed, slower in proportion when more than fullSpeed loads run.
func (p *Platform) weights(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseUint(r.URL.Query().Get("bytes"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.loads++
	p.most = max(p.most, p.loads)
	factor := max(1, float64(p.loads)/fullSpeed)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.loads--
		p.mu.Unlock()
	}()
	wait := time.Duration(float64(size) / weightSpeed * factor * float64(time.Second))
	select {
	case <-time.After(wait):
	case <-r.Context().Done():
	}
}

// Stats counts the calls of a stand-in platform.
type Stats struct {
	Reads  int `json:"reads"`
	Lists  int `json:"lists"`
	Writes int `json:"writes"`
	// Most is the highest number of weight loads at once.
	Most int `json:"most"`
}

func (p *Platform) stats(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer(w, http.StatusOK, Stats{Reads: p.reads, Lists: p.lists, Writes: p.writes, Most: p.most})
}

// variable returns a path variable without its escapes.
func variable(r *http.Request, name string) string {
	value := mux.Vars(r)[name]
	if plain, err := url.PathUnescape(value); err == nil {
		return plain
	}
	return value
}
