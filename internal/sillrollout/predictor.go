package sillrollout

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Sizes of a Predictor.
const (
	// promptWindow and modelWindow are the numbers of latest lengths kept for each
	// prompt and each model.
	promptWindow = 64
	modelWindow  = 512
	// maxPrompts is the maximum number of prompts with a window.
	maxPrompts = 4096
	// minWindowLengths is the number of lengths from which a window is used for
	// predictions.
	minWindowLengths = 3
)

// window is a ring buffer of the latest lengths, with a sorted copy made on demand.
type window struct {
	size   int
	ring   []sillid.Tokens
	next   int
	sorted []sillid.Tokens
}

func (w *window) add(length sillid.Tokens) {
	w.sorted = nil
	if len(w.ring) < w.size {
		w.ring = append(w.ring, length)
		return
	}
	w.ring[w.next] = length
	w.next = (w.next + 1) % w.size
}

func (w *window) quantile(q float64) sillid.Tokens {
	if w.sorted == nil {
		w.sorted = slices.Clone(w.ring)
		slices.Sort(w.sorted)
	}
	return w.sorted[int(q*float64(len(w.sorted)-1))]
}

// Predictor predicts the length of a generation from finished ones of the same
// prompt and, until there are enough, of the same model. It is safe for
// concurrent use.
type Predictor struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	prompts  map[uint64]*window
	models   map[sillid.ModelID]*window
	cadences map[sillid.ModelID]*cadence
	// order lists the prompts in the order in which they were first observed.
	order []uint64
}

// NewPredictor returns a predictor without history.
func NewPredictor() *Predictor {
	return &Predictor{prompts: make(map[uint64]*window), models: make(map[sillid.ModelID]*window), cadences: make(map[sillid.ModelID]*cadence)}
}

func promptHash(model sillid.ModelID, prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(model))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// Observe records the length of a finished generation.
func (p *Predictor) Observe(model sillid.ModelID, prompt string, length sillid.Tokens) {
	hash := promptHash(model, prompt)
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.prompts[hash]
	if w == nil {
		w = &window{size: promptWindow}
		p.prompts[hash] = w
		p.order = append(p.order, hash)
		p.evictOldest()
	}
	w.add(length)
	m := p.models[model]
	if m == nil {
		m = &window{size: modelWindow}
		p.models[model] = m
	}
	m.add(length)
}

func (p *Predictor) evictOldest() {
	if len(p.order) <= maxPrompts {
		return
	}
	delete(p.prompts, p.order[0])
	p.order = p.order[1:]
}

// Quantile returns the quantile q of the lengths of a prompt's generations, or of
// the model's while the prompt has fewer than minWindowLengths. It returns unknown
// while the model has fewer than minWindowLengths as well.
func (p *Predictor) Quantile(model sillid.ModelID, prompt string, q float64, unknown sillid.Tokens) sillid.Tokens {
	return p.quantile(model, promptHash(model, prompt), q, unknown)
}

// modelQuantile returns the quantile q of all lengths of a model, or unknown while
// there are fewer than minWindowLengths.
func (p *Predictor) modelQuantile(model sillid.ModelID, q float64, unknown sillid.Tokens) sillid.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.models[model]; w != nil && len(w.ring) >= minWindowLengths {
		return w.quantile(q)
	}
	return unknown
}

func (p *Predictor) quantile(model sillid.ModelID, hash uint64, q float64, unknown sillid.Tokens) sillid.Tokens {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w := p.prompts[hash]; w != nil && len(w.ring) >= minWindowLengths {
		return w.quantile(q)
	}
	if w := p.models[model]; w != nil && len(w.ring) >= minWindowLengths {
		return w.quantile(q)
	}
	return unknown
}

// observeVersion records the current version of a model's trainer.
func (p *Predictor) observeVersion(now time.Time, model sillid.ModelID, version sillid.WeightVersion) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.cadences[model]
	if c == nil {
		c = &cadence{}
		p.cadences[model] = c
	}
	c.observe(now, version)
}

// expectedChanges returns how many new versions the trainer is predicted to publish
// until a later time, and whether its latest one was published a moment ago.
func (p *Predictor) expectedChanges(now, later time.Time, model sillid.ModelID) (changes sillid.WeightVersion, justChanged bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.cadences[model]
	if c == nil {
		return 0, false
	}
	return c.expectedAt(now, later) - c.version, c.justChanged(now)
}
