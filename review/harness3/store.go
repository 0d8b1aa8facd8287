package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the store on the wire. A removed one stays as a change.
type storeRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r storeRow) same(o storeRow) bool {
	return r.Table == o.Table && r.Part == o.Part && r.Key == o.Key
}

// store stands in for the platform's metadata store. It serves all calls at once.
type store struct {
	begin time.Time

	mu      sync.Mutex
	ver     uint64
	rows    []storeRow
	changed chan struct{}
	// ways holds, by address, that of the proxy in front of it, which the rows of entries get.
	ways map[string]string
}

func newStore() *store {
	return &store{begin: time.Now(), changed: make(chan struct{}), ways: map[string]string{}}
}

// storeAnswer is an answer with rows, as of version Ver.
type storeAnswer struct {
	Rows      []storeRow `json:"rows"`
	Ver       uint64     `json:"ver"`
	Now       int64      `json:"now_ms"`
	MorePages bool       `json:"more_pages"`
}

// put writes a row of the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ver++
	s.apply(storeRow{Table: table, Key: key, Value: value})
	s.notify()
}

// apply replaces a row. The caller holds s.mu and has raised the version.
func (s *store) apply(r storeRow) {
	r.Ver = s.ver
	s.rows = slices.DeleteFunc(s.rows, r.same)
	s.rows = append(s.rows, r)
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// answer returns the matching rows in the order of their keys. The caller holds s.mu.
func (s *store) answer(match func(storeRow) bool) storeAnswer {
	a := storeAnswer{Rows: []storeRow{}, Ver: s.ver, Now: time.Since(s.begin).Milliseconds()}
	for _, r := range s.rows {
		if match(r) {
			a.Rows = append(a.Rows, r)
		}
	}
	return a
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.transact(w, r)
	case "/rows-get":
		s.mu.Lock()
		a := s.answer(func(r storeRow) bool {
			return !r.Removed && r.Table == q.Get("table") && r.Part == q.Get("part") && r.Key >= q.Get("from") && (q.Get("to") == "" || r.Key < q.Get("to"))
		})
		s.mu.Unlock()
		slices.SortFunc(a.Rows, func(x, y storeRow) int { return strings.Compare(x.Key, y.Key) })
		sendJSON(w, http.StatusOK, a)
	case "/rows-feed":
		s.feed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected_rev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		present := s.answer(func(r storeRow) bool { return !r.Removed && r.same(e) })
		if (e.Ver == 0) != (len(present.Rows) == 0) || (e.Ver > 0 && present.Rows[0].Ver != e.Ver) {
			sendJSON(w, http.StatusPreconditionFailed, present)
			return
		}
	}
	s.ver++
	for _, p := range tx.Puts {
		for address, way := range s.ways {
			p.Value = bytes.ReplaceAll(p.Value, []byte(address), []byte(way))
		}
		s.apply(p)
	}
	for _, p := range tx.Remove {
		p.Removed = true
		s.apply(p)
	}
	s.notify()
	sendJSON(w, http.StatusOK, s.answer(func(storeRow) bool { return false }))
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for due := false; ; {
		s.mu.Lock()
		changed := s.changed
		a := s.answer(func(r storeRow) bool { return r.Table == q.Get("table") && r.Ver > after })
		s.mu.Unlock()
		if len(a.Rows) > 0 || due {
			sendJSON(w, http.StatusOK, a)
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

func sendJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may have closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
