package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the store, as the sheets of the small deployments set them.
const (
	readsPerSecond  = 2000
	writesPerSecond = 800
	// answerTime is 4 ms, and 1.4 ms one way between zones.
	answerTime = 4*time.Millisecond + 2*1400*time.Microsecond
	// maxPageRows and maxPageBytes bound a response with rows, maxPageParts one with parts.
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxPageParts = 1000
)

// row is a row of the platform's store as it is sent.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version uint64 `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

type transaction struct {
	Checks   []row `json:"expected"`
	Writes   []row `json:"set_keys"`
	Removals []row `json:"remove"`
}

type rowList struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version uint64 `json:"ver"`
	NowMS   int64  `json:"now_ms"`
}

// rate bounds calls a second. Each call takes a token; they come back evenly.
type rate struct {
	perSecond float64

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

func newRate(perSecond float64) *rate {
	return &rate{perSecond: perSecond, tokens: perSecond, filled: time.Now()}
}

// take returns whether a call is within the rate.
func (r *rate) take() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.filled).Seconds()*r.perSecond)
	r.filled = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// store is a stand-in for the platform's metadata store. It is linearizable and loses nothing.
type store struct {
	started       time.Time
	reads, writes *rate

	mu sync.Mutex
	// tables holds the rows by table, partition and key.
	tables map[string]map[string]map[string]row
	// history holds the changes of each table in their order.
	history map[string][]row
	version uint64
	// changed is closed and replaced at each transaction.
	changed chan struct{}
}

func newStore() *store {
	return &store{
		started: time.Now(), reads: newRate(readsPerSecond), writes: newRate(writesPerSecond),
		tables: make(map[string]map[string]map[string]row), history: make(map[string][]row), changed: make(chan struct{}),
	}
}

// put writes a row without a partition, as the operator and the servers do.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.apply(&transaction{Writes: []row{{Table: table, Key: key, Value: b}}})
}

// current returns a row; its version is 0 if it does not exist. The caller holds s.mu.
func (s *store) current(table, part, key string) row { return s.tables[table][part][key] }

// apply carries a transaction out. It returns the rows that differ from those that it expects,
// and false, if there are any.
func (s *store) apply(t *transaction) (*rowList, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failed := false
	list := &rowList{Version: s.version}
	for _, c := range t.Checks {
		held := s.current(c.Table, c.Part, c.Key)
		failed = failed || held.Version != c.Version
		if held.Version != 0 {
			list.Rows = append(list.Rows, held)
		}
	}
	if failed {
		return list, false
	}
	s.version++
	for _, w := range t.Writes {
		w.Version, w.Removed = s.version, false
		s.set(w)
	}
	for _, r := range t.Removals {
		if s.current(r.Table, r.Part, r.Key).Version != 0 {
			delete(s.tables[r.Table][r.Part], r.Key)
			if len(s.tables[r.Table][r.Part]) == 0 {
				delete(s.tables[r.Table], r.Part)
			}
			r.Version, r.Removed, r.Value = s.version, true, nil
			s.history[r.Table] = append(s.history[r.Table], r)
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return &rowList{Version: s.version}, true
}

func (s *store) set(r row) {
	if s.tables[r.Table] == nil {
		s.tables[r.Table] = make(map[string]map[string]row)
	}
	if s.tables[r.Table][r.Part] == nil {
		s.tables[r.Table][r.Part] = make(map[string]row)
	}
	s.tables[r.Table][r.Part][r.Key] = r
	s.history[r.Table] = append(s.history[r.Table], r)
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bound := s.reads
	if r.Method == http.MethodPost {
		bound = s.writes
	}
	if !bound.take() {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(answerTime)
	switch r.Method + " " + r.URL.Path {
	case "POST /-/rows-tx":
		s.serveTransaction(w, r)
	case "GET /-/rows-get":
		s.serveRows(w, r)
	case "GET /-/rows-parts":
		s.serveParts(w, r)
	case "GET /-/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) reply(w http.ResponseWriter, status int, list *rowList) {
	list.NowMS = time.Since(s.started).Milliseconds()
	if list.Rows == nil {
		list.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(list)
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	var t transaction
	if err != nil || json.Unmarshal(b, &t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	list, ok := s.apply(&t)
	if ok {
		s.reply(w, http.StatusOK, list)
		return
	}
	s.reply(w, http.StatusPreconditionFailed, list)
}

func (s *store) serveRows(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, to := q.Get("from"), q.Get("to")
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	list := &rowList{Version: s.version}
	for key, held := range s.tables[q.Get("table")][q.Get("part")] {
		if key >= from && (to == "" || key < to) {
			list.Rows = append(list.Rows, held)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(list.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for i := range list.Rows {
		size += len(list.Rows[i].Value)*4/3 + len(list.Rows[i].Key) + 100
		if i == limit || (i > 0 && size > maxPageBytes) {
			list.Rows, list.More = list.Rows[:i], true
			break
		}
	}
	s.reply(w, http.StatusOK, list)
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	parts := []string{}
	s.mu.Lock()
	for part := range s.tables[q.Get("table")] {
		if part > q.Get("after") {
			parts = append(parts, part)
		}
	}
	s.mu.Unlock()
	slices.Sort(parts)
	more := len(parts) > maxPageParts
	parts = parts[:min(len(parts), maxPageParts)]
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"parts": parts, "has_more": more})
}

// changes returns the changes of a table after a version, in their order, and a channel that is
// closed at the next transaction.
func (s *store) changes(table string, after uint64) (*rowList, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := s.history[table]
	first := sort.Search(len(all), func(i int) bool { return all[i].Version > after })
	return &rowList{Version: s.version, Rows: slices.Clone(all[first:])}, s.changed
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		list, changed := s.changes(q.Get("table"), after)
		if len(list.Rows) > 0 {
			s.reply(w, http.StatusOK, list)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, http.StatusOK, list)
			return
		case <-r.Context().Done():
			return
		}
	}
}
