package silldispatch

import (
	"context"
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// attachLimit bounds the wait for the agent's connection to be restored while an
	// idempotent request, which another target could run, has no complete response.
	attachLimit = 500 * time.Millisecond
	// attachLimitOnce is the same bound for a request that must not run again.
	attachLimitOnce = 2 * sillwire.SilenceLimit
)

// attempt is one try of a request at one target.
type attempt struct {
	id     sillid.AttemptID
	target sillid.TargetID
	link   Link
	// agent is the run of the agent that received the request.
	agent sillid.AgentID
	// frames counts the received answer frames.
	frames int
	// bytes counts the received bytes of a plain answer, tokens the received
	// tokens of a generation.
	bytes  int64
	tokens int
	// began is when the request was sent.
	began time.Time
	// firstAt is when the first frame was received; zero before.
	firstAt time.Time
}

// result is the result of an attempt.
type result struct {
	// finish is the last frame; nil if the agent sent none.
	finish *sillwire.Finish
	// problem is nil if the response is complete.
	problem *sillproblem.Problem
	// sinkErr is the error of the caller's sink; nil if it accepted the response.
	sinkErr error
	// tokens counts the tokens that the attempt generated.
	tokens int
	// unread is true if the agent has more frames to send.
	unread bool
	// load is the load of the target; nil if the agent did not report it.
	load *sillwire.Load
	// final is true if no other target may be tried.
	final bool
}

// try sends the request to a target and receives the response.
func (d *Dispatcher) try(ctx context.Context, r *Request, a *attempt, out *output) result {
	run := r.run(a.id, d.cfg.Now())
	run.Target = a.target
	run.Agent = a.agent
	if run.TimeoutMillis <= 0 {
		return result{problem: sillproblem.New(sillproblem.DeadlinePassed, "the deadline passed before a target was found")}
	}
	if r.Bind != nil {
		if p := r.Bind(ctx, Place{Attempt: a.id, Target: a.target, Agent: a.agent}); p != nil {
			return result{problem: p, final: true}
		}
	}
	x, err := a.link.Run(ctx, run, r.Body)
	if errors.Is(err, silllink.ErrNotConnected) {
		return result{problem: sillproblem.New(sillproblem.NoTarget, "the agent is not connected")}
	}
	if errors.Is(err, silllink.ErrDraining) {
		return result{problem: sillproblem.New(sillproblem.Draining, "the target is being drained")}
	}
	if err != nil {
		return d.follow(ctx, r, a, failedExchange(err), out)
	}
	return d.follow(ctx, r, a, x, out)
}

// failedExchange returns an exchange that failed before its first frame.
func failedExchange(err error) Exchange {
	return Exchange{
		Next:   func() (sillwire.Message, error) { return nil, err },
		Linger: func(time.Duration) *sillwire.Finish { return nil },
		Stop:   func() {},
		Finish: func() {},
	}
}

// lingerLimit bounds the wait for the end of a response whose caller has disconnected.
const lingerLimit = 2 * time.Second

// linger records the usage of a run whose caller has disconnected, in the background.
func (d *Dispatcher) linger(x Exchange) {
	d.lingering.Add(1)
	d.cfg.Group.Go(func(context.Context) {
		defer d.lingering.Add(-1)
		if f := x.Linger(lingerLimit); f != nil && f.Usage != nil {
			d.cfg.OnUsage(f.Usage)
		}
	})
}

// lingerPoll is the time between two checks of AwaitLingering.
const lingerPoll = 10 * time.Millisecond

// AwaitLingering waits until the agents have told the ends of the runs whose callers have
// disconnected, or ctx ends.
func (d *Dispatcher) AwaitLingering(ctx context.Context) {
	tick := time.NewTicker(lingerPoll)
	defer tick.Stop()
	for d.lingering.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// follow receives the frames of a response. If a connection is lost, it asks the agent
// for the rest of the response over a new one.
func (d *Dispatcher) follow(ctx context.Context, r *Request, a *attempt, x Exchange, out *output) result {
	unwatch := watchStop(ctx, r, x)
	defer func() { unwatch() }()
	for {
		m, err := x.Next()
		if err != nil && ctx.Err() != nil {
			d.linger(x)
			return result{problem: contextProblem(ctx)}
		}
		if err != nil {
			x.Finish()
			d.cfg.Metrics.Attached.Inc()
			if x, err = d.reattach(ctx, r, a); err != nil {
				d.recordCrash(r, a, string(a.agent))
				return result{problem: sillproblem.New(sillproblem.ConnectionSilent, "the agent of %s did not come back", a.target).WithOutcome(sillproblem.OutcomeUnknown)}
			}
			unwatch()
			unwatch = watchStop(ctx, r, x)
			continue
		}
		a.frames++
		if a.frames == 1 {
			a.firstAt = d.cfg.Now()
		}
		done, res := d.handleFrame(r, a, m, out)
		if !done {
			continue
		}
		if res.unread {
			x.Stop()
			d.linger(x)
			return res
		}
		x.Finish()
		return res
	}
}

// watchStop stops the run at the agent once the request's Stop channel is closed, until
// the returned function is called.
func watchStop(ctx context.Context, r *Request, x Exchange) func() {
	if r.Stop == nil {
		return func() {}
	}
	g := sillgroup.New(ctx)
	g.Go(func(ctx context.Context) {
		select {
		case <-ctx.Done():
		case <-r.Stop:
			x.Stop()
		}
	})
	return g.Stop
}

// handleFrame handles one frame and reports whether it was the last.
func (d *Dispatcher) handleFrame(r *Request, a *attempt, m sillwire.Message, out *output) (bool, result) {
	var err error
	switch m := m.(type) {
	case *sillwire.Refuse:
		return true, result{problem: fromRefuse(m), load: m.Load}
	case *sillwire.Head:
		if malformed := checkHead(m); malformed != nil {
			return true, result{problem: malformed, unread: true}
		}
		err = out.head(m)
	case *sillwire.Chunk:
		a.bytes += int64(len(m.Data))
		err = out.chunk(m)
	case *sillwire.Tokens:
		a.tokens += len(m.IDs)
		err = out.tokens(m)
	case *sillwire.Finish:
		return true, d.finish(r, a, m, out)
	default:
		return true, result{problem: sillproblem.New(sillproblem.Internal, "unexpected %T in an answer", m).WithOutcome(sillproblem.OutcomeUnknown)}
	}
	if err != nil {
		return true, result{sinkErr: err, unread: true}
	}
	return false, result{}
}

// checkHead returns the problem of a head that no response has. Agents of earlier builds pass
// such heads on.
func checkHead(m *sillwire.Head) *sillproblem.Problem {
	err := sillheader.CheckStatus(m.Status)
	for i := 0; err == nil && i < len(m.Header); i++ {
		err = sillheader.CheckField(m.Header[i].Name, m.Header[i].Value)
	}
	if err != nil {
		return sillproblem.New(sillproblem.TargetFailed, "%v", err).WithOutcome(sillproblem.OutcomeUnknown)
	}
	return nil
}

// finish checks that the response is complete and belongs to this request.
func (d *Dispatcher) finish(r *Request, a *attempt, m *sillwire.Finish, out *output) result {
	res := result{finish: m, load: m.Load}
	if m.Usage != nil {
		d.cfg.OnUsage(m.Usage)
	}
	if m.Died != "" {
		d.recordCrash(r, a, m.Died)
	}
	switch {
	case m.Problem != nil:
		res.problem = fromRefuse(m.Problem)
	case m.RequestID != r.ID:
		res.problem = sillproblem.New(sillproblem.TargetFailed, "the answer of another request came").WithOutcome(sillproblem.OutcomeUnknown)
	case m.Bytes != a.bytes || m.Tokens != out.tokenCount():
		res.problem = sillproblem.New(sillproblem.TargetFailed, "a part of the answer is missing").WithOutcome(sillproblem.OutcomeUnknown)
	}
	if res.problem != nil && m.RequestID != r.ID {
		res.finish = nil
	}
	return res
}

// recordCrash records that a run of the target ended while it ran the request.
func (d *Dispatcher) recordCrash(r *Request, a *attempt, run string) {
	if !r.Class.Owed() {
		d.cfg.Suspects.RecordCrash(d.cfg.Now(), a.target, run, []sillcrash.RunningRequest{{Fingerprint: r.Fingerprint, Started: a.began}})
	}
	d.cfg.OnDeath()
}

// reattach waits for a connection to the agent and asks it for the rest of the response.
func (d *Dispatcher) reattach(ctx context.Context, r *Request, a *attempt) (Exchange, error) {
	limit := attachLimitOnce
	if r.Idempotent {
		limit = attachLimit
	}
	wait, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	m := &sillwire.Attach{RequestID: r.ID, Attempt: a.id, From: a.frames, Agent: a.agent}
	var x Exchange
	var err error
	for wait.Err() == nil {
		// The exchange outlives the wait, so it belongs to the request's context.
		x, err = d.attachOnce(ctx, wait, a, m)
		if err == nil {
			return x, nil
		}
	}
	return Exchange{}, errors.Join(err, wait.Err())
}

// attachOnce tries to reattach until wait ends. The exchange it returns ends with ctx.
func (d *Dispatcher) attachOnce(ctx, wait context.Context, a *attempt, m *sillwire.Attach) (Exchange, error) {
	tied, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(wait, cancel)
	x, err := a.link.Attach(tied, m)
	if !stop() || err != nil {
		if err == nil {
			x.Finish()
			err = wait.Err()
		}
		cancel()
		return Exchange{}, err
	}
	finish := x.Finish
	x.Finish = func() {
		finish()
		cancel()
	}
	return x, nil
}

// contextProblem returns the problem for which the request's context ended.
func contextProblem(ctx context.Context) *sillproblem.Problem {
	var p *sillproblem.Problem
	if errors.As(context.Cause(ctx), &p) {
		return p
	}
	return sillproblem.New(sillproblem.DeadlinePassed, "the answer was not complete in time").WithOutcome(sillproblem.OutcomeUnknown)
}

func fromRefuse(m *sillwire.Refuse) *sillproblem.Problem {
	p := sillproblem.New(m.Kind, "%s", m.Detail)
	p.AtLimit = m.AtLimit
	return p.WithOutcome(m.Outcome).WithRetryAfter(time.Duration(m.RetryAfterMillis) * time.Millisecond)
}
