package sillagent

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// outcome is the result of a run on the target.
type outcome struct {
	finish sillwire.Finish
	// status is the HTTP status of a service's response; 0 without one, and for generations.
	status int
	// whole is a response that is sent together with its last frame.
	whole []sillwire.Message
	// failure is nil if the response is complete.
	failure *sillproblem.Problem
	// prompt and completion are billed if the target did the work.
	prompt     sillid.Tokens
	completion sillid.Tokens
	billed     bool
	// brokeOff is true if the target dropped the request without a complete response.
	brokeOff bool
	// latency is the time to the first part of the response; 0 if there was none.
	latency time.Duration
}

// classes maps the classes of the wire protocol to those of the queue.
var classes = map[sillwire.Class]silllimit.Class{
	sillwire.Interactive: silllimit.Interactive,
	sillwire.Rollout:     silllimit.Rollout,
}

// entry returns the queue entry of a run.
func entry(n *run) silllimit.Entry {
	return silllimit.Entry{
		ID:                  n.key.attempt,
		Organisation:        n.req.Organisation,
		Weight:              n.req.Weight,
		Class:               classes[n.req.Class],
		Trainer:             n.req.Trainer,
		TrainerWeight:       n.req.TrainerWeight,
		Deadline:            n.deadline,
		ExpectedServiceTime: time.Duration(n.req.EstimateMillis) * time.Millisecond,
	}
}

// execute waits for a slot, runs the request and completes its response.
func (a *Agent) execute(ctx context.Context, n *run) {
	defer a.registry.end(n)
	ctx, cancel := context.WithDeadlineCause(ctx, n.deadline, context.DeadlineExceeded)
	defer cancel()
	release, p := a.cfg.Gate.Acquire(ctx, entry(n))
	if p != nil {
		a.refuse(n, p)
		return
	}
	if ctx.Err() != nil {
		release(silllimit.Result{})
		a.refuse(n, a.endProblem(ctx).WithOutcome(sillproblem.NotRun))
		return
	}
	a.registry.start(n)
	a.cfg.Metrics.Running.Inc()
	defer a.cfg.Metrics.Running.Dec()
	began := a.cfg.Now()
	result := a.runOnTarget(ctx, n)
	service := a.cfg.Now().Sub(began)
	a.control.finished(result.failure)
	a.suspect(n, &result)
	result.finish.Load = a.load()
	release(silllimit.Result{
		ServiceTime: service,
		Latency:     result.latency,
		Overloaded:  result.failure != nil && result.failure.Kind == sillproblem.Overload,
	})
	a.finish(n, result, service)
}

// suspect records which requests ran when the target crashed.
func (a *Agent) suspect(n *run, result *outcome) {
	if result.failure == nil {
		if sillcrash.ProvesHealth(result.status) {
			a.cfg.Suspects.RecordSuccess(n.req.Fingerprint)
		}
		return
	}
	if !result.brokeOff {
		return
	}
	died, first := a.control.brokeOff(n.startedAt)
	result.finish.Died = died
	if first {
		a.cfg.Log.Warn("the target broke off", zap.String("run", died))
		a.recordCrash(died)
	}
}

// recordCrash records that a run of the target crashed under the requests that it ran.
func (a *Agent) recordCrash(died string) {
	running := a.registry.running()
	a.cfg.Suspects.RecordCrash(a.cfg.Now(), a.cfg.Target, died, running)
	for _, r := range running {
		fields := a.cfg.Suspects.State(r.Fingerprint).LogFields(a.cfg.Now())
		a.cfg.Log.Warn("Target crashed under a request.", append(fields, zap.Stringer("content", r.Fingerprint), zap.String("run", died))...)
	}
}

func (a *Agent) runOnTarget(ctx context.Context, n *run) outcome {
	if a.cfg.Kind == sillbundle.ModelRoute {
		return a.generate(ctx, n)
	}
	return a.callService(ctx, n)
}

func (a *Agent) refuse(n *run, p *sillproblem.Problem) {
	a.cfg.Metrics.Refused.WithLabelValues(string(p.Kind)).Inc()
	m := refusal(p)
	m.Load = a.load()
	_ = n.answer.append(true, m)
}

// load returns the target's load as reported to gateways.
func (a *Agent) load() *sillwire.Load {
	s := a.cfg.Gate.Snapshot()
	return &sillwire.Load{Running: s.Running, Waiting: s.Waiting[silllimit.Interactive] + s.Waiting[silllimit.Rollout]}
}

// finish completes the response. A run that may run again elsewhere is billed only once
// its gateway has received the last frame: otherwise the gateway has the tokens billed
// where the run is resumed.
func (a *Agent) finish(n *run, result outcome, service time.Duration) {
	result.finish.RequestID = n.key.request
	if result.failure != nil {
		a.cfg.Metrics.Failed.WithLabelValues(string(result.failure.Kind), string(result.failure.Outcome)).Inc()
		result.finish.Problem = refusal(result.failure)
	}
	settle := func() { a.settle(n, result, service) }
	if !n.req.Idempotent || !result.billed {
		settle()
		return
	}
	if !a.registry.hold(n, a.control.gatewaysAlive(), settle) {
		settle()
	}
}

// settle meters the run and appends the last frame of its response.
func (a *Agent) settle(n *run, result outcome, service time.Duration) {
	if result.billed {
		result.finish.Usage = a.cfg.Meter(a.use(n, result, service))
	}
	if err := n.answer.append(true, append(result.whole, &result.finish)...); err != nil {
		a.cfg.Log.Error("could not encode the end of an answer", zap.Error(err))
		p := sillproblem.New(sillproblem.Internal, "the end of the answer can't be encoded").WithOutcome(sillproblem.OutcomeUnknown)
		_ = n.answer.append(true, refusal(p))
	}
}

func (a *Agent) use(n *run, result outcome, service time.Duration) Use {
	use := Use{
		EndedAt:          a.cfg.Now(),
		Organisation:     n.req.Organisation,
		Route:            n.req.Route,
		PromptTokens:     result.prompt,
		CompletionTokens: result.completion + n.req.UnbilledTokens,
		Service:          service,
	}
	if result.failure == nil {
		use.Requests = 1
	}
	return use
}

// endProblem returns the problem for which a run's context ended.
func (a *Agent) endProblem(ctx context.Context) *sillproblem.Problem {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return sillproblem.New(sillproblem.DeadlinePassed, "the deadline passed at the target").WithOutcome(sillproblem.OutcomeUnknown)
	case errors.Is(cause, errCancelled), errors.Is(cause, errAbandoned):
		return sillproblem.New(sillproblem.DeadlinePassed, "%v", cause).WithOutcome(sillproblem.OutcomeUnknown)
	}
	return sillproblem.New(sillproblem.Draining, "the agent is stopping").WithOutcome(sillproblem.OutcomeUnknown)
}
