package sillgateway

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillidempotency"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// settleLimit bounds the write that settles a claim after its request ended.
const settleLimit = 5 * time.Second

// onceRequest is a request that carries an idempotency key and must not run
// twice. The key is claimed before any target gets the request.
type onceRequest struct {
	keeper *sillidempotency.Keeper
	key    string
	call   *call
	// claim is nil until this request holds the key.
	claim *sillidempotency.Claim
	// kept is the answer of an earlier request with the key, or nil.
	kept *sillidempotency.Response
}

// bind claims the key for an attempt, or moves the claim to it.
func (o *onceRequest) bind(ctx context.Context, p silldispatch.Place) *sillproblem.Problem {
	place := sillidempotency.Place{Attempt: p.Attempt, Target: p.Target, Agent: p.Agent}
	if o.claim != nil {
		return o.claim.Move(ctx, place)
	}
	claim, kept, problem := o.keeper.Claim(ctx, sillidempotency.Request{
		Organisation: o.call.request.Organisation,
		Key:          o.key,
		Fingerprint:  o.fingerprint(),
		Place:        place,
	})
	if problem != nil {
		return problem
	}
	if kept != nil {
		o.kept = kept
		return sillproblem.New(sillproblem.Duplicate, "the request ran before")
	}
	o.claim = claim
	return nil
}

// fingerprint identifies the content of the request. It is kept with the key, so it stays
// the same from build to build.
func (o *onceRequest) fingerprint() string {
	r := o.call.request
	return sillcrash.NewFingerprint(r.Organisation, r.Method, r.Path, r.Body).String()
}

// answerOnce answers a request that carries an idempotency key.
func (g *Gateway) answerOnce(ctx context.Context, c *call, key string) {
	o := &onceRequest{keeper: g.cfg.Repeat, key: key, call: c}
	c.request.Bind = o.bind
	out := &plainWriter{w: c.w, id: c.request.ID, keep: &keptAnswer{}}
	_, p := g.cfg.Dispatch.Do(ctx, c.request, out.sink())
	if o.kept != nil {
		g.cfg.Metrics.Replayed.Inc()
		writeKept(c.w, o.kept)
		return
	}
	g.observe(c, p)
	if o.claim != nil {
		settle(ctx, o.claim, out.keep, p)
	}
	if p != nil {
		out.fail(p)
	}
}

// settle records what became of the request, also if its caller has left.
func settle(ctx context.Context, claim *sillidempotency.Claim, keep *keptAnswer, p *sillproblem.Problem) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), settleLimit)
	defer cancel()
	switch {
	case p == nil && !keep.overflow:
		claim.Finish(ctx, keep.Response)
	case p != nil && p.Outcome == sillproblem.NotRun:
		claim.Release(ctx)
	default:
		claim.MarkUnknown(ctx)
	}
}
