package imitator

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
)

// rowPage is the most rows of one answer.
const rowPage = 500

// Rows is the stand-in of the store of the platform that hosts the system: rows
// with versions in tables, transactions with conditions, and a feed of changes. It
// is safe for concurrent use.
type Rows struct {
	faults
	began time.Time

	mu      sync.Mutex
	rows    map[rowKey]Row
	version uint64
	// kept is the version up to which the feed's history was dropped.
	kept    uint64
	changed chan struct{}
	calls   int
	refused map[string]bool
}

type rowKey struct {
	table, part, key string
}

// Row is a row on the wire.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// rowAnswer is the answer to every call about rows.
type rowAnswer struct {
	Rows  []Row  `json:"rows,omitempty"`
	More  bool   `json:"has_more"`
	Ver   uint64 `json:"ver"`
	NowMS int64  `json:"now_ms"`
}

// NewRows returns an empty store.
func NewRows() *Rows {
	s := &Rows{began: time.Now(), rows: map[rowKey]Row{}, changed: make(chan struct{}), refused: map[string]bool{}}
	m := mux.NewRouter()
	m.HandleFunc("/v1/rows-tx", s.commit).Methods(http.MethodPost)
	m.HandleFunc("/v1/rows-get", s.get).Methods(http.MethodGet)
	m.HandleFunc("/v1/rows-feed", s.feed).Methods(http.MethodGet)
	s.next = m
	return s
}

// ServeHTTP implements http.Handler.
func (s *Rows) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	refused := s.refused[r.RemoteAddr[:strings.LastIndex(r.RemoteAddr, ":")]]
	s.mu.Unlock()
	if refused {
		http.Error(w, "not for this caller", http.StatusServiceUnavailable)
		return
	}
	s.faults.ServeHTTP(w, r)
}

// Refuse turns the callers at an IP away, or serves them again.
func (s *Rows) Refuse(ip string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[ip] = refused
}

// Set makes the store misbehave from now on.
func (s *Rows) Set(f Fault) { s.faults.store(f) }

// Calls returns the number of calls so far.
func (s *Rows) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row as the operator or a backend server does, and returns its
// version.
func (s *Rows) Put(table, key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return s.PutRaw(table, key, data), nil
}

// PutRaw writes a row with that value.
func (s *Rows) PutRaw(table, key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table: table, key: key}, data, false)
	return s.version
}

// Remove removes a row.
func (s *Rows) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(rowKey{table: table, key: key}, nil, true)
}

// Compact drops the history of the feed.
func (s *Rows) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.kept = s.version
	for k, r := range s.rows {
		if r.Deleted {
			delete(s.rows, k)
		}
	}
	s.wake()
}

// set writes one row at the present version. The caller holds the lock.
func (s *Rows) set(k rowKey, value []byte, deleted bool) {
	s.rows[k] = Row{Table: k.table, Part: k.part, Key: k.key, Value: value, Ver: s.version, Deleted: deleted}
	s.wake()
}

// wake ends the waits of the feed. The caller holds the lock.
func (s *Rows) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer fills in what every answer has. The caller holds the lock.
func (s *Rows) answer(rows []Row) rowAnswer {
	return rowAnswer{Rows: rows, Ver: s.version, NowMS: time.Since(s.began).Milliseconds()}
}

// rowChange is the body of a transaction.
type rowChange struct {
	Expected []Row `json:"expected"`
	Set      []Row `json:"set_keys"`
	Remove   []Row `json:"remove"`
}

func (s *Rows) commit(w http.ResponseWriter, r *http.Request) {
	var tx rowChange
	data, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(data, &tx)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range append(slices.Clone(tx.Set), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "this table is not the system's", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now, ok := s.holds(tx.Expected); !ok {
		answer(w, http.StatusPreconditionFailed, s.answer(now))
		return
	}
	s.version++
	for _, row := range tx.Set {
		s.set(rowKey{row.Table, row.Part, row.Key}, row.Value, false)
	}
	for _, row := range tx.Remove {
		s.set(rowKey{row.Table, row.Part, row.Key}, nil, true)
	}
	answer(w, http.StatusOK, s.answer(nil))
}

// holds reports whether the rows have the versions expected, and which they have.
// The caller holds the lock.
func (s *Rows) holds(expected []Row) ([]Row, bool) {
	var now []Row
	ok := true
	for _, want := range expected {
		have := s.rows[rowKey{want.Table, want.Part, want.Key}]
		if have.Ver > 0 && !have.Deleted {
			now = append(now, have)
		} else {
			have.Ver = 0
		}
		ok = ok && have.Ver == want.Ver
	}
	return now, ok
}

func (s *Rows) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > rowPage {
		limit = rowPage
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Row
	for k, row := range s.rows {
		inside := k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to"))
		if k.table == q.Get("table") && k.part == q.Get("part") && inside && !row.Deleted {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	a := s.answer(list[:min(limit, len(list))])
	a.More = len(list) > limit
	answer(w, http.StatusOK, a)
}

func (s *Rows) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || errWait != nil {
		http.Error(w, "after and wait_ms have to be numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		a, gone, changed := s.since(q.Get("table"), after)
		if gone {
			http.Error(w, "the history is gone", http.StatusGone)
			return
		}
		if len(a.Rows) > 0 {
			answer(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, a)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// since returns the rows of a table that changed after a version.
func (s *Rows) since(table string, after uint64) (a rowAnswer, gone bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.kept {
		return a, true, nil
	}
	var list []Row
	for k, row := range s.rows {
		if k.table == table && row.Ver > after {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return int(a.Ver) - int(b.Ver) })
	return s.answer(list), false, s.changed
}
