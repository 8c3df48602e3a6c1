package silldispatch

import (
	"context"
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllink"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// attachLimit bounds the wait for an agent to come back with the answer of
	// an idempotent request, which can run elsewhere.
	attachLimit = 500 * time.Millisecond
	// attachLimitOnce is the same for a request that must not run again.
	attachLimitOnce = 2 * sillwire.SilenceLimit
)

// attempt is one try of a request at one target.
type attempt struct {
	id     sillid.AttemptID
	target sillid.TargetID
	link   Link
	// agent is the run of the agent that got the request.
	agent sillid.AgentID
	// frames counts the received answer frames.
	frames int
	// bytes counts the received bytes of a plain answer, tokens the received
	// tokens of a generation.
	bytes  int64
	tokens int
	// began is when the attempt was sent.
	began time.Time
	// firstAt is when the first frame came.
	firstAt time.Time
}

// result is what an attempt came to.
type result struct {
	// finish is nil if the agent sent no end.
	finish *sillwire.Finish
	// problem is nil if the answer is whole.
	problem *sillproblem.Problem
	// sinkErr is set if the caller did not take the answer.
	sinkErr error
	// tokens counts the tokens that the attempt brought.
	tokens int
	// load is what the agent told of its target; nil if nothing.
	load *sillwire.Load
	// final is true if no other target may be tried.
	final bool
}

// try sends the request to a target and follows the answer to its end.
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
	if err != nil {
		return d.follow(ctx, r, a, broken(err), out)
	}
	return d.follow(ctx, r, a, x, out)
}

// broken returns an exchange that failed before its first frame.
func broken(err error) Exchange {
	return Exchange{
		Next:   func() (sillwire.Message, error) { return nil, err },
		Linger: func(time.Duration) *sillwire.Finish { return nil },
		Stop:   func() {},
		Finish: func() {},
	}
}

// lingerLimit bounds the wait for the end of an answer whose caller is gone.
const lingerLimit = 2 * time.Second

// linger takes the use of a run in whose caller is gone, in the background.
func (d *Dispatcher) linger(x Exchange) {
	d.cfg.Group.Go(func(context.Context) {
		if f := x.Linger(lingerLimit); f != nil && f.Usage != nil {
			d.cfg.OnUsage(f.Usage)
		}
	})
}

// follow takes answer frames in until the last one, over as many connections
// as it takes.
func (d *Dispatcher) follow(ctx context.Context, r *Request, a *attempt, x Exchange, out *output) result {
	unwatch := watchStop(ctx, r, x)
	defer func() { unwatch() }()
	for {
		m, err := x.Next()
		if err != nil && ctx.Err() != nil {
			d.linger(x)
			return result{problem: ended(ctx)}
		}
		if err != nil {
			x.Finish()
			d.cfg.Metrics.Attached.Inc()
			if x, err = d.reattach(ctx, r, a); err != nil {
				d.died(r, a, string(a.agent))
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
		done, res := d.take(r, a, m, out)
		if !done {
			continue
		}
		if res.sinkErr != nil {
			x.Stop()
			d.linger(x)
			return res
		}
		x.Finish()
		return res
	}
}

// watchStop passes a closed Stop channel on to the agent until the returned
// function is called.
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

// take handles one frame and tells whether it was the last.
func (d *Dispatcher) take(r *Request, a *attempt, m sillwire.Message, out *output) (bool, result) {
	var err error
	switch m := m.(type) {
	case *sillwire.Refuse:
		return true, result{problem: fromRefuse(m), load: m.Load}
	case *sillwire.Head:
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
		return true, result{sinkErr: err}
	}
	return false, result{}
}

// finish checks that the answer is the whole answer to this request.
func (d *Dispatcher) finish(r *Request, a *attempt, m *sillwire.Finish, out *output) result {
	res := result{finish: m, load: m.Load}
	if m.Usage != nil {
		d.cfg.OnUsage(m.Usage)
	}
	if m.Died != "" {
		d.died(r, a, m.Died)
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

// died records that a run of the target ended under the request.
func (d *Dispatcher) died(r *Request, a *attempt, run string) {
	if !r.Class.Owed() {
		d.cfg.Suspects.RecordCrash(a.target, run, []sillcrash.RunningRequest{{Fingerprint: r.Fingerprint, Started: a.began}})
	}
	d.cfg.OnDeath()
}

// reattach waits for the agent and asks it for the rest of the answer.
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

// attachOnce gives up when wait ends, but ties the exchange to ctx.
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

// ended names the reason for which the request's context ended.
func ended(ctx context.Context) *sillproblem.Problem {
	var p *sillproblem.Problem
	if errors.As(context.Cause(ctx), &p) {
		return p
	}
	return sillproblem.New(sillproblem.DeadlinePassed, "the answer was not complete in time").WithOutcome(sillproblem.OutcomeUnknown)
}

func fromRefuse(m *sillwire.Refuse) *sillproblem.Problem {
	p := sillproblem.New(m.Kind, "%s", m.Detail)
	return p.WithOutcome(m.Outcome).WithRetryAfter(time.Duration(m.RetryAfterMillis) * time.Millisecond)
}
