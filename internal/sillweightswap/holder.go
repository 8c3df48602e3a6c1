package sillweightswap

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// holder keeps the weights of at most one version: that of the adopted plan. It is safe
// for concurrent use.
type holder struct {
	metrics *Metrics

	mu      sync.Mutex
	model   sillid.ModelID
	version sillid.WeightVersion
	// data is nil before the weights are fetched and after they are dropped.
	data    []byte
	dropped bool
	// changed is closed and replaced at each update.
	changed chan struct{}
}

func newHolder(m *Metrics) *holder {
	return &holder{metrics: m, changed: make(chan struct{})}
}

// update runs f under the lock and then closes the channel that waiters hold.
func (h *holder) update(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.metrics.HeldBytes.Set(float64(len(h.data)))
	close(h.changed)
	h.changed = make(chan struct{})
}

// expect drops the held weights and marks those of the version as pending.
func (h *holder) expect(model sillid.ModelID, version sillid.WeightVersion) {
	h.update(func() { h.model, h.version, h.data, h.dropped = model, version, nil, false })
}

func (h *holder) put(version sillid.WeightVersion, data []byte) {
	h.update(func() {
		if version == h.version {
			h.data, h.dropped = data, false
		}
	})
}

func (h *holder) drop() {
	if _, state, _ := h.get("", 0); state == absent {
		return
	}
	h.update(func() { h.data, h.dropped = nil, true })
}

func (h *holder) current() (sillid.ModelID, sillid.WeightVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model, h.version
}

// presence states whether the holder has the weights of a version.
type presence int

const (
	// present weights are in memory.
	present presence = iota
	// pending weights may still be fetched.
	pending
	// absent weights will not be fetched.
	absent
)

// get returns the weights, their presence and a channel that is closed at the next
// update. An empty model stands for the model and version of the adopted plan.
func (h *holder) get(model sillid.ModelID, version sillid.WeightVersion) ([]byte, presence, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if model == "" {
		model, version = h.model, h.version
	}
	switch {
	case h.version < version && (h.model == "" || h.model == model):
		return nil, pending, h.changed
	case h.model != model || h.version != version || h.dropped:
		return nil, absent, h.changed
	case h.data == nil:
		return nil, pending, h.changed
	}
	return h.data, present, h.changed
}

const (
	// keepAliveInterval is the time between two empty chunks, which signal to the
	// receiver that the sender still waits for the weights.
	keepAliveInterval = time.Second
	// sendWaitTimeout limits the wait for the weights.
	sendWaitTimeout = 30 * time.Second
)

// SendWeights sends weights to another agent once they are fetched. It refuses a version
// that this agent will not fetch, or has not fetched within sendWaitTimeout.
func (r *Runner) SendWeights(ctx context.Context, want *sillwire.FetchWeights, stream Stream) error {
	ctx, cancel := context.WithTimeout(ctx, sendWaitTimeout)
	defer cancel()
	for {
		data, state, changed := r.held.get(want.Model, want.Version)
		if state == present {
			return sendWeights(stream, data)
		}
		if state == absent || ctx.Err() != nil {
			return sillwire.Write(stream, &sillwire.Refuse{Kind: sillproblem.NotFound, Outcome: sillproblem.NotRun})
		}
		select {
		case <-changed:
		case <-ctx.Done():
		case <-time.After(keepAliveInterval):
			if err := sillwire.Write(stream, &sillwire.Chunk{}); err != nil {
				return err
			}
		}
	}
}

func sendWeights(stream Stream, data []byte) error {
	for rest := data; len(rest) > 0; {
		n := min(len(rest), sillwire.MaxChunkBytes)
		if err := sillwire.Write(stream, &sillwire.Chunk{Data: rest[:n]}); err != nil {
			return err
		}
		rest = rest[n:]
	}
	return sillwire.Write(stream, &sillwire.Finish{Bytes: int64(len(data))})
}

// Handler serves weights to the agent's engine: GET /weights/MODEL/VERSION.
func (r *Runner) Handler() http.Handler {
	m := mux.NewRouter()
	m.HandleFunc("/weights/{model}/{version}", func(w http.ResponseWriter, req *http.Request) {
		version, err := strconv.ParseUint(mux.Vars(req)["version"], 10, 64)
		data, state, _ := r.held.get(sillid.ModelID(mux.Vars(req)["model"]), sillid.WeightVersion(version))
		if err != nil || state != present {
			http.Error(w, "the agent does not hold this version", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(data)))
		// An error of Write needs no handling: a truncated download fails the engine's load.
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return m
}
