package sillagent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// swapWindow bounds how long a chunk from before a swap may be under way
	// on the instance.
	swapWindow = 200 * time.Millisecond
	// cancelLimit bounds the call that ends a generation at the engine.
	cancelLimit = 2 * time.Second
)

// generations are the brackets of the generations that run. A load of weights
// is told to all of them.
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

// each calls f for every open bracket.
func (g *generations) each(f func(b *sillattribution.Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for b := range g.open {
		f(b)
	}
}

// with calls f while no load of weights is told to the brackets.
func (g *generations) with(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f()
}

// restarted fails every open bracket: the engine runs anew.
func (g *generations) restarted() {
	g.each(func(b *sillattribution.Tracker) { b.AddChunk(time.Time{}, sillattribution.Chunk{}) })
}

// generation is one run on an engine.
type generation struct {
	agent   *Agent
	run     *run
	bracket *sillattribution.Tracker
	began   time.Time
	tokens  int
	result  outcome
}

// generate runs a generation on the engine.
func (a *Agent) generate(ctx context.Context, n *run) outcome {
	g := &generation{agent: a, run: n, began: a.cfg.Now(), tokens: len(n.req.PrefixTokens)}
	a.generations.with(func() {
		s := a.control.snapshot()
		g.bracket = sillattribution.New(sillattribution.InitialState{
			Version:    s.version,
			Engine:     s.engine,
			Pending:    s.pending,
			SwapWindow: swapWindow,
		})
		if s.unsettled {
			g.bracket.LoadEnded(g.began, s.pending, sillattribution.LoadUnknown)
		}
		a.generations.open[g.bracket] = struct{}{}
	})
	defer a.generations.remove(g.bracket)
	if len(n.req.PrefixSpans) > 0 {
		a.generations.with(func() { g.bracket.SetPrefix(n.req.PrefixSpans) })
	}
	err := a.cfg.Engine.Generate(ctx, sillengine.Generate{
		Path:         n.req.Path,
		Body:         n.body,
		RequestID:    string(n.req.RequestID),
		Priority:     n.req.Priority,
		PrefixTokens: n.req.PrefixTokens,
	}, g.part)
	if err != nil {
		a.stopGeneration(ctx, n)
	}
	g.close(ctx, err)
	return g.result
}

// stopGeneration ends a generation at the engine if its caller gave it up.
func (a *Agent) stopGeneration(ctx context.Context, n *run) {
	if ctx.Err() == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelLimit)
	defer cancel()
	// An engine that does not know the request has ended it already.
	_ = a.cfg.Engine.Cancel(ctx, string(n.req.RequestID))
}

// part takes one part of the generation in and passes it on.
func (g *generation) part(p sillengine.Part) error {
	chunk := sillattribution.Chunk{Tokens: sillid.Tokens(len(p.IDs)), Version: p.Version, Engine: p.Engine}
	now := g.agent.cfg.Now()
	if g.result.latency == 0 {
		g.result.latency = now.Sub(g.began)
	}
	g.agent.generations.with(func() { g.bracket.AddChunk(now, chunk) })
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

// close works out the outcome from the way the stream ended.
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
	default:
		g.result.brokeOff = errors.Is(err, sillengine.ErrCut) || !sillengine.Answered(err)
		g.result.failure = sillproblem.New(sillproblem.TargetFailed, "the engine's answer broke off").WithOutcome(sillproblem.OutcomeUnknown)
	}
}

// attribute closes the bracket. Spans of a broken generation stand for the
// tokens that came, so that another target can go on after them.
func (g *generation) attribute() {
	var result sillattribution.Result
	g.agent.generations.with(func() {
		g.bracket.End(sillid.Tokens(g.tokens))
		result = g.bracket.Result()
	})
	g.result.finish.Spans = result.Spans
	g.result.finish.Unattributable = string(result.Reason)
	if result.Reason != "" {
		g.agent.cfg.Metrics.Unattributable.WithLabelValues(string(result.Reason)).Inc()
	}
}
