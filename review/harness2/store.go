package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeRow is a row of the platform's store. A removed one stays as a change.
type storeRow struct {
	Table   string  `json:"table"`
	Part    string  `json:"part"`
	Key     string  `json:"key"`
	Value   []byte  `json:"value,omitempty"`
	Ver     *uint64 `json:"ver,omitempty"`
	Removed bool    `json:"removed,omitempty"`
}

// store stands in for the platform's store. It serves all calls at once.
type store struct {
	begin time.Time

	mu      sync.Mutex // guards the fields below
	ver     uint64
	rows    []storeRow
	changed chan struct{}
	// replaced holds the addresses that rows name in place of others: those of relays.
	replaced map[string]string
}

func newStore() *store {
	return &store{begin: time.Now(), changed: make(chan struct{}), replaced: map[string]string{}}
}

func (r storeRow) sameKey(o storeRow) bool {
	return r.Table == o.Table && r.Part == o.Part && r.Key == o.Key
}

// apply makes one transaction. It returns the rows whose condition does not hold.
func (s *store) apply(expected, puts, removed []storeRow) (failed []storeRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range expected {
		var have uint64
		i := slices.IndexFunc(s.rows, func(o storeRow) bool { return o.sameKey(e) && !o.Removed })
		if i >= 0 {
			have = *s.rows[i].Ver
		}
		if e.Ver == nil || *e.Ver != have {
			failed = append(failed, storeRow{Table: e.Table, Part: e.Part, Key: e.Key, Ver: &have})
		}
	}
	if len(failed) > 0 {
		return failed
	}
	s.ver++
	ver := s.ver
	for i := range removed {
		removed[i].Removed = true
	}
	for _, p := range append(slices.Clone(puts), removed...) {
		p.Ver = &ver
		for address, relay := range s.replaced {
			p.Value = []byte(strings.ReplaceAll(string(p.Value), `"`+address+`"`, `"`+relay+`"`))
		}
		s.rows = slices.DeleteFunc(s.rows, func(o storeRow) bool { return o.sameKey(p) })
		s.rows = append(s.rows, p)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.apply(nil, []storeRow{{Table: table, Key: key, Value: data}}, nil)
	return nil
}

// storeAnswer is an answer with rows as of version Ver.
type storeAnswer struct {
	Rows      []storeRow `json:"rows"`
	Ver       uint64     `json:"ver"`
	Now       int64      `json:"now_ms"`
	MorePages bool       `json:"more_pages"`
}

func (s *store) read(match func(storeRow) bool) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := storeAnswer{Rows: []storeRow{}, Ver: s.ver, Now: time.Since(s.begin).Milliseconds()}
	for _, r := range s.rows {
		if match(r) {
			a.Rows = append(a.Rows, r)
		}
	}
	slices.SortFunc(a.Rows, func(x, y storeRow) int { return strings.Compare(x.Key, y.Key) })
	return a, s.changed
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/rows-tx":
		s.serveTransaction(w, r)
	case "/rows-get":
		a, _ := s.read(func(row storeRow) bool {
			return !row.Removed && row.Table == q.Get("table") && row.Part == q.Get("part") &&
				row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to"))
		})
		answerJSON(w, http.StatusOK, a)
	case "/rows-feed":
		s.serveFeed(w, r)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var tx struct {
		Expected []storeRow `json:"expected_rev"`
		Puts     []storeRow `json:"puts"`
		Remove   []storeRow `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	for _, row := range append(slices.Clone(tx.Puts), tx.Remove...) {
		if row.Table == "op" || row.Table == "servers" {
			http.Error(w, "not a table of the system", http.StatusForbidden)
			return
		}
	}
	status := http.StatusOK
	failed := s.apply(tx.Expected, tx.Puts, tx.Remove)
	if len(failed) > 0 {
		status = http.StatusPreconditionFailed
	}
	a, _ := s.read(func(storeRow) bool { return false })
	a.Rows = append(a.Rows, failed...)
	answerJSON(w, status, a)
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer end.Stop()
	for due := false; ; {
		a, changed := s.read(func(row storeRow) bool { return row.Table == q.Get("table") && *row.Ver > after })
		if len(a.Rows) > 0 || due {
			slices.SortStableFunc(a.Rows, func(x, y storeRow) int { return int(*x.Ver) - int(*y.Ver) })
			answerJSON(w, http.StatusOK, a)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			due = true
		case <-r.Context().Done():
			return
		}
	}
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer may have closed the connection.
	_ = json.NewEncoder(w).Encode(v)
}
