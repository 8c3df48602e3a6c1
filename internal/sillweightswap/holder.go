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

// holder keeps the weights of at most one version: the plan's.
type holder struct {
	metrics *Metrics

	mu      sync.Mutex
	model   sillid.ModelID
	version sillid.WeightVersion
	// data is nil before the weights came and after they were dropped.
	data    []byte
	dropped bool
	// changed is closed at each change, and then replaced.
	changed chan struct{}
}

func newHolder(m *Metrics) *holder {
	return &holder{metrics: m, changed: make(chan struct{})}
}

func (h *holder) change(f func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f()
	h.metrics.HeldBytes.Set(float64(len(h.data)))
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *holder) want(model sillid.ModelID, version sillid.WeightVersion) {
	h.change(func() { h.model, h.version, h.data, h.dropped = model, version, nil, false })
}

func (h *holder) keep(version sillid.WeightVersion, data []byte) {
	h.change(func() {
		if version == h.version {
			h.data, h.dropped = data, false
		}
	})
}

func (h *holder) drop() {
	if _, state, _ := h.get("", 0); state == absent {
		return
	}
	h.change(func() { h.data, h.dropped = nil, true })
}

func (h *holder) wanted() (sillid.ModelID, sillid.WeightVersion) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.model, h.version
}

// presence tells whether weights are here.
type presence int

const (
	// present weights are here.
	present presence = iota
	// expected weights may come.
	expected
	// absent weights do not come.
	absent
)

// get returns the weights and a channel that is closed at the next change. An
// empty model stands for the wanted version.
func (h *holder) get(model sillid.ModelID, version sillid.WeightVersion) ([]byte, presence, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if model == "" {
		model, version = h.model, h.version
	}
	switch {
	case h.version < version && (h.model == "" || h.model == model):
		return nil, expected, h.changed
	case h.model != model || h.version != version || h.dropped:
		return nil, absent, h.changed
	case h.data == nil:
		return nil, expected, h.changed
	}
	return h.data, present, h.changed
}

const (
	// waitSign is the time between two signs that the weights are waited for.
	waitSign = time.Second
	// waitLimit bounds the wait.
	waitLimit = 30 * time.Second
)

// SendWeights answers another agent that asks for weights, once they are here.
func (r *Runner) SendWeights(ctx context.Context, want *sillwire.FetchWeights, stream Stream) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
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
		case <-time.After(waitSign):
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

// Handler serves the engine beside the agent: GET /weights/MODEL/VERSION.
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
		// A broken download fails the engine's load.
		_, _ = w.Write(data)
	}).Methods(http.MethodGet)
	return m
}
