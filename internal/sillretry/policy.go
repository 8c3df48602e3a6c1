// Package sillretry decides whether a failed attempt is retried, looked up or
// failed.
package sillretry

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Action is what the gateway does after a failed attempt.
type Action string

const (
	// RetryElsewhere sends the request to another target after Decision.Wait.
	RetryElsewhere Action = "retry-elsewhere"
	// LookUp asks the agent of the attempt for the attempt's outcome. An agent
	// that does not know the attempt refuses it if it arrives later.
	LookUp Action = "look-up"
	// Fail returns Decision.Problem to the caller.
	Fail Action = "give-up"
)

// Reason is the reason for an action in metrics and logs.
type Reason string

// The reasons for a decision.
const (
	ReasonNotRun          Reason = "not-run"
	ReasonIdempotent      Reason = "idempotent"
	ReasonOutcomeUnknown  Reason = "outcome-unknown"
	ReasonNotRetryable    Reason = "not-retryable"
	ReasonMayHaveRun      Reason = "may-have-run"
	ReasonMaxAttempts     Reason = "attempts"
	ReasonDeadline        Reason = "deadline"
	ReasonBudget          Reason = "budget"
	ReasonResponseStarted Reason = "answered-in-part"
)

// Failure describes an attempt that did not produce a complete response.
type Failure struct {
	// Problem is the problem with which the attempt ended.
	Problem *sillproblem.Problem
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// MayHaveReached is true unless the agent confirms that its target received
	// no byte of the request, or no byte was sent to the agent.
	MayHaveReached bool
	// EarlierMayHaveReached is true if a target may have received a byte of an
	// earlier attempt.
	EarlierMayHaveReached bool
	// LookedUp is true if the agent was already asked for the outcome, or can't
	// be asked.
	LookedUp bool
	// ResponseStarted is true if the caller received part of a response that
	// can't be resumed.
	ResponseStarted bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	// Jitter is a fresh random number in [0, 1) that scales the backoff.
	Jitter float64
}

// Decision is the action to take after a Failure.
type Decision struct {
	Action Action
	Reason Reason
	// Wait is the backoff before a retry.
	Wait time.Duration
	// Problem is returned to the caller if Action is Fail. Its outcome is
	// NotRun only if no target received a byte of the request.
	Problem *sillproblem.Problem
}

// Policy holds the limits on retries.
type Policy struct {
	// MaxAttempts is the maximum number of attempts of one request; at least 1.
	MaxAttempts int
	// MinRemaining is the minimum time that must remain before the deadline
	// when a retry starts.
	MinRemaining time.Duration
}

// DefaultPolicy returns the policy that gateways use.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 4, MinRemaining: 20 * time.Millisecond}
}

const (
	baseBackoff = 2 * time.Millisecond
	maxBackoff  = 250 * time.Millisecond
)

// retryable holds the kinds of problems that another target may not have.
var retryable = map[sillproblem.Kind]bool{
	sillproblem.Overload:         true,
	sillproblem.Draining:         true,
	sillproblem.NoTarget:         true,
	sillproblem.NotReady:         true,
	sillproblem.TargetFailed:     true,
	sillproblem.ConnectionSilent: true,
	sillproblem.Internal:         true,
}

// Decide returns the action to take after a failure. Each retry takes a token
// from the budget, but for those that a draining target, or one at its limit, refused.
func (p Policy) Decide(now time.Time, f Failure, budget *Budget) Decision {
	outcome := f.outcome()
	switch {
	case f.ResponseStarted:
		return f.fail(ReasonResponseStarted, outcome)
	case outcome == sillproblem.OutcomeUnknown && !f.LookedUp:
		return Decision{Action: LookUp, Reason: ReasonOutcomeUnknown}
	case (outcome != sillproblem.NotRun || f.EarlierMayHaveReached) && !f.Idempotent:
		return f.fail(ReasonMayHaveRun, outcome)
	case !retryable[f.Problem.Kind]:
		return f.fail(ReasonNotRetryable, outcome)
	case f.Attempts >= p.MaxAttempts:
		return f.fail(ReasonMaxAttempts, outcome)
	}
	wait := f.backoff()
	if !f.Deadline.IsZero() && f.Deadline.Sub(now) < wait+p.MinRemaining {
		return f.fail(ReasonDeadline, outcome)
	}
	// Every request on its way to a target that drains is refused. That says nothing of
	// the others, and ends with the next heartbeat.
	// Nor does a limit that a target names for itself.
	elsewhere := (f.Problem.Kind == sillproblem.Draining || f.Problem.AtLimit) && outcome == sillproblem.NotRun
	if !elsewhere && !budget.take(now) {
		return f.fail(ReasonBudget, outcome)
	}
	reason := ReasonIdempotent
	if outcome == sillproblem.NotRun {
		reason = ReasonNotRun
	}
	return Decision{Action: RetryElsewhere, Reason: reason, Wait: wait}
}

// outcome returns the problem's outcome, but NotRun only if no byte can have
// reached the target.
func (f Failure) outcome() sillproblem.Outcome {
	if f.Problem.Outcome == sillproblem.NotRun && f.MayHaveReached {
		return sillproblem.OutcomeUnknown
	}
	return f.Problem.Outcome
}

// backoff returns 0 before the second attempt, and then an exponential backoff
// with full jitter.
func (f Failure) backoff() time.Duration {
	if f.Attempts <= 1 {
		return 0
	}
	ceiling := min(baseBackoff<<min(f.Attempts, 10), maxBackoff)
	return time.Duration(f.Jitter * float64(ceiling))
}

// fail returns a Fail decision. It copies the problem so that the attempt's own
// problem stays unchanged.
func (f Failure) fail(reason Reason, outcome sillproblem.Outcome) Decision {
	problem := *f.Problem
	problem.Outcome = outcome
	if f.EarlierMayHaveReached && outcome == sillproblem.NotRun {
		problem.Outcome = sillproblem.OutcomeUnknown
	}
	return Decision{Action: Fail, Reason: reason, Problem: &problem}
}
