package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxPageRows and maxPageBytes bound the rows of one answer.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
)

type rowKey struct{ table, part, key string }

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r *wireRow) rowKey() rowKey { return rowKey{r.Table, r.Part, r.Key} }

type wireRows struct {
	Rows    []wireRow `json:"rows"`
	More    bool      `json:"has_more"`
	Version uint64    `json:"ver"`
	NowMS   int64     `json:"now_ms"`
}

type wireTxn struct {
	Expected []wireRow `json:"expected"`
	Writes   []wireRow `json:"set_keys"`
	Removals []wireRow `json:"remove"`
}

// store is a stand-in for the platform's metadata store. It keeps removed rows, so that
// feeds tell their removal.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]wireRow
	version uint64
	// changed is closed and replaced at each transaction.
	changed chan struct{}
	// silent, if not nil, is called with each call of a feed. A call for which it returns
	// true gets no answer, as on a connection that has gone silent.
	silent func(caller, table string) bool
	// late, if not nil, is called with each transaction. One for which it returns a channel
	// gets no answer, and is carried out once that is closed if its conditions hold then.
	late func(caller string, txn *wireTxn) <-chan struct{}
}

func newStore() *store {
	return &store{rows: make(map[rowKey]wireRow), changed: make(chan struct{})}
}

// put writes a row with an empty part.
func (s *store) put(table, key string, value []byte) {
	s.apply(&wireTxn{Writes: []wireRow{{Table: table, Key: key, Value: value}}})
}

// apply applies a transaction and returns its version, or the rows that differ.
func (s *store) apply(txn *wireTxn) (uint64, []wireRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var differ []wireRow
	for _, e := range txn.Expected {
		row := s.rows[e.rowKey()]
		if (row.Removed && e.Version != 0) || (!row.Removed && row.Version != e.Version) {
			differ = append(differ, row)
		}
	}
	if differ != nil {
		return 0, differ
	}
	s.version++
	for _, w := range txn.Writes {
		w.Version = s.version
		s.rows[w.rowKey()] = w
	}
	for _, r := range txn.Removals {
		if _, ok := s.rows[r.rowKey()]; ok {
			r.Version, r.Removed = s.version, true
			s.rows[r.rowKey()] = r
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// matching returns the rows for which ok returns true, in the order of their parts and
// keys, and a channel that is closed at the next change.
func (s *store) matching(ok func(r *wireRow) bool) (wireRows, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result := wireRows{Rows: []wireRow{}, Version: s.version, NowMS: time.Now().UnixMilli()}
	for _, r := range s.rows {
		if ok(&r) {
			result.Rows = append(result.Rows, r)
		}
	}
	slices.SortFunc(result.Rows, func(a, b wireRow) int {
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Key, b.Key))
	})
	return result, s.changed
}

// handler returns the handler of the calls of one gateway.
func (s *store) handler(caller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTxn(w, r, caller) })
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-parts", s.serveParts)
	mux.HandleFunc("GET /-/rows-feed", func(w http.ResponseWriter, r *http.Request) { s.serveFeed(w, r, caller) })
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		mux.ServeHTTP(w, r)
	})
}

func reply(w http.ResponseWriter, status int, result any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(result)
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, caller string) {
	var txn wireTxn
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.late != nil {
		if due := s.late(caller, &txn); due != nil {
			go func() {
				<-due
				s.apply(&txn)
			}()
			<-r.Context().Done()
			return
		}
	}
	version, differ := s.apply(&txn)
	if differ != nil {
		reply(w, http.StatusPreconditionFailed, wireRows{Rows: differ})
		return
	}
	reply(w, http.StatusOK, wireRows{Rows: []wireRow{}, Version: version})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	result, _ := s.matching(func(row *wireRow) bool {
		return !row.Removed && row.Table == q.Get("table") && row.Part == q.Get("part") &&
			row.Key >= q.Get("from") && (q.Get("to") == "" || row.Key < q.Get("to"))
	})
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(n, limit)
	}
	size := 0
	for i := range result.Rows {
		size += len(result.Rows[i].Value)
		if i == limit || (i > 0 && size > maxPageBytes) {
			result.Rows, result.More = result.Rows[:i], true
			break
		}
	}
	reply(w, http.StatusOK, result)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	result, _ := s.matching(func(row *wireRow) bool {
		return !row.Removed && row.Table == q.Get("table") && row.Part > q.Get("after")
	})
	parts := []string{}
	for _, row := range result.Rows {
		parts = append(parts, row.Part)
	}
	parts = slices.Compact(parts)
	const most = 1000
	reply(w, http.StatusOK, map[string]any{"parts": parts[:min(most, len(parts))], "has_more": len(parts) > most})
}

// serveFeed waits for changes for as long as the caller allows.
func (s *store) serveFeed(w http.ResponseWriter, r *http.Request, caller string) {
	q := r.URL.Query()
	if s.silent != nil && s.silent(caller, q.Get("table")) {
		<-r.Context().Done()
		return
	}
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		result, changed := s.matching(func(row *wireRow) bool { return row.Table == q.Get("table") && row.Version > after })
		if len(result.Rows) > 0 {
			slices.SortFunc(result.Rows, func(a, b wireRow) int { return cmp.Compare(a.Version, b.Version) })
			reply(w, http.StatusOK, result)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, http.StatusOK, result)
			return
		case <-r.Context().Done():
			return
		}
	}
}
