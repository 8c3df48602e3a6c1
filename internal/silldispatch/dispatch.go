package silldispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillretry"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Metrics are the dispatcher's counters.
type Metrics struct {
	// Retried counts attempts after the first, by the kind of the last problem.
	Retried *prometheus.CounterVec
	// GaveUp counts attempts that no other followed, by the kind of their problem
	// and the reason.
	GaveUp *prometheus.CounterVec
	// Attached counts answers that were asked for again after a lost connection.
	Attached prometheus.Counter
	// Resumed counts generations that went on at another target.
	Resumed prometheus.Counter
	// Awaited counts requests that waited for their pool to get a target.
	Awaited prometheus.Counter
}

// NewMetrics registers the dispatcher's counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Retried:  sillmetric.CounterVec("wasabisill_gateway_retries_total", "Attempts at another target, by the kind of the problem before and the reason to try again.", "kind", "reason"),
		GaveUp:   sillmetric.CounterVec("wasabisill_gateway_retries_denied_total", "Failed attempts that no other followed, by the kind of their problem and the reason.", "kind", "reason"),
		Attached: sillmetric.Counter("wasabisill_gateway_attached_total", "Answers that were asked for again after a lost connection."),
		Awaited:  sillmetric.Counter("wasabisill_gateway_awaited_total", "Requests that waited for their pool to get a target."),
		Resumed:  sillmetric.Counter("wasabisill_gateway_resumed_total", "Generations that went on at another target."),
	}
	r.MustRegister(m.Retried, m.GaveUp, m.Attached, m.Resumed, m.Awaited)
	return m
}

// Config holds what a dispatcher needs.
type Config struct {
	// Choose returns a way to a target of the request's pool, or false.
	Choose func(now time.Time, r *Request, exclude []sillid.TargetID) (Route, bool)
	// OnUsage is told of each record of use that an agent sends. It must not block.
	OnUsage func(record *sillwire.UsageRecord)
	// Group runs what outlives its request.
	Group *sillgroup.Group
	// TargetWait bounds the wait for a pool without any target to get one; 0
	// refuses at once.
	TargetWait time.Duration
	// Policy decides about retries.
	Policy sillretry.Policy
	// Suspects knows the requests that crash their targets.
	Suspects *sillcrash.SharedTracker
	// OnDeath is told that the suspects have news for other processes. It must
	// not block.
	OnDeath func()
	Metrics *Metrics
	Now     func() time.Time
}

// Dispatcher runs requests. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	budgets *sillretry.Budgets
	// lingering counts the runs whose end is awaited although nobody waits for their
	// responses.
	lingering atomic.Int64
}

// New returns a dispatcher.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{cfg: cfg, budgets: sillretry.NewBudgets()}
}

// noTargetRetry is the retry delay of a request for which no target is reachable.
const noTargetRetry = time.Second

// Do runs a request until its response is complete or no further attempt is made. The
// context ends when the caller disconnects; its cause may be a *sillproblem.Problem. If
// a problem is returned, the answer is that of the last target, or nil.
func (d *Dispatcher) Do(ctx context.Context, r *Request, sink Sink) (*Answer, *sillproblem.Problem) {
	ctx, cancel := context.WithTimeout(ctx, r.Deadline.Sub(d.cfg.Now()))
	defer cancel()
	t := &dispatchState{request: r, out: newOutput(r, sink), budget: d.budgets.Of(r.Organisation, r.Pool)}
	for {
		if p := d.cfg.Suspects.Check(r.Fingerprint); p != nil && !r.Class.Owed() {
			return nil, t.refuse(p)
		}
		route, ok := d.await(ctx, t)
		if !ok {
			return nil, t.refuse(noTarget())
		}
		t.tried = append(t.tried, route.Choice.Target)
		res := d.attempt(ctx, t, route)
		answer := &Answer{Finish: res.finish, Target: route.Choice.Target, Attempts: len(t.tried)}
		if res.problem == nil && res.sinkErr == nil {
			t.budget.RecordSuccess()
			if sillcrash.ProvesHealth(t.out.status) {
				d.cfg.Suspects.RecordSuccess(r.Fingerprint)
			}
			return answer, nil
		}
		if p := d.next(ctx, t, res); p != nil {
			return answer, p
		}
	}
}

// dispatchState is the state of a request between its attempts.
type dispatchState struct {
	request *Request
	out     *output
	budget  *sillretry.Budget
	tried   []sillid.TargetID
	// reached is true once a target may have received a byte of the request.
	reached bool
	// last is the problem of the last attempt; nil before.
	last *sillproblem.Problem
}

// refuse returns the problem of a request that gets no further attempt. The problem of
// an earlier attempt takes precedence over a missing target, and its outcome is kept.
func (t *dispatchState) refuse(p *sillproblem.Problem) *sillproblem.Problem {
	if t.last != nil && p.Kind == sillproblem.NoTarget {
		return t.last
	}
	if t.reached {
		return p.WithOutcome(sillproblem.OutcomeUnknown)
	}
	return p
}

// next decides whether an incomplete attempt is retried. It returns the caller's
// problem, or nil once the delay before the next attempt has passed.
func (d *Dispatcher) next(ctx context.Context, t *dispatchState, res result) *sillproblem.Problem {
	if res.sinkErr != nil {
		return sillproblem.New(sillproblem.DeadlinePassed, "the caller left").WithOutcome(sillproblem.OutcomeUnknown)
	}
	if res.final || t.request.stopped() || ctx.Err() != nil {
		return t.end(res.problem)
	}
	given := t.out.given
	decision := d.cfg.Policy.Decide(d.cfg.Now(), t.failure(res), t.budget)
	if decision.Action != sillretry.RetryElsewhere {
		d.cfg.Metrics.GaveUp.WithLabelValues(string(res.problem.Kind), string(decision.Reason)).Inc()
		return decision.Problem
	}
	if res.finish == nil || res.finish.Usage == nil {
		t.request.UnbilledTokens += sillid.Tokens(res.tokens)
	}
	if !t.out.resume(t.request, res.finish) {
		return t.end(res.problem)
	}
	if given && t.out.given {
		d.cfg.Metrics.Resumed.Inc()
	}
	d.cfg.Metrics.Retried.WithLabelValues(string(res.problem.Kind), string(decision.Reason)).Inc()
	t.reached = t.reached || res.problem.Outcome != sillproblem.NotRun
	t.last = t.end(res.problem)
	select {
	case <-ctx.Done():
		return t.last
	case <-time.After(decision.Wait):
		return nil
	}
}

// failure describes a failed attempt to the retry policy. If its connection was lost,
// follow has already asked the agent for the rest of the response.
func (t *dispatchState) failure(res result) sillretry.Failure {
	return sillretry.Failure{
		Problem:               res.problem,
		Idempotent:            t.request.Idempotent,
		MayHaveReached:        res.problem.Outcome != sillproblem.NotRun,
		EarlierMayHaveReached: t.reached,
		LookedUp:              true,
		ResponseStarted:       t.out.given && t.request.Model == "",
		Attempts:              len(t.tried),
		Deadline:              t.request.Deadline,
		Jitter:                rand.Float64(),
	}
}

// end returns the problem with the outcome of all attempts.
func (t *dispatchState) end(p *sillproblem.Problem) *sillproblem.Problem {
	if !t.reached || p.Outcome != sillproblem.NotRun {
		return p
	}
	q := *p
	q.Outcome = sillproblem.OutcomeUnknown
	return &q
}

// awaitPoll is the time between two checks for a target.
const awaitPoll = 20 * time.Millisecond

// await chooses a target. If there is none for the first attempt, as right after the
// gateway has started, it polls for up to TargetWait.
func (d *Dispatcher) await(ctx context.Context, t *dispatchState) (Route, bool) {
	route, ok := d.choose(t.request, t.tried)
	if ok || len(t.tried) > 0 || d.cfg.TargetWait == 0 {
		return route, ok
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.TargetWait)
	defer cancel()
	tick := time.NewTicker(awaitPoll)
	defer tick.Stop()
	for !ok {
		select {
		case <-ctx.Done():
			return Route{}, false
		case <-tick.C:
			route, ok = d.choose(t.request, t.tried)
		}
	}
	d.cfg.Metrics.Awaited.Inc()
	return route, true
}

// choose chooses a target. As long as there are others, it excludes the targets that the
// request avoids and those that crashed while they ran it: a second crash of a target
// that may be faulty itself is weak evidence against the request.
func (d *Dispatcher) choose(r *Request, tried []sillid.TargetID) (Route, bool) {
	now := d.cfg.Now()
	exclude := slices.Concat(tried, r.Avoid, d.cfg.Suspects.CrashedTargets(r.Fingerprint))
	route, ok := d.cfg.Choose(now, r, exclude)
	if !ok && len(exclude) > len(tried) {
		return d.cfg.Choose(now, r, tried)
	}
	return route, ok
}

func (d *Dispatcher) attempt(ctx context.Context, t *dispatchState, route Route) result {
	a := &attempt{
		id:     sillid.NewAttemptID(t.request.ID, len(t.tried)),
		target: route.Choice.Target,
		link:   route.Link,
		agent:  route.Link.Agent(),
	}
	a.began = d.cfg.Now()
	res := d.try(ctx, t.request, a, t.out)
	res.tokens = a.tokens
	var latency time.Duration
	if !a.firstAt.IsZero() {
		latency = a.firstAt.Sub(a.began)
	}
	if res.problem != nil && res.problem.Kind == sillproblem.Draining {
		route.Link.HeartbeatNow()
	}
	if res.problem != nil && res.problem.AtLimit {
		route.Choice.ObserveLimit(d.cfg.Now(), res.problem.RetryAfter)
	}
	if res.load != nil {
		route.Choice.ObserveLoad(res.load.Running, res.load.Waiting)
	}
	route.Choice.Done(d.cfg.Now(), outcomeOf(res), latency)
	return res
}

// outcomeOf returns what a result says about the health of its target.
func outcomeOf(res result) sillroute.Outcome {
	switch {
	case res.sinkErr != nil:
		return sillroute.Inconclusive
	case res.problem == nil:
		return sillroute.Succeeded
	case res.problem.Kind == sillproblem.Overload:
		return sillroute.Overloaded
	case res.problem.Kind == sillproblem.NoTarget, res.problem.Kind == sillproblem.TargetFailed, res.problem.Kind == sillproblem.ConnectionSilent:
		return sillroute.TargetFault
	}
	return sillroute.Inconclusive
}

// noTarget returns the problem of a request for which no target is reachable.
func noTarget() *sillproblem.Problem {
	return sillproblem.New(sillproblem.NoTarget, "the route has no target that takes work").WithRetryAfter(noTargetRetry)
}
