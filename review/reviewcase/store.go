package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store on the wire.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type rowName struct{ table, part, key string }

func (r storeRow) name() rowName { return rowName{r.Table, r.Part, r.Key} }

// store stands in for the platform's metadata store. It loses nothing, is linearizable and keeps
// its whole history.
type store struct {
	begin time.Time
	// rewrite changes a value that a process writes; nil leaves all as they are.
	rewrite func(table string, value []byte) []byte

	mu      sync.Mutex // guards the fields below
	ver     uint64
	rows    map[rowName]storeRow
	changed chan struct{}
}

func newStore() *store {
	return &store{begin: time.Now(), rows: map[rowName]storeRow{}, changed: make(chan struct{})}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]storeRow{{Table: table, Key: key, Value: value}}, nil)
}

// apply carries out one transaction. The caller holds s.mu.
func (s *store) apply(puts, remove []storeRow) {
	s.ver++
	for _, r := range puts {
		r.Ver = s.ver
		s.rows[r.name()] = r
	}
	for _, r := range remove {
		s.rows[r.name()] = storeRow{Table: r.Table, Part: r.Part, Key: r.Key, Ver: s.ver, Removed: true}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeAnswer is an answer about rows.
type storeAnswer struct {
	Rows      []storeRow `json:"rows"`
	Ver       uint64     `json:"ver"`
	NowMS     int64      `json:"now_ms"`
	MorePages bool       `json:"more_pages"`
}

// read returns the rows that match, in the order of their keys.
func (s *store) read(match func(storeRow) bool) storeAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []storeRow{}, Ver: s.ver, NowMS: time.Since(s.begin).Milliseconds()}
	for _, r := range s.rows {
		if match(r) {
			a.Rows = append(a.Rows, r)
		}
	}
	sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Key < a.Rows[j].Key })
	return a
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-get":
		writeJSON(w, http.StatusOK, s.read(func(row storeRow) bool {
			return !row.Removed && row.Table == q.Get("table") && row.Part == q.Get("part") && row.Key >= q.Get("from") &&
				(q.Get("to") == "" || row.Key < q.Get("to"))
		}))
	case "/rows-feed":
		s.feed(w, r)
	case "/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for due := false; ; {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		a := s.read(func(row storeRow) bool { return row.Table == q.Get("table") && row.Ver > after })
		if len(a.Rows) > 0 || due {
			sort.Slice(a.Rows, func(i, j int) bool { return a.Rows[i].Ver < a.Rows[j].Ver })
			writeJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end:
			due = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected_rev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, row := range append(append([]storeRow{}, tx.Puts...), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if s.rewrite != nil {
		for i, row := range tx.Puts {
			tx.Puts[i].Value = s.rewrite(row.Table, row.Value)
		}
	}
	s.mu.Lock()
	status := http.StatusOK
	for _, e := range tx.Expected {
		row := s.rows[e.name()]
		if row.Removed {
			row.Ver = 0
		}
		if row.Ver != e.Ver {
			status = http.StatusPreconditionFailed
		}
	}
	if status == http.StatusOK {
		s.apply(tx.Puts, tx.Remove)
	}
	a := storeAnswer{Rows: []storeRow{}, Ver: s.ver, NowMS: time.Since(s.begin).Milliseconds()}
	s.mu.Unlock()
	writeJSON(w, status, a)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The other side may have closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
