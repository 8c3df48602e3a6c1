package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a stand-in for a server of a service. An engine generates streams of events, any
// other server answers at once. A server runs what is addressed to it as long as it has slots.
type server struct {
	id, service, address string
	slots                int
	models               []model
	// events is the number of events of a generation; 0 for a server that is no engine. Pause is
	// the time between two events.
	events int
	pause  time.Duration

	rec     *record
	born    int64
	mu      sync.Mutex
	running int
}

type model struct {
	Name     string   `json:"name"`
	Version  uint64   `json:"version"`
	Adapters []string `json:"adapters"`
}

// entry is what a server registers.
type entry struct {
	Service string  `json:"service"`
	Address string  `json:"addr"`
	Zone    string  `json:"zone"`
	Version string  `json:"version"`
	Slots   int     `json:"slots"`
	State   string  `json:"state"`
	Cold    int     `json:"cold_left_ms"`
	Stage   string  `json:"stage,omitempty"`
	Models  []model `json:"models,omitempty"`
	Seq     int     `json:"seq"`
	Born    int64   `json:"born"`
}

// engines returns n engines, each of which generates events at a pace.
func engines(n, events int, pause time.Duration) []*server {
	var models []model
	for _, name := range modelNames {
		models = append(models, model{Name: name, Version: 1, Adapters: []string{}})
	}
	var list []*server
	for i := range n {
		list = append(list, &server{
			id: fmt.Sprintf("i-engine-%d", i+1), service: engineService, slots: engineSlots, events: events, pause: pause,
			models: models,
		})
	}
	return list
}

// desk returns a server that answers at once.
func desk() *server { return &server{id: "i-desk-1", service: deskService, slots: 6} }

// start listens on a free port and renews the server's entry until ctx ends.
func (s *server) start(ctx context.Context, st *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address, s.born = l.Addr().String(), time.Now().UnixMilli()
	listener := &http.Server{Handler: s}
	go func() { _ = listener.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		for seq := 1; ctx.Err() == nil; seq++ {
			e := entry{Service: s.service, Address: s.address, Zone: zone, Version: "v1", Slots: s.slots, State: "ready", Models: s.models, Seq: seq, Born: s.born}
			if s.events > 0 {
				e.Stage = "both"
			}
			st.put("servers", s.id, e)
			sleep(ctx, heartbeat)
		}
	}()
	return nil
}

// ServeHTTP serves requests of the system.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/-/report":
		s.report(w)
		return
	case "/-/order":
		// All engines hold the only version that is named.
		w.WriteHeader(http.StatusOK)
		return
	}
	if !s.enter(w) {
		return
	}
	defer s.leave()
	s.rec.began(s.id, id, len(body))
	defer s.rec.left(s.id, id)
	w.Header().Set("X-Server-Stamp", "stamp."+s.id+"."+id)
	if s.events > 0 {
		s.generate(w, r, id)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = io.WriteString(w, "done")
}

func (s *server) report(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	models, err := json.Marshal(s.models)
	if err != nil {
		panic(err)
	}
	_, _ = fmt.Fprintf(w, `{"stage":"both","models":%s,"busy":false,"seq":0,"waiting":0,"running":%d,"kv_used":0,"kv_total":80363,"handles":0}`, models, s.running)
}

// enter takes a slot, or refuses the request as a full server does.
func (s *server) enter(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		w.Header().Set("X-Not-Run", "1")
		w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
		w.WriteHeader(http.StatusServiceUnavailable)
		return false
	}
	s.running++
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running, s.slots))
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// generate sends the events of a generation from the one after the last that the caller has.
func (s *server) generate(w http.ResponseWriter, r *http.Request, id string) {
	next := 1
	if last, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		next = last + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Weight-Versions", "1")
	flush := http.NewResponseController(w)
	for ; next <= s.events; next++ {
		sleep(r.Context(), s.pause)
		if r.Context().Err() != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", next, next, id); err != nil || flush.Flush() != nil {
			return
		}
	}
	s.rec.finished(id)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
