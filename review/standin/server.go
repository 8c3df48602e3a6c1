package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	serverSlots = 12
	// eventCount is the number of events of each generation.
	eventCount = 12
	// heartbeat is the time between two writes of a server's entry.
	heartbeat = 1200 * time.Millisecond
)

// eventTime is the time that a server takes for one event.
var eventTime = 15 * time.Millisecond

// text is the whole output of an item: the data of its events, one a line.
func text(item string) string {
	lines := make([]string, eventCount)
	for n := range lines {
		lines[n] = eventData(item, n+1)
	}
	return strings.Join(lines, "\n")
}

func eventData(item string, n int) string { return fmt.Sprintf("%s says word %d", item, n) }

// server is a stand-in for a model server.
type server struct {
	id      string
	service string
	address string
	models  []string
	born    int64
	log     *record
	// spoil returns the number of the event of a run that the server spoils before it breaks
	// the answer off; 0 for none.
	spoil func(item string, firstEvent int) int

	mu sync.Mutex
	// sequence counts the heartbeats.
	sequence int
}

func (s *server) entry() []byte {
	s.mu.Lock()
	s.sequence++
	sequence := s.sequence
	s.mu.Unlock()
	models := make([]string, len(s.models))
	for i, m := range s.models {
		models[i] = fmt.Sprintf(`{"name":%q,"version":1,"adapters":[]}`, m)
	}
	return fmt.Appendf(nil, `{"service":%q,"addr":%q,"zone":%q,"version":"1","slots":%d,"state":"ready","cold_left_ms":0,"seq":%d,"born":%d,"stage":"both","models":[%s]}`,
		s.service, s.address, zone, serverSlots, sequence, s.born, strings.Join(models, ","))
}

// register writes the server's entry until the process ends.
func (s *server) register(st *store) {
	st.put("servers", s.id, s.entry())
	go func() {
		for range time.Tick(heartbeat) {
			st.put("servers", s.id, s.entry())
		}
	}()
}

// ServeHTTP runs an item as a stream of events.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/-/report" {
		reply(w, http.StatusOK, map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0})
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	if r.Method != http.MethodPost || id == "" || r.URL.Path == "/-/order" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	last := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &last)
	s.log.addRun(run{Request: id, Server: s.id, Path: r.URL.Path, Tenant: r.Header.Get("X-Tenant"), Last: last, Headers: headersOf(flat(r.Header))})
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Stamp", "stamp."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("X-Server-Load", fmt.Sprintf("1,0,%d", serverSlots))
	w.Header().Set("Content-Type", "text/event-stream")
	spoiled := 0
	if s.spoil != nil {
		spoiled = s.spoil(id, last+1)
	}
	controller := http.NewResponseController(w)
	for n := last + 1; n <= eventCount; n++ {
		select {
		case <-time.After(eventTime):
		case <-r.Context().Done():
			return
		}
		data := eventData(id, n)
		if n == spoiled {
			data = "\xff\xfe\x80"
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data)
		_ = controller.Flush()
		if n == spoiled {
			s.log.note("server %s spoiled event %d of %s and broke the answer off", s.id, n, id)
			time.Sleep(eventTime)
			panic(http.ErrAbortHandler)
		}
	}
}

// clientHeaders are the headers of items that clients set.
var clientHeaders = []string{"X-Model", "X-Token-Count", "X-Prompt-Prefix", "X-Length-Hint", "X-Urgency", "X-Trace", "X-Sampling"}

func flat(h http.Header) map[string]string {
	values := make(map[string]string)
	for _, name := range clientHeaders {
		if len(h[name]) > 0 {
			values[name] = strings.Join(h[name], ", ")
		}
	}
	return values
}

// headersOf returns the headers that clients set in one order.
func headersOf(values map[string]string) string {
	var b strings.Builder
	for _, name := range clientHeaders {
		if v, ok := values[name]; ok {
			fmt.Fprintf(&b, "%s: %s; ", name, v)
		}
	}
	return b.String()
}
