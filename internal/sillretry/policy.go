// Package sillretry decides what follows an attempt that brought no answer.
package sillretry

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Action is what the gateway does next.
type Action string

const (
	// RetryElsewhere sends the request to another target after Decision.Wait.
	RetryElsewhere Action = "retry-elsewhere"
	// LookUp asks the agent of the attempt what became of it. The agent that
	// does not know the attempt refuses it from then on.
	LookUp Action = "look-up"
	// Fail answers the caller with Decision.Problem.
	Fail Action = "give-up"
)

// Reason tells metrics and logs why an action was taken.
type Reason string

// The reasons of a decision.
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

// Failure is an attempt that brought no answer.
type Failure struct {
	// Problem is how the attempt ended.
	Problem *sillproblem.Problem
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// MayHaveReached is true unless the agent vouches that its target got no
	// byte of the request, or no byte was sent to the agent.
	MayHaveReached bool
	// EarlierMayHaveReached is true if a target may have got a byte of an earlier attempt.
	EarlierMayHaveReached bool
	// LookedUp is true once the agent was asked, or can't be.
	LookedUp bool
	// ResponseStarted is true if the caller got a part of an answer that can't be resumed.
	ResponseStarted bool
	// Attempts counts the attempts so far, this one included.
	Attempts int
	// Deadline is when the answer must be complete; zero means never.
	Deadline time.Time
	// Jitter is a fresh random number from 0 to below 1.
	Jitter float64
}

// Decision is the answer to a Failure.
type Decision struct {
	Action Action
	Reason Reason
	// Wait comes before a retry.
	Wait time.Duration
	// Problem is the caller's answer if Action is Fail. Its outcome is
	// NotRun only if no target received a byte of the request.
	Problem *sillproblem.Problem
}

// Policy holds the bounds of retries.
type Policy struct {
	// MaxAttempts bounds the attempts of one request; at least 1.
	MaxAttempts int
	// MinRemaining is the time before the deadline in which no retry starts.
	MinRemaining time.Duration
}

// DefaultPolicy returns the bounds that gateways use.
func DefaultPolicy() Policy {
	return Policy{MaxAttempts: 4, MinRemaining: 20 * time.Millisecond}
}

const (
	firstWait   = 2 * time.Millisecond
	longestWait = 250 * time.Millisecond
)

// retryable are the kinds that another target may not meet.
var retryable = map[sillproblem.Kind]bool{
	sillproblem.Overload:         true,
	sillproblem.Draining:         true,
	sillproblem.NoTarget:         true,
	sillproblem.NotReady:         true,
	sillproblem.TargetFailed:     true,
	sillproblem.ConnectionSilent: true,
	sillproblem.Internal:         true,
}

// Decide returns what follows a failure. It takes a token of the budget for
// each retry.
func (p Policy) Decide(now time.Time, f Failure, budget *Budget) Decision {
	outcome := f.outcome()
	switch {
	case f.ResponseStarted:
		return f.giveUp(ReasonResponseStarted, outcome)
	case outcome == sillproblem.OutcomeUnknown && !f.LookedUp:
		return Decision{Action: LookUp, Reason: ReasonOutcomeUnknown}
	case (outcome != sillproblem.NotRun || f.EarlierMayHaveReached) && !f.Idempotent:
		return f.giveUp(ReasonMayHaveRun, outcome)
	case !retryable[f.Problem.Kind]:
		return f.giveUp(ReasonNotRetryable, outcome)
	case f.Attempts >= p.MaxAttempts:
		return f.giveUp(ReasonMaxAttempts, outcome)
	}
	wait := f.backoff()
	if !f.Deadline.IsZero() && f.Deadline.Sub(now) < wait+p.MinRemaining {
		return f.giveUp(ReasonDeadline, outcome)
	}
	if !budget.take(now) {
		return f.giveUp(ReasonBudget, outcome)
	}
	reason := ReasonIdempotent
	if outcome == sillproblem.NotRun {
		reason = ReasonNotRun
	}
	return Decision{Action: RetryElsewhere, Reason: reason, Wait: wait}
}

// outcome trusts NotRun only where no byte may have reached the target.
func (f Failure) outcome() sillproblem.Outcome {
	if f.Problem.Outcome == sillproblem.NotRun && f.MayHaveReached {
		return sillproblem.OutcomeUnknown
	}
	return f.Problem.Outcome
}

// backoff is 0 before the second attempt, then grows exponentially with full jitter.
func (f Failure) backoff() time.Duration {
	if f.Attempts <= 1 {
		return 0
	}
	highest := min(firstWait<<min(f.Attempts, 10), longestWait)
	return time.Duration(f.Jitter * float64(highest))
}

// giveUp answers with a copy of the problem, so that the attempt's own stays as it was.
func (f Failure) giveUp(reason Reason, outcome sillproblem.Outcome) Decision {
	problem := *f.Problem
	problem.Outcome = outcome
	if f.EarlierMayHaveReached && outcome == sillproblem.NotRun {
		problem.Outcome = sillproblem.OutcomeUnknown
	}
	return Decision{Action: Fail, Reason: reason, Problem: &problem}
}
