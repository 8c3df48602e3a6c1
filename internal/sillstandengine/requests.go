package sillstandengine

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/gorilla/mux"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// kvState is what an exported KV cache holds.
type kvState struct {
	Prompt  string               `json:"prompt"`
	Seed    int64                `json:"seed"`
	Tokens  []int                `json:"tokens"`
	Model   sillid.ModelID       `json:"model"`
	Version sillid.WeightVersion `json:"version"`
}

// covers returns whether the cache belongs to the request's prompt and prefix.
func (k kvState) covers(req *generationRequest) bool {
	return k.Prompt == req.prompt && k.Seed == req.seed && len(k.Tokens) >= len(req.prefix)
}

type exportAnswer struct {
	KV            []byte               `json:"kv"`
	Tokens        []int                `json:"tokens"`
	WeightVersion sillid.WeightVersion `json:"weight_version"`
}

type importRequest struct {
	RequestID sillid.RequestID `json:"request_id"`
	KV        []byte           `json:"kv"`
}

// named returns the generation of a request id that waits or runs.
func (e *Engine) named(r *http.Request) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byID[sillid.RequestID(mux.Vars(r)["id"])]
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	g := e.named(r)
	if g == nil || !e.withdraw(g, reasonCancel) {
		refuse(w, http.StatusNotFound, "no such request waits or runs")
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	g := e.named(r)
	if g == nil {
		refuse(w, http.StatusNotFound, "no such request waits or runs")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state := kvState{
		Prompt: g.run.Prompt, Seed: g.run.Seed, Tokens: slices.Concat(g.prefix, g.run.Tokens),
		Model: e.model, Version: e.version,
	}
	kv, err := json.Marshal(state)
	if err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	sillstandin.Answer(w, http.StatusOK, exportAnswer{KV: kv, Tokens: state.Tokens, WeightVersion: e.version})
}

// serveImport keeps a KV cache for the request id; a cache of another model or
// version is refused with 409.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var req importRequest
	if err := sillstandin.Decode(r, &req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	var state kvState
	if err := json.Unmarshal(req.KV, &state); err != nil {
		refuse(w, http.StatusBadRequest, "kv: send what an export answered")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if state.Model != e.model || state.Version != e.version {
		refuse(w, http.StatusConflict, "the cache belongs to other weights")
		return
	}
	e.imported[req.RequestID] = state
	w.WriteHeader(http.StatusNoContent)
}

type recordAnswer struct {
	EngineID sillid.EngineID          `json:"engine-id"`
	Crashes  int                      `json:"crashes"`
	Counts   map[sillid.RequestID]int `json:"counts"`
	Runs     []Run                    `json:"runs"`
}

// Runs returns all runs; those of one request unless id is empty.
func (e *Engine) Runs(id sillid.RequestID) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := []Run{}
	for _, r := range e.runs {
		if id != "" && r.RequestID != id {
			continue
		}
		c := *r
		c.Tokens = slices.Clone(r.Tokens)
		c.Spans = slices.Clone(r.Spans)
		runs = append(runs, c)
	}
	return runs
}

func (e *Engine) serveRecord(w http.ResponseWriter, r *http.Request) {
	answer := recordAnswer{EngineID: e.ID(), Counts: map[sillid.RequestID]int{}}
	answer.Runs = e.Runs(sillid.RequestID(r.URL.Query().Get("request_id")))
	for _, run := range answer.Runs {
		answer.Counts[run.RequestID]++
	}
	e.mu.Lock()
	answer.Crashes = e.crashes
	e.mu.Unlock()
	sillstandin.Answer(w, http.StatusOK, answer)
}
