package sillstandengine

import (
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Load is the state of the engine at one time.
type Load struct {
	// EngineID identifies the run of the engine.
	EngineID sillid.EngineID `json:"engine-id"`
	// Model and Version tell the loaded weights.
	Model   sillid.ModelID       `json:"model"`
	Version sillid.WeightVersion `json:"version"`
	// Running and Waiting count generations.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// KVUsed and KVCapacity count blocks of the prefix cache.
	KVUsed     int `json:"kv-used"`
	KVCapacity int `json:"kv-capacity"`
	// TokensPerSecond is the present speed of the whole engine.
	TokensPerSecond float64 `json:"tokens-per-second"`
	// AsOf is the time of the state in Unix milliseconds.
	AsOf int64 `json:"as-of"`
}

// loadNow returns the present state; the caller holds mu.
func (e *Engine) loadNow(now time.Time) Load {
	speed := 0.0
	if n := len(e.running); n > 0 {
		speed = float64(n) / e.stepTime(n).Seconds()
	}
	return Load{
		EngineID: e.id, Model: e.model, Version: e.version,
		Running: len(e.running), Waiting: len(e.waiting),
		KVUsed: e.cache.order.Len(), KVCapacity: e.cfg.CacheBlocks,
		TokensPerSecond: speed, AsOf: now.UnixMilli(),
	}
}

// loadHistory keeps states by time, so that a lagging one can be told.
type loadHistory struct {
	states []Load
}

const (
	// historySpacing is the least time between two kept states.
	historySpacing = 20 * time.Millisecond
	// maxStates bounds the kept states.
	maxStates = 4096
)

func (h *loadHistory) add(l Load) {
	n := len(h.states)
	if n > 1 && l.AsOf-h.states[n-2].AsOf < historySpacing.Milliseconds() {
		h.states[n-1] = l
		return
	}
	h.states = append(h.states, l)
	if len(h.states) > maxStates {
		h.states = append([]Load{}, h.states[len(h.states)-maxStates:]...)
	}
}

// at returns the last state not after the time; the first one if there is none.
// An unchanged state holds until the next one, so it is told as of that time.
func (h *loadHistory) at(t time.Time) Load {
	found := h.states[0]
	for _, l := range h.states {
		if l.AsOf > t.UnixMilli() {
			break
		}
		found = l
	}
	found.AsOf = t.UnixMilli()
	return found
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	late := time.Duration(e.Panel.Get(areaLoad).LateMS) * time.Millisecond
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.load.add(e.loadNow(now))
	sillstandin.Answer(w, http.StatusOK, e.load.at(now.Add(-e.cfg.LoadLag-late)))
}
