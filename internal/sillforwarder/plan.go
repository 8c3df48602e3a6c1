package sillforwarder

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

const (
	// patiencePaces is how many usual answer times a first target gets before an
	// idempotent request is sent to another one.
	patiencePaces = 4
	// patienceShare is the least part of the latency objective that a target gets.
	patienceShare = 0.7
	// leastLeft is the time below which another attempt has no chance.
	leastLeft = 15 * time.Millisecond
	// waitShare is the part of the latency objective for which a request waits
	// for a target before it is refused.
	waitShare = 0.2
	// withinShare is the part of the latency objective within which a target must
	// be likely to answer; the rest is for requests that take longer than usual.
	withinShare = 0.8
	// retryWhenFull is when a caller may come back after all targets were full:
	// a slot is free after about one answer time.
	retryWhenFull = 150 * time.Millisecond
	// retryMost bounds the time that a caller is asked to stay away for a load
	// that may end sooner.
	retryMost = time.Second
	// retryWhenNone is when a caller may come back if no target is there: a
	// resting one is tried again by then.
	retryWhenNone = 400 * time.Millisecond
)

// Reason names why a request got no answer of a target.
type Reason string

// The reasons of refusals and failures.
const (
	NoTarget     Reason = "no-target"
	AllFull      Reason = "all-full"
	TooLate      Reason = "too-late"
	ResponseLost Reason = "answer-lost"
	TimedOut     Reason = "timed-out"
	CallerGone   Reason = "caller-left"
)

// Refusal is the error of a request without an answer.
type Refusal struct {
	Reason Reason
	// NotRun is whether no target ran the request, nor ever will.
	NotRun bool
	// RetryAfter is when the caller may come back; 0 if that is no use.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	if r.NotRun {
		return "request not run: " + string(r.Reason) + "; send it again after the time named"
	}
	return "request may have run: " + string(r.Reason) + "; send it again only if it is idempotent"
}

// progress is what is known of a request between two attempts.
type progress struct {
	// attempts counts the targets that were asked.
	attempts int
	// mayHaveRun is whether some attempt may have run.
	mayHaveRun bool
	last       silltarget.Outcome
}

// step is what to do next with a request.
type step int

const (
	tryNext step = iota
	giveUp
)

// next decides whether a request without an answer is tried at another target.
func next(r *sillcatalog.Route, p progress, left time.Duration) step {
	if left < leastLeft || p.attempts >= r.Attempts {
		return giveUp
	}
	if p.mayHaveRun && r.Kind != sillcatalog.Idempotent {
		return giveUp
	}
	return tryNext
}

// patience is how long an attempt may take, which p counts already. Only the
// first one is cut short, and only if another may follow: a request that takes
// long everywhere must get its time at some target.
func patience(r *sillcatalog.Route, p progress, usual, left time.Duration) time.Duration {
	if r.Kind != sillcatalog.Idempotent || p.attempts > 1 || r.Attempts == 1 {
		return left
	}
	least := time.Duration(patienceShare * float64(r.LatencyObjective))
	return min(max(patiencePaces*usual, least), left/2)
}

// within returns how soon a target must be likely to answer, or 0 for any time.
// It answers a load above what the targets can carry: requests that queue beyond
// the objective are late all the same, and have those behind them late as well.
// One that an earlier target has had for a while is served when it can be.
func within(req *Request, attempts int, now time.Time) time.Duration {
	if req.AllowLate || attempts > 0 || req.Route.Kind == sillcatalog.Stream || req.Route.LatencyObjective == 0 {
		return 0
	}
	return max(time.Duration(withinShare*float64(req.Route.LatencyObjective))-now.Sub(req.Arrived), time.Millisecond)
}

// overloaded takes when the soonest target is likely to answer. If that is too
// late, the request was refused for the load: its caller may come back once as
// much of the load is worked off.
func (r *Refusal) overloaded(soonest, objective time.Duration) {
	excess := soonest - time.Duration(withinShare*float64(objective))
	if objective > 0 && excess > 0 {
		r.Reason = AllFull
		r.RetryAfter = min(max(excess, retryWhenFull), retryMost)
	}
}

// refuse returns the final answer of a request that was given up.
func refuse(p progress, left time.Duration) *Refusal {
	switch {
	case p.mayHaveRun && left < leastLeft:
		return &Refusal{Reason: TimedOut}
	case p.mayHaveRun:
		return &Refusal{Reason: ResponseLost}
	case left < leastLeft:
		return &Refusal{Reason: TooLate, NotRun: true}
	case p.attempts == 0 || p.last == silltarget.Unreachable:
		return &Refusal{Reason: NoTarget, NotRun: true, RetryAfter: retryWhenNone}
	}
	return &Refusal{Reason: AllFull, NotRun: true, RetryAfter: retryWhenFull}
}
