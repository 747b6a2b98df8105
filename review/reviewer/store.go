package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// rowName names a row of the store.
type rowName struct{ table, part, key string }

// storeRow is a row as it is written on the wire. Value is base64 there.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeCopy is the state of the store at a time.
type storeCopy struct {
	at   time.Time
	ver  uint64
	rows map[rowName]storeRow
}

// store is a stand-in of the platform's store: tables of rows, transactions on conditions, a feed,
// and the return from a copy that is some seconds old, after which the era is higher by one.
type store struct {
	mu      sync.Mutex
	start   time.Time
	ver     uint64
	era     int
	rows    map[rowName]storeRow
	copies  []storeCopy
	changed chan struct{}
	down    bool
	// turnedAway holds the ports of the machines that get 503 for each call.
	turnedAway map[string]bool
}

func newStore() *store {
	return &store{start: time.Now(), era: 1, rows: map[rowName]storeRow{}, changed: make(chan struct{}), turnedAway: map[string]bool{}}
}

// listen opens a port for the calls of one machine and returns its address.
func (s *store) listen() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	address := l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(address, w, r) }))
	}()
	return address
}

// turnAway makes the store answer each call at an address with 503, or serve them again.
func (s *store) turnAway(address string, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway[address] = away
}

// setDown makes the store reset each call, or answer again.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// restore brings back the copy of the time ago before now.
func (s *store) restore(ago time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := time.Now().Add(-ago)
	s.era++
	kept := storeCopy{rows: map[rowName]storeRow{}}
	for _, c := range s.copies {
		if !c.at.After(at) {
			kept = c
		}
	}
	s.ver, s.rows, s.copies = kept.ver, map[rowName]storeRow{}, []storeCopy{kept}
	for k, v := range kept.rows {
		s.rows[k] = v
	}
	s.wake()
}

// wake wakes the calls that wait for changes. The caller holds the lock.
func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// keep records a copy after a change. The caller holds the lock.
func (s *store) keep() {
	c := storeCopy{at: time.Now(), ver: s.ver, rows: map[rowName]storeRow{}}
	for k, v := range s.rows {
		c.rows[k] = v
	}
	s.copies = append(s.copies, c)
	s.wake()
}

// put writes a row as the operator and the engines do. It does nothing while the store is away.
func (s *store) put(table, key string, value any) {
	data, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.ver++
	s.rows[rowName{table, "", key}] = storeRow{Table: table, Key: key, Value: data, Ver: s.ver}
	s.keep()
}

// remove removes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.rows[rowName{table, "", key}] = storeRow{Table: table, Key: key, Ver: s.ver, Deleted: true}
	s.keep()
}

// value returns the value of a row, or "".
func (s *store) value(table, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.rows[rowName{table, "", key}].Value)
}

// answer writes an answer about rows. The caller holds the lock.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow, more bool) {
	if rows == nil {
		rows = []storeRow{}
	}
	data, err := json.Marshal(map[string]any{"rows": rows, "has_more": more, "ver": s.ver, "now_ms": time.Since(s.start).Milliseconds()})
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func (s *store) serve(address string, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down, away, era := s.down, s.turnedAway[address], s.era
	s.mu.Unlock()
	switch {
	case down:
		panic(http.ErrAbortHandler)
	case away:
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.URL.Path == "/v1/rows-tx":
		s.transact(w, r)
	case r.URL.Path == "/v1/rows-get":
		s.get(w, r)
	case r.URL.Path == "/v1/rows-feed":
		s.feed(address, w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected"`
		SetKeys  []storeRow `json:"set_keys"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []storeRow
	holds := true
	for _, e := range tx.Expected {
		row, ok := s.rows[rowName{e.Table, e.Part, e.Key}]
		if !ok || row.Deleted {
			holds = holds && e.Ver == 0
			continue
		}
		current = append(current, row)
		holds = holds && row.Ver == e.Ver
	}
	if !holds {
		s.answer(w, http.StatusPreconditionFailed, current, false)
		return
	}
	s.ver++
	for _, row := range tx.SetKeys {
		row.Ver = s.ver
		s.rows[rowName{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range tx.Remove {
		s.rows[rowName{row.Table, row.Part, row.Key}] = storeRow{Table: row.Table, Part: row.Part, Key: row.Key, Ver: s.ver, Deleted: true}
	}
	s.keep()
	s.answer(w, http.StatusOK, nil, false)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []storeRow
	for k, row := range s.rows {
		if k.table == q.Get("table") && k.part == q.Get("part") && !row.Deleted && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	s.answer(w, http.StatusOK, rows[:min(limit, len(rows))], len(rows) > limit)
}

func (s *store) feed(address string, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || errWait != nil {
		http.Error(w, "after and wait_ms are numbers", http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for ended := false; ; {
		s.mu.Lock()
		if s.down || s.turnedAway[address] {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after > s.ver || era != s.era {
			s.answer(w, http.StatusGone, nil, false)
			s.mu.Unlock()
			return
		}
		var rows []storeRow
		for k, row := range s.rows {
			if k.table == q.Get("table") && row.Ver > after {
				rows = append(rows, row)
			}
		}
		if len(rows) > 0 || ended {
			sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
			s.answer(w, http.StatusOK, rows, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

// check ends the run as one that could not be made.
func check(err error) {
	if err != nil {
		fmt.Println("the case could not run:", err)
		quit(2)
	}
}
