package imitator

import (
	"bytes"
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

// maxRowsPerAnswer bounds the number of rows in the answer to a read.
const maxRowsPerAnswer = 500

// RowStore is a stand-in of the hosting platform's store: tables of versioned rows,
// conditional transactions, and a feed of changes. It is safe for concurrent use.
type RowStore struct {
	faultInjector
	started time.Time

	mu      sync.Mutex
	rows    map[rowKey]Row
	version uint64
	// compactedTo is the version up to which the history of the feed was dropped.
	compactedTo uint64
	changed     chan struct{}
	calls       int
	refusedIPs  map[string]bool
	// era rises with each restore. undo holds what the changes of the last undoTime replaced, the
	// oldest first.
	era  uint64
	undo undoLog[rowKey, Row]
	// silent is set while calls get no answer.
	silent bool
}

type rowKey struct {
	table, part, key string
}

// Row is a row in the JSON format of the store.
type Row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
	// odd is the JSON of the value if another writer has written one that is not base64.
	odd string
}

// encode returns the row as JSON, which is not well formed if odd is not.
func (r Row) encode() []byte {
	// The fields are plain data, whose encoding can't fail.
	data, _ := json.Marshal(r)
	if r.odd == "" {
		return data
	}
	return append(data[:len(data)-1], `,"value":`+r.odd+"}"...)
}

// rowAnswer is the body of the answer to every call.
type rowAnswer struct {
	Rows  []Row
	More  bool
	Ver   uint64
	NowMS int64
}

// write answers with a status and a.
func (a rowAnswer) write(w http.ResponseWriter, status int) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoded := make([][]byte, len(a.Rows))
	for i, r := range a.Rows {
		encoded[i] = r.encode()
	}
	// A failed write shows at the caller.
	_, _ = fmt.Fprintf(w, `{"rows":[%s],"has_more":%t,"ver":%d,"now_ms":%d}`, bytes.Join(encoded, []byte(",")), a.More, a.Ver, a.NowMS)
}

// NewRowStore returns an empty store.
func NewRowStore() *RowStore {
	s := &RowStore{started: time.Now(), rows: map[rowKey]Row{}, changed: make(chan struct{}), refusedIPs: map[string]bool{}, era: 1}
	m := mux.NewRouter()
	m.HandleFunc("/v1/rows-tx", s.handleTransaction).Methods(http.MethodPost)
	m.HandleFunc("/v1/rows-get", s.handleGet).Methods(http.MethodGet)
	m.HandleFunc("/v1/rows-feed", s.handleFeed).Methods(http.MethodGet)
	s.next = m
	return s
}

// ServeHTTP implements http.Handler. It counts the call and refuses it if the caller's
// IP is refused.
func (s *RowStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls++
	refused := s.refusedIPs[r.RemoteAddr[:strings.LastIndex(r.RemoteAddr, ":")]]
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	silent := s.silent
	s.mu.Unlock()
	if silent {
		swallow(r)
	}
	if refused {
		http.Error(w, "calls from this address are refused", http.StatusServiceUnavailable)
		return
	}
	s.faultInjector.ServeHTTP(w, r)
}

// Refuse starts or stops the refusal of all calls from an IP, with status 503.
func (s *RowStore) Refuse(ip string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusedIPs[ip] = refused
}

// SetFault replaces the faults of the store.
func (s *RowStore) SetFault(f Fault) { s.faultInjector.setFault(f) }

// Calls returns the number of calls, including refused ones.
func (s *RowStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Put writes a row, with value as JSON, without a transaction, as the operator and the
// backend servers do. It returns the version of the row.
func (s *RowStore) Put(table, key string, value any) (uint64, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, err
	}
	return s.PutRaw(table, key, data), nil
}

// PutRaw writes a row with the given bytes as its value and returns its version.
func (s *RowStore) PutRaw(table, key string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(rowKey{table: table, key: key}, data, false)
	return s.version
}

// PutOdd writes a row whose value is the given JSON in place of base64, as another writer may,
// and returns its version.
func (s *RowStore) PutOdd(table, key, value string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	k := rowKey{table: table, key: key}
	s.setRow(k, nil, false)
	row := s.rows[k]
	row.odd = value
	s.rows[k] = row
	return s.version
}

// Remove marks a row as deleted.
func (s *RowStore) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.setRow(rowKey{table: table, key: key}, nil, true)
}

// Compact drops the history of the feed, and with it the deleted rows. Readers of the
// feed that are behind have to read the tables again.
func (s *RowStore) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.compactedTo = s.version
	for k, r := range s.rows {
		if r.Deleted {
			delete(s.rows, k)
		}
	}
	s.wakeFeeds()
}

// setRow writes one row at the current version. The caller holds the lock.
func (s *RowStore) setRow(k rowKey, value []byte, deleted bool) {
	s.undo.record(s.rows, k, s.version-1)
	s.rows[k] = Row{Table: k.table, Part: k.part, Key: k.key, Value: value, Ver: s.version, Deleted: deleted}
	s.wakeFeeds()
}

// wakeFeeds wakes the readers that wait for a change. The caller holds the lock.
func (s *RowStore) wakeFeeds() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// newAnswer returns an answer with the given rows, the current version and the store's
// time. The caller holds the lock.
func (s *RowStore) newAnswer(rows []Row) rowAnswer {
	return rowAnswer{Rows: rows, Ver: s.version, NowMS: time.Since(s.started).Milliseconds()}
}

// rowTransaction is the body of a transaction request.
type rowTransaction struct {
	Expected []Row `json:"expected"`
	Set      []Row `json:"set_keys"`
	Remove   []Row `json:"remove"`
}

func (s *RowStore) handleTransaction(w http.ResponseWriter, r *http.Request) {
	var tx rowTransaction
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
			http.Error(w, "transactions can't write to this table", http.StatusForbidden)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if current, ok := s.checkVersions(tx.Expected); !ok {
		s.newAnswer(current).write(w, http.StatusPreconditionFailed)
		return
	}
	s.version++
	for _, row := range tx.Set {
		s.setRow(rowKey{row.Table, row.Part, row.Key}, row.Value, false)
	}
	for _, row := range tx.Remove {
		s.setRow(rowKey{row.Table, row.Part, row.Key}, nil, true)
	}
	s.newAnswer(nil).write(w, http.StatusOK)
}

// checkVersions reports whether all rows have their expected versions, with 0 for a
// row that does not exist, and returns those of the rows that exist. The caller holds
// the lock.
func (s *RowStore) checkVersions(expected []Row) ([]Row, bool) {
	var current []Row
	ok := true
	for _, expectedRow := range expected {
		row := s.rows[rowKey{expectedRow.Table, expectedRow.Part, expectedRow.Key}]
		if row.Ver > 0 && !row.Deleted {
			current = append(current, row)
		} else {
			row.Ver = 0
		}
		ok = ok && row.Ver == expectedRow.Ver
	}
	return current, ok
}

func (s *RowStore) handleGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRowsPerAnswer {
		limit = maxRowsPerAnswer
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Row
	for k, row := range s.rows {
		inRange := k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to"))
		if k.table == q.Get("table") && k.part == q.Get("part") && inRange && !row.Deleted {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	result := s.newAnswer(list[:min(limit, len(list))])
	result.More = len(list) > limit
	result.write(w, http.StatusOK)
}

func (s *RowStore) handleFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMS, errWait := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || errWait != nil {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		result, compacted, changed := s.changesSince(q.Get("table"), after)
		if compacted {
			s.beginAnswer(w, r)
			http.Error(w, "the history of the feed was compacted", http.StatusGone)
			return
		}
		if len(result.Rows) > 0 {
			s.beginAnswer(w, r)
			result.write(w, http.StatusOK)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.beginAnswer(w, r)
			result.write(w, http.StatusOK)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesSince returns the rows of a table that changed after a version, sorted by
// version, and a channel that is closed at the next change. It reports compacted if
// the history no longer reaches back to that version.
func (s *RowStore) changesSince(table string, after uint64) (result rowAnswer, compacted bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.compactedTo || after > s.version {
		return result, true, nil
	}
	var list []Row
	for k, row := range s.rows {
		if k.table == table && row.Ver > after {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b Row) int { return int(a.Ver) - int(b.Ver) })
	return s.newAnswer(list), false, s.changed
}

// Has reports whether there is a row.
func (s *RowStore) Has(table, key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[rowKey{table: table, key: key}]
	return ok && !row.Deleted
}
