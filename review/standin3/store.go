package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store of a small deployment.
const (
	readsPerSecond  = 2000
	writesPerSecond = 800
	answerTime      = 4 * time.Millisecond
	txnTime         = 5 * time.Millisecond
	maxPageRows     = 500
	maxPageBytes    = 1 << 20
	maxParts        = 1000
)

type partKey struct{ table, part string }

type wireRow struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type wireRows struct {
	Rows    []wireRow `json:"rows"`
	More    bool      `json:"has_more"`
	Version uint64    `json:"ver"`
	NowMS   int64     `json:"now_ms"`
}

type wireTxn struct {
	Checks   []wireRow `json:"expected"`
	Writes   []wireRow `json:"set_keys"`
	Removals []wireRow `json:"remove"`
}

// allowance counts the calls of all gateways against a rate: one second's calls may come at once.
type allowance struct {
	mu      sync.Mutex
	rate    float64
	tokens  float64
	updated time.Time
}

func newAllowance(rate float64) *allowance {
	return &allowance{rate: rate, tokens: rate, updated: time.Now()}
}

func (a *allowance) take() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	a.tokens = min(a.tokens+now.Sub(a.updated).Seconds()*a.rate, a.rate)
	a.updated = now
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// store is the platform's metadata store. It loses nothing and is always there.
type store struct {
	began time.Time

	mu    sync.Mutex
	parts map[partKey]map[string]wireRow
	// log holds all changes by table.
	log     map[string][]wireRow
	version uint64
	changed map[string]chan struct{}

	reads, writes *allowance
	// refused counts the calls beyond the rates.
	refusedReads, refusedWrites, servedReads int
}

func newStore() *store {
	return &store{
		began: time.Now(), parts: make(map[partKey]map[string]wireRow), log: make(map[string][]wireRow),
		changed: make(map[string]chan struct{}), reads: newAllowance(readsPerSecond), writes: newAllowance(writesPerSecond),
	}
}

// put writes a row of the operator or of a server.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	must(err)
	s.apply(&wireTxn{Writes: []wireRow{{Table: table, Key: key, Value: b}}})
}

func (s *store) apply(txn *wireTxn) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Checks {
		if s.parts[partKey{c.Table, c.Part}][c.Key].Version != c.Version {
			return 0, false
		}
	}
	s.version++
	tables := make(map[string]bool)
	for _, w := range txn.Writes {
		w.Version, w.Removed = s.version, false
		k := partKey{w.Table, w.Part}
		if s.parts[k] == nil {
			s.parts[k] = make(map[string]wireRow)
		}
		s.parts[k][w.Key] = w
		s.log[w.Table] = append(s.log[w.Table], w)
		tables[w.Table] = true
	}
	for _, r := range txn.Removals {
		k := partKey{r.Table, r.Part}
		if _, ok := s.parts[k][r.Key]; !ok {
			continue
		}
		delete(s.parts[k], r.Key)
		if len(s.parts[k]) == 0 {
			delete(s.parts, k)
		}
		r.Version, r.Removed, r.Value = s.version, true, nil
		s.log[r.Table] = append(s.log[r.Table], r)
		tables[r.Table] = true
	}
	for t := range tables {
		if c := s.changed[t]; c != nil {
			close(c)
			delete(s.changed, t)
		}
	}
	return s.version, true
}

// since returns the changes of a table after a version, and a channel that is closed at the next one.
func (s *store) since(table string, after uint64) ([]wireRow, uint64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.log[table]
	i, _ := slices.BinarySearchFunc(list, after, func(r wireRow, v uint64) int {
		if r.Version <= v {
			return -1
		}
		return 1
	})
	if s.changed[table] == nil {
		s.changed[table] = make(chan struct{})
	}
	return slices.Clone(list[i:]), s.version, s.changed[table]
}

func (s *store) count(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *store) counts() (served, refusedReads, refusedWrites int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servedReads, s.refusedReads, s.refusedWrites
}

// ServeHTTP serves the calls of gateways.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/-/rows-tx" {
		s.serveTxn(w, r)
		return
	}
	if !s.reads.take() {
		s.count(&s.refusedReads)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	s.count(&s.servedReads)
	time.Sleep(answerTime)
	switch r.URL.Path {
	case "/-/rows-get":
		s.serveGet(w, r)
	case "/-/rows-parts":
		s.serveParts(w, r)
	case "/-/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) now() int64 { return time.Since(s.began).Milliseconds() }

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn wireTxn
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.writes.take() {
		s.count(&s.refusedWrites)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(txnTime)
	version, ok := s.apply(&txn)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	reply(w, wireRows{Rows: []wireRow{}, Version: version, NowMS: s.now()})
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	result := wireRows{Rows: []wireRow{}, NowMS: s.now()}
	s.mu.Lock()
	for key, row := range s.parts[partKey{q.Get("table"), q.Get("part")}] {
		if key >= from && (to == "" || key < to) {
			result.Rows = append(result.Rows, row)
		}
	}
	result.Version = s.version
	s.mu.Unlock()
	slices.SortFunc(result.Rows, func(a, b wireRow) int { return cmp.Compare(a.Key, b.Key) })
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(n, limit)
	}
	size := 0
	for i := range result.Rows {
		size += 4 * len(result.Rows[i].Value) / 3
		if i == limit || (i > 0 && size > maxPageBytes) {
			result.Rows, result.More = result.Rows[:i], true
			break
		}
	}
	reply(w, result)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	parts := []string{}
	s.mu.Lock()
	for k := range s.parts {
		if k.table == q.Get("table") && strings.Compare(k.part, q.Get("after")) > 0 {
			parts = append(parts, k.part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	more := len(parts) > maxParts
	reply(w, map[string]any{"parts": parts[:min(len(parts), maxParts)], "has_more": more})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		rows, version, changed := s.since(q.Get("table"), after)
		if len(rows) > 0 {
			reply(w, wireRows{Rows: rows, Version: version, NowMS: s.now()})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, wireRows{Rows: []wireRow{}, Version: version, NowMS: s.now()})
			return
		case <-r.Context().Done():
			return
		}
	}
}
