// Package sillstandscorer stands in for a service that scores samples.
package sillstandscorer

import (
	"hash/fnv"
	"net/http"
	"sync"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// areaScore is the area of the scoring call.
const areaScore = "score"

// Config holds what a scorer needs. The zero Config is usable.
type Config struct {
	// Seed seeds the faults.
	Seed uint64
}

// Scorer is an http.Handler that scores samples. The score is a function of
// the model, the prompt and the text alone.
type Scorer struct {
	// Panel sets the faults.
	Panel *sillstandin.Panel

	router *sillstandin.Router
	mu     sync.Mutex
	runs   []Run
}

// Run is one scored sample.
type Run struct {
	// SampleID names the sample.
	SampleID sillid.SampleID `json:"sample-id"`
	// Score is the score given, from 0 to 1.
	Score float64 `json:"score"`
	// Seen is the call as received.
	Seen sillstandin.Seen `json:"seen"`
}

// New returns a scorer.
func New(cfg Config) *Scorer {
	s := &Scorer{}
	s.Panel = sillstandin.NewPanel(sillstandin.PanelConfig{Areas: []string{areaScore}, Seed: cfg.Seed})
	s.router = sillstandin.NewRouter(s.Panel)
	s.router.Handle(areaScore, http.MethodPost, "/score", s.score)
	s.router.HandleControl(http.MethodGet, "/standin/record", s.record)
	return s
}

// ServeHTTP answers one call.
func (s *Scorer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// scoreSteps is the number of different scores.
const scoreSteps = 1000

// Score returns the score that the scorer gives.
func Score(model, prompt, text string) float64 {
	h := fnv.New64a()
	for _, part := range []string{model, prompt, text} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	return float64(h.Sum64()%scoreSteps) / scoreSteps
}

type scoreRequest struct {
	SampleID sillid.SampleID `json:"sample-id"`
	Model    string          `json:"model"`
	Prompt   string          `json:"prompt"`
	Text     string          `json:"text"`
}

type scoreAnswer struct {
	Score float64 `json:"score"`
}

func (s *Scorer) score(w http.ResponseWriter, r *http.Request) {
	seen, err := sillstandin.See(r)
	if err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	var req scoreRequest
	if err := sillstandin.Decode(r, &req); err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	score := Score(req.Model, req.Prompt, req.Text)
	s.mu.Lock()
	s.runs = append(s.runs, Run{SampleID: req.SampleID, Score: score, Seen: seen})
	s.mu.Unlock()
	sillstandin.Answer(w, http.StatusOK, scoreAnswer{Score: score})
}

type recordAnswer struct {
	Runs []Run `json:"runs"`
}

// Runs returns all scored samples.
func (s *Scorer) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run{}, s.runs...)
}

func (s *Scorer) record(w http.ResponseWriter, _ *http.Request) {
	sillstandin.Answer(w, http.StatusOK, recordAnswer{Runs: s.Runs()})
}
