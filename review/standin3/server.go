package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a server of a service: an engine if it has a model.
type server struct {
	id, service, model, address string
	slots                       int
	// eventTime is the time between two events of an engine, and events their number.
	eventTime time.Duration
	events    int
	// workTime is how long a request takes at a plain service.
	workTime time.Duration
	// duration is the fourth figure of the load; 0 for none.
	duration int
	bornMS   int64
	record   *record
	// onRun is called for each request that begins to run; it may be nil.
	onRun func(id string)
	// onOrder is called for each order; it may be nil.
	onOrder func(from, body string)

	mu      sync.Mutex
	version uint64
	seq     uint64
	running int
	ran     map[string]int
}

func (s *server) start() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address, s.ran = listener.Addr().String(), make(map[string]int)
	s.bornMS, s.version = time.Now().UnixMilli(), 1
	go func() { _ = http.Serve(listener, s) }()
}

// entry is the entry of the server in the store.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := map[string]any{
		"service": s.service, "addr": s.address, "zone": zoneName, "version": "v1", "slots": s.slots,
		"state": "ready", "cold_left_ms": 0, "seq": time.Now().UnixMilli(), "born": s.bornMS,
	}
	if s.model != "" {
		e["stage"], e["models"] = "both", s.models()
	}
	return e
}

func (s *server) models() any {
	return []map[string]any{{"name": model, "version": s.version, "adapters": []string{}}, {"name": otherModel, "version": 1, "adapters": []string{}}}
}

func (s *server) loadHeader() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := fmt.Sprintf("%d,%d,%d", min(s.running, s.slots), max(0, s.running-s.slots), s.slots)
	if s.duration > 0 {
		load += "," + strconv.Itoa(s.duration)
	}
	return load
}

// ServeHTTP serves requests, orders and reports.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		reply(w, map[string]any{
			"stage": "both", "models": s.models(), "busy": false, "seq": s.seq, "waiting": 0, "running": s.running,
			"kv_used": 0, "kv_total": 62781, "handles": 0, "born": s.bornMS,
		})
		return
	case "/-/order":
		s.serveOrder(w, r)
		return
	}
	id := r.Header.Get("X-Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Load", s.loadHeader())
	if !s.enter(id) {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	if s.onRun != nil {
		s.onRun(id)
	}
	h.Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	if s.model == "" {
		if pause(r, s.workTime) {
			_, _ = io.WriteString(w, "answer to "+id)
		}
		return
	}
	s.generate(w, r, id)
}

// maxQueue is the number of requests that wait beside those that run.
const maxQueue = 24

func (s *server) enter(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots+maxQueue {
		return false
	}
	s.running++
	s.ran[id]++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// generate sends the events of an item after the one that the request names. Their number is that of the
// client's estimate, if there is one.
func (s *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", strconv.FormatUint(version, 10))
	events := s.events
	if n, err := strconv.Atoi(r.Header.Get("X-Length-Hint")); err == nil {
		events = n
	}
	for n := last + 1; n <= events; n++ {
		if !pause(r, s.eventTime) {
			return
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(id, n))
		_ = http.NewResponseController(w).Flush()
	}
}

func eventData(id string, n int) string { return fmt.Sprintf("%s-%d", id, n) }

func (s *server) serveOrder(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var order struct {
		Model    string  `json:"model"`
		Version  uint64  `json:"version"`
		Owner    string  `json:"owner"`
		Fence    *uint64 `json:"fence"`
		Expected *uint64 `json:"expected"`
	}
	if json.Unmarshal(body, &order) != nil || order.Owner == "" || order.Fence == nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.onOrder != nil {
		s.onOrder(r.RemoteAddr, string(body))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case order.Model != model:
		w.WriteHeader(http.StatusBadRequest)
	case order.Expected != nil && *order.Expected != s.seq:
		w.WriteHeader(http.StatusConflict)
	case order.Version <= s.version:
		w.WriteHeader(http.StatusOK)
	default:
		s.seq++
		s.version = order.Version
		w.WriteHeader(http.StatusAccepted)
	}
}

// pause returns false if the sender of the request leaves before.
func pause(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}
