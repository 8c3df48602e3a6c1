package sillstandengine

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Span tells the weight version of the tokens From to To-1.
type Span struct {
	// From is the position of the first token.
	From int `json:"from"`
	// To is the position after the last token.
	To int `json:"to"`
	// Version is the weight version that made the tokens.
	Version sillid.WeightVersion `json:"version"`
}

// Run is one generation in the engine's own record.
type Run struct {
	// RequestID is the request's name; requests without one have none.
	RequestID sillid.RequestID `json:"request-id"`
	// EngineID identifies the run of the engine that generated the tokens.
	EngineID sillid.EngineID `json:"engine-id"`
	// Prompt and Seed determine the tokens, with the versions.
	Prompt string `json:"prompt"`
	Seed   int64  `json:"seed"`
	// Prefix is the number of tokens that the request brought.
	Prefix int `json:"prefix"`
	// PromptTokens is the length of the prompt.
	PromptTokens int `json:"prompt-tokens"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int `json:"cached-tokens"`
	// Tokens are the tokens made here, after the prefix.
	Tokens []int `json:"tokens"`
	// Spans hold the version that generated each token.
	Spans []Span `json:"weight-spans"`
	// Start is the time of arrival, Begin that of the first step and End that
	// of the end, in Unix milliseconds; 0 if not reached.
	Start int64 `json:"start"`
	Begin int64 `json:"begin"`
	End   int64 `json:"end"`
	// Complete is whether the generation reached its end.
	Complete bool `json:"complete"`
	// AnswerLost is whether a fault of the stand-in dropped the answer.
	AnswerLost bool `json:"answer-lost"`
	// Reason is "stop", "length", "cancel", "gone" (caller left) or "crash".
	Reason string `json:"reason"`
	// Seen is the call as received.
	Seen sillstandin.Seen `json:"seen"`
}

// step is what a generation made in one step of the engine.
type step struct {
	token   int
	version sillid.WeightVersion
	// reason is set with the last token, or with none after a cancel (token -1).
	reason string
}

// generation is a request that waits or runs. Its fields are kept under the
// engine's lock, but for out.
type generation struct {
	run      *Run
	priority int
	arrival  int
	// total is the position at which the generation ends, the prefix counted.
	total   int
	natural bool
	// prefix holds the tokens that the request brought.
	prefix []int
	// prefill is the number of prompt tokens still to be read.
	prefill int
	ended   bool
	// out has room for every step, so that the loop never waits for a caller.
	out chan step
}

func (g *generation) position() int {
	return g.run.Prefix + len(g.run.Tokens)
}

// end closes the generation once.
func (g *generation) end(complete bool, reason string) {
	if g.ended {
		return
	}
	g.ended = true
	g.run.End = time.Now().UnixMilli()
	g.run.Complete = complete
	g.run.Reason = reason
	if !complete {
		g.out <- step{token: noToken, reason: reason}
	}
	close(g.out)
}

const noToken = -1

// submit queues a generation and records it.
func (e *Engine) submit(req *generationRequest, seen sillstandin.Seen, answerLost bool) *generation {
	e.mu.Lock()
	defer e.mu.Unlock()
	natural := StopLength(req.prompt, req.seed)
	total := min(natural, req.maxTokens)
	run := &Run{
		RequestID: req.id, EngineID: e.id, Prompt: req.prompt, Seed: req.seed,
		Prefix: len(req.prefix), PromptTokens: PromptTokens(req.prompt),
		Tokens: []int{}, Spans: []Span{}, Start: seen.At, Seen: seen, AnswerLost: answerLost,
	}
	g := &generation{
		run: run, priority: req.priority, arrival: e.arrivals, total: total,
		natural: natural <= req.maxTokens, prefix: req.prefix,
		out: make(chan step, max(0, total-len(req.prefix))+2),
	}
	e.arrivals++
	e.runs = append(e.runs, run)
	run.CachedTokens = e.cache.lookup(req.prompt)
	if kv, ok := e.imported[req.id]; ok && kv.covers(req) {
		run.CachedTokens = run.PromptTokens
		delete(e.imported, req.id)
	}
	g.prefill = run.PromptTokens + run.Prefix - run.CachedTokens
	if g.position() >= g.total {
		g.finish()
		return g
	}
	e.waiting = append(e.waiting, g)
	if req.id != "" {
		e.byID[req.id] = g
	}
	e.signal()
	return g
}

// finish ends a generation that reached its total length.
func (g *generation) finish() {
	reason := reasonLength
	if g.natural {
		reason = reasonStop
	}
	g.out <- step{token: noToken, reason: reason}
	g.end(true, reason)
}

const (
	reasonStop   = "stop"
	reasonLength = "length"
	reasonCancel = "cancel"
	reasonGone   = "gone"
)

func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// withdraw ends a generation early; it reports false if it had ended.
func (e *Engine) withdraw(g *generation, reason string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if g.ended {
		return false
	}
	g.end(false, reason)
	e.drop()
	return true
}

// drop forgets generations that ended.
func (e *Engine) drop() {
	e.waiting = live(e.waiting)
	e.running = live(e.running)
	for id, g := range e.byID {
		if g.ended {
			delete(e.byID, id)
		}
	}
}

func live(all []*generation) []*generation {
	var kept []*generation
	for _, g := range all {
		if !g.ended {
			kept = append(kept, g)
		}
	}
	return kept
}

// loop runs the steps of the engine.
func (e *Engine) loop(ctx context.Context) {
	for {
		d := e.admit()
		if d == 0 {
			select {
			case <-ctx.Done():
				e.stopAll()
				return
			case <-e.wake:
			}
			continue
		}
		t := time.NewTimer(d)
		select {
		case <-ctx.Done():
			t.Stop()
			e.stopAll()
			return
		case <-t.C:
		}
		e.advance()
	}
}

func (e *Engine) stopAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range slices.Concat(e.waiting, e.running) {
		g.end(false, "closed")
	}
	e.drop()
}

// admit fills the free slots, lowest priority number first, and returns the
// duration of the next step; 0 if nothing runs.
func (e *Engine) admit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	sort.SliceStable(e.waiting, func(i, j int) bool {
		a, b := e.waiting[i], e.waiting[j]
		if a.priority != b.priority {
			return a.priority < b.priority
		}
		return a.arrival < b.arrival
	})
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Slots {
		g := e.waiting[0]
		e.waiting = e.waiting[1:]
		g.run.Begin = time.Now().UnixMilli()
		e.running = append(e.running, g)
	}
	e.load.add(e.loadNow(time.Now()))
	if len(e.running) == 0 {
		return 0
	}
	return e.stepTime(len(e.running))
}

// stepTime is the duration of a step with n running generations.
func (e *Engine) stepTime(n int) time.Duration {
	alone := float64(time.Second) / e.cfg.TokensPerSecond
	return time.Duration(alone * (1 + e.cfg.Slowdown*float64(n-1)))
}

// advance gives each running generation one token, or reads more of its prompt.
func (e *Engine) advance() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, g := range e.running {
		if g.prefill > e.cfg.PrefillPerStep {
			g.prefill -= e.cfg.PrefillPerStep
			continue
		}
		if g.prefill > 0 {
			e.cache.store(g.run.Prompt, time.Now())
		}
		g.prefill = 0
		e.emit(g)
	}
	e.drop()
}

// emit makes the next token with the present weight version.
func (e *Engine) emit(g *generation) {
	at := g.position()
	token := TokenAt(g.run.Prompt, g.run.Seed, at, e.version)
	g.run.Tokens = append(g.run.Tokens, token)
	g.run.Spans = extend(g.run.Spans, at, e.version)
	g.out <- step{token: token, version: e.version}
	if g.position() >= g.total {
		g.finish()
	}
}

// extend adds the token at position at to the spans.
func extend(spans []Span, at int, version sillid.WeightVersion) []Span {
	if n := len(spans); n > 0 && spans[n-1].Version == version && spans[n-1].To == at {
		spans[n-1].To++
		return spans
	}
	return append(spans, Span{From: at, To: at + 1, Version: version})
}
