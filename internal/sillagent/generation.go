package sillagent

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// swapWindow bounds how long a chunk that was generated before a swap may take to
	// arrive.
	swapWindow = 200 * time.Millisecond
	// cancelLimit bounds the call that ends a generation at the engine.
	cancelLimit = 2 * time.Second
)

// generations holds the attribution trackers of the running generations, which record
// every load of weights.
type generations struct {
	mu   sync.Mutex
	open map[*sillattribution.Tracker]struct{}
}

func newGenerations() *generations {
	return &generations{open: make(map[*sillattribution.Tracker]struct{})}
}

func (g *generations) remove(b *sillattribution.Tracker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.open, b)
}

// each calls f for every open tracker.
func (g *generations) each(f func(b *sillattribution.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b := range g.open {
		f(b)
	}
}

// with calls f while no load of weights is recorded in the trackers.
func (g *generations) with(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// restarted records a restart of the engine in every open tracker, which makes its
// generation unattributable.
func (g *generations) restarted() {
	g.each(func(b *sillattribution.Tracker) { b.AddChunk(time.Time{}, sillattribution.Chunk{}) })
}

// generation is one run on an engine.
type generation struct {
	agent   *Agent
	run     *run
	tracker *sillattribution.Tracker
	began   time.Time
	tokens  int
	result  outcome
}

// generate runs a generation on the engine.
func (a *Agent) generate(ctx context.Context, n *run) outcome {
	g := &generation{agent: a, run: n, began: a.cfg.Now(), tokens: len(n.req.PrefixTokens)}
	a.generations.with(func() {
		s := a.control.snapshot()
		g.tracker = sillattribution.New(sillattribution.InitialState{
			Version:    s.version,
			Engine:     s.engine,
			Pending:    s.pending,
			SwapWindow: swapWindow,
		})
		if s.unsettled {
			g.tracker.LoadEnded(g.began, s.pending, sillattribution.LoadUnknown)
		}
		a.generations.open[g.tracker] = struct{}{}
	})
	defer a.generations.remove(g.tracker)
	if len(n.req.PrefixSpans) > 0 {
		a.generations.with(func() { g.tracker.SetPrefix(n.req.PrefixSpans) })
	}
	err := a.cfg.Engine.Generate(ctx, sillengine.Generate{
		Path:         n.req.Path,
		Body:         n.body,
		RequestID:    string(n.req.RequestID),
		Priority:     n.req.Priority,
		PrefixTokens: n.req.PrefixTokens,
		OnHeader:     func(h http.Header) { a.observeLimit(g.began, h) },
	}, g.part)
	if err != nil {
		a.stopGeneration(ctx, n)
	}
	g.close(ctx, err)
	return g.result
}

// stopGeneration cancels a generation at the engine if its caller has cancelled it.
func (a *Agent) stopGeneration(ctx context.Context, n *run) {
	if ctx.Err() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelLimit)
	defer cancel()
	// An engine that does not know the request has already finished it.
	_ = a.cfg.Engine.Cancel(ctx, string(n.req.RequestID))
}

// part records one part of the generation and appends it to the response.
func (g *generation) part(p sillengine.Part) error {
	chunk := sillattribution.Chunk{Tokens: sillid.Tokens(len(p.IDs)), Version: p.Version, Engine: p.Engine}
	now := g.agent.cfg.Now()
	if g.result.latency == 0 {
		g.result.latency = now.Sub(g.began)
	}
	g.agent.generations.with(func() { g.tracker.AddChunk(now, chunk) })
	g.tokens += len(p.IDs)
	g.result.completion += sillid.Tokens(len(p.IDs))
	g.agent.cfg.Metrics.Tokens.Add(float64(len(p.IDs)))
	if p.FinishReason != "" {
		g.result.finish.FinishReason = p.FinishReason
	}
	if p.PromptTokens > 0 {
		g.result.prompt = p.PromptTokens
		g.result.finish.PromptTokens = p.PromptTokens
	}
	if len(p.IDs) == 0 && p.Text == "" {
		return nil
	}
	return g.run.answer.append(false, &sillwire.Tokens{Text: p.Text, IDs: p.IDs, Version: p.Version})
}

// close sets the result from the error with which the stream ended.
func (g *generation) close(ctx context.Context, err error) {
	g.result.billed = g.result.completion > 0
	g.result.finish.Tokens = g.tokens
	g.attribute()
	switch {
	case err == nil:
	case ctx.Err() != nil:
		g.result.failure = g.agent.endProblem(ctx)
	case errors.Is(err, sillengine.ErrNotReached):
		g.result.failure = sillproblem.New(sillproblem.NoTarget, "the engine refuses connections")
	case errors.Is(err, sillengine.ErrRejected):
		g.result.failure = sillproblem.New(sillproblem.BadRequest, "%v", err).WithOutcome(sillproblem.Failed)
	case errors.Is(err, errAnswerTooLong):
		g.result.failure = sillproblem.New(sillproblem.TargetFailed, "%v", err).WithOutcome(sillproblem.OutcomeUnknown)
	case errors.Is(err, sillheader.ErrMalformed):
		// An engine that sends a malformed answer has not crashed.
		g.result.failure = sillproblem.New(sillproblem.TargetFailed, "the engine's answer is malformed").WithOutcome(sillproblem.OutcomeUnknown)
	default:
		g.result.brokeOff = errors.Is(err, sillengine.ErrCut) || !sillengine.Answered(err)
		g.result.failure = sillproblem.New(sillproblem.TargetFailed, "the engine's answer broke off").WithOutcome(sillproblem.OutcomeUnknown)
	}
}

// attribute ends the tracker. The spans of an interrupted generation cover the tokens
// received, so that another target can resume after them.
func (g *generation) attribute() {
	var result sillattribution.Result
	g.agent.generations.with(func() {
		g.tracker.End(sillid.Tokens(g.tokens))
		result = g.tracker.Result()
	})
	g.result.finish.Spans = result.Spans
	g.result.finish.Unattributable = string(result.Reason)
	if result.Reason != "" {
		g.agent.cfg.Metrics.Unattributable.WithLabelValues(string(result.Reason)).Inc()
	}
}
