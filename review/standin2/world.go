package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Names and figures of the deployment.
const (
	host          = "shop.example"
	zone          = "zone-a"
	engineService = "engine-a"
	deskService   = "desk-a"
	engineSlots   = 12
	// maxBodyBytes is the limit of the configuration on a body, as the pages show it.
	maxBodyBytes = 33554432
)

// modelNames are the models of the engines; each engine serves one of them at a time.
var modelNames = []string{"model-a", "model-b"}

// keys holds the key of each tenant.
var keys = map[string]string{"tenant-a": "2b9wu3fexd9dnn2ctnfz", "tenant-b": "s989anu6wsjnbanfqasn"}

// world is a small deployment: a store, servers of two services and processes of the system.
type world struct {
	dir     string
	store   *store
	address string
	rec     *record
	machine machine
	stop    context.CancelFunc

	// mu guards the processes of the gateways, which may be started again.
	mu       sync.Mutex
	gateways []*gateway
}

func route(name, prefix, kind, service string, fields map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 10000,
		"target_latency_ms": 400, "max_attempts": 3, "priority": 1, "anonymous": false,
	}
	for k, v := range fields {
		r[k] = v
	}
	return r
}

// config is the configuration of the operator.
func config() map[string]any {
	models, tenants := []any{}, []any{}
	for _, name := range modelNames {
		models = append(models, map[string]any{"name": name})
	}
	for name, key := range keys {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": []string{key}, "priority": 1})
	}
	return map[string]any{
		"version": 3,
		"routes": []any{
			route("r-jobs", "/jobs/", "rollout", engineService, map[string]any{"run_target_ms": 7500, "max_wait_s": 40}),
			route("r-check", "/check/", "safe", deskService, map[string]any{"timeout_ms": 1500, "target_latency_ms": 150, "max_attempts": 4, "anonymous": true}),
			route("r-book", "/book/", "safe", deskService, map[string]any{"timeout_ms": 2000, "target_latency_ms": 150, "max_attempts": 2}),
		},
		"services": []any{
			map[string]any{
				"name": engineService, "health_path": "/healthz", "max_conns": 150, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": engineSlots, "kv_capacity": 80363, "models": models},
			},
			map[string]any{"name": deskService, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": maxBodyBytes, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}

// newWorld starts the stand-ins and n processes of the system.
func newWorld(ctx context.Context, rec *record, dir string, m machine, n int, servers []*server) (*world, error) {
	ctx, cancel := context.WithCancel(ctx)
	w := &world{dir: dir, store: newStore(), rec: rec, machine: m, stop: cancel}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w, err
	}
	w.address = l.Addr().String()
	listener := &http.Server{Handler: w.store}
	go func() { _ = listener.Serve(l) }()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	w.store.put("op", "config", config())
	for _, name := range modelNames {
		w.store.put("op", "version/"+name, map[string]any{"model": name, "version": 1})
	}
	for _, s := range servers {
		s.rec = rec
		if err := s.start(ctx, w.store); err != nil {
			return w, err
		}
	}
	for i := range n {
		w.gateways = append(w.gateways, newGateway(fmt.Sprintf("front-%d", i+1), i+1))
	}
	if err := w.startAll(); err != nil {
		return w, err
	}
	ready, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	for _, g := range w.gateways {
		if err := g.awaitReady(ready); err != nil {
			return w, fmt.Errorf("%s is not ready: %w", g.name, err)
		}
	}
	rec.printf("%d gateways are ready", n)
	return w, nil
}

// startAll starts the processes of all gateways.
func (w *world) startAll() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		if err := g.start(w.dir, w.address, w.machine); err != nil {
			return err
		}
	}
	return nil
}

// killAll kills the processes of all gateways.
func (w *world) killAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, g := range w.gateways {
		g.kill()
	}
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.killAll()
	w.stop()
}

// reply is an answer as a client sees it; its status is 0 if there was none.
type reply struct {
	status int
	body   []byte
	err    error
	took   time.Duration
}

func (r *reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no answer (%v) after %d ms", r.err, r.took.Milliseconds())
	}
	return fmt.Sprintf("%d, %d bytes, after %d ms", r.status, len(r.body), r.took.Milliseconds())
}

// call is a call of a client.
type call struct {
	tenant, method, path, id string
	body                     []byte
	timeout                  time.Duration
}

// send makes a call at a gateway, on a new connection.
func send(ctx context.Context, g *gateway, c *call) *reply {
	started := time.Now()
	timeout := c.timeout
	if timeout == 0 {
		timeout = 5 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.front+c.path, bytes.NewReader(c.body))
	if err != nil {
		return &reply{err: err}
	}
	req.Host = host
	req.Header.Set("Api-Key", keys[c.tenant])
	if c.id != "" {
		req.Header.Set("X-Request-Id", c.id)
		req.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	}
	if c.method == http.MethodPost {
		req.Header.Set("Content-Type", "application/json")
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err != nil {
		return &reply{err: err, took: time.Since(started)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return &reply{status: resp.StatusCode, body: b, err: err, took: time.Since(started)}
}

type wireItem struct {
	ID      string            `json:"id"`
	Path    string            `json:"path"`
	Headers map[string]string `json:"headers"`
	Body    string            `json:"body"`
	Tokens  int               `json:"tokens"`
	Group   string            `json:"group"`
	Scorer  map[string]string `json:"scorer"`
}

// itemID returns the id of an item of a batch job.
func itemID(job string, i int) string { return fmt.Sprintf("%s.%d", job, i) }

// batchJob returns a batch job for a model with items of a size, in groups of four.
func batchJob(job, model string, items, bodyBytes int) []byte {
	text := base64.StdEncoding.EncodeToString(bytes.Repeat([]byte("x"), bodyBytes))
	list := make([]string, 0, items)
	for i := range items {
		id := itemID(job, i)
		b, err := json.Marshal(wireItem{
			ID: id, Path: "/jobs/" + id, Body: text, Tokens: 1039, Group: fmt.Sprintf("%s.g%d", job, i/4),
			Headers: map[string]string{"X-Model": model, "X-Token-Count": "1016,23"},
			Scorer:  map[string]string{"id": "score-" + id, "host": host, "path": "/check/" + id, "body": "eA=="},
		})
		if err != nil {
			panic(err)
		}
		list = append(list, string(b))
	}
	return fmt.Appendf(nil, `{"step":0,"model":%q,"min_version":1,"target_count":%d,"requests":[%s]}`, model, (items+3)/4, strings.Join(list, ","))
}

// submit submits a batch job at a gateway, and again at the next one after a refusal or a
// failure, as clients do.
func (w *world) submit(ctx context.Context, tenant, job string, body []byte, first, tries int) bool {
	for i := range tries {
		g := w.gateways[(first+i)%len(w.gateways)]
		r := send(ctx, g, &call{tenant: tenant, method: http.MethodPost, path: "/jobs/" + job, id: job, body: body, timeout: 20 * time.Second})
		w.rec.printf("client: submits %s (%d bytes) at %s: %v", job, len(body), g.name, r)
		if r.status == http.StatusAccepted {
			return true
		}
		sleep(ctx, 500*time.Millisecond)
	}
	return false
}

// page is a page of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
	} `json:"results"`
}

// read reads the results of a batch job from a position on; nil if there is no answer with 200.
func (w *world) read(ctx context.Context, g *gateway, tenant, job string, after int) (*page, *reply) {
	r := send(ctx, g, &call{tenant: tenant, method: http.MethodGet, path: fmt.Sprintf("/-/lots/%s?after=%d", job, after)})
	var p page
	if r.status != http.StatusOK || json.Unmarshal(r.body, &p) != nil {
		return nil, r
	}
	return &p, r
}

// ordinary sends an ordinary request, again after a refusal, and returns whether it was served.
func (w *world) ordinary(ctx context.Context, id string) bool {
	for i := range 10 {
		g := w.gateways[i%len(w.gateways)]
		try := fmt.Sprintf("%s-%d", id, i)
		r := send(ctx, g, &call{tenant: "tenant-a", method: http.MethodPost, path: "/book/x", id: try, body: []byte("x"), timeout: 2 * time.Second})
		w.rec.printf("client: sends ordinary request %s to %s: %v", try, g.name, r)
		if r.status == http.StatusOK {
			return true
		}
		sleep(ctx, 500*time.Millisecond)
	}
	return false
}

// stepName returns the id of a trainer's step.
func stepName(i int) string { return fmt.Sprintf("step-%d", i) }

// train reads a step twice a second until all of it is listed or the trainer gives up. It returns
// whether all of it was listed.
func (w *world) train(ctx context.Context, i int, deadline time.Time) bool {
	after, last := 0, ""
	for n := 0; time.Now().Before(deadline); n++ {
		g := w.gateways[(i+n)%len(w.gateways)]
		p, r := w.read(ctx, g, "tenant-a", stepName(i), after)
		told := r.String()
		if p != nil {
			after = p.Next
			told = fmt.Sprintf("200, %d of %d listed", p.Next, p.Total)
		}
		if told != last {
			w.rec.printf("client: reads %s at %s: %s", stepName(i), g.name, told)
		}
		if last = told; p != nil && p.Next >= p.Total {
			return true
		}
		sleep(ctx, 500*time.Millisecond)
	}
	return false
}
