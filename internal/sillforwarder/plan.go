package sillforwarder

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

const (
	// timeoutLatencyFactor is the timeout of the first attempt of an idempotent
	// request, as a multiple of the pool's mean unit latency.
	timeoutLatencyFactor = 4
	// minTimeoutShare is the minimum timeout of the first attempt, as a share of the
	// latency objective.
	minTimeoutShare = 0.7
	// maxUnreachable bounds the targets that a request is tried at without a connection.
	// Each may cost the time limit of a connection.
	maxUnreachable = 8
	// minRemaining is the time to the deadline below which another attempt can't
	// succeed.
	minRemaining = 15 * time.Millisecond
	// pickWaitShare is the share of the latency objective for which a request waits
	// for a target before it is refused.
	pickWaitShare = 0.2
	// limitWaitShare is the share of the latency objective until which a request waits for
	// a permit if all targets are at their limits. The rest is for the response.
	limitWaitShare = 0.5
	// backgroundPoll is the time between two looks for a target of a request for which no
	// caller waits. Many of them may wait; they are not all woken by each change.
	backgroundPoll = 50 * time.Millisecond
	// responseTimeShare is the share of the latency objective within which a target
	// must be expected to respond; the rest is a margin for requests that take
	// longer than the mean.
	responseTimeShare = 0.8
	// retryAfterFull is the retry delay after all targets were full. A slot is free
	// after about one response time.
	retryAfterFull = 150 * time.Millisecond
	// maxRetryAfter bounds the retry delay, since the overload may end sooner than
	// estimated.
	maxRetryAfter = time.Second
	// retryAfterNoTarget is the retry delay if no target is available. A target in
	// its first backoff is tried again by then.
	retryAfterNoTarget = 400 * time.Millisecond
)

// Reason is why a request got no response of a target.
type Reason string

// The reasons of refusals and failures.
const (
	// NoTarget is for requests for which no target was available or reachable.
	NoTarget Reason = "no-target"
	// AllFull is for requests that the targets rejected, or for which no target
	// was expected to respond in time.
	AllFull Reason = "all-full"
	// RateLimited is for requests that the limits of all targets did not allow in time.
	RateLimited Reason = "rate-limited"
	// TooLate is for requests that did not run before their deadline.
	TooLate Reason = "too-late"
	// ResponseLost is for requests that may have run and may not be retried.
	ResponseLost Reason = "answer-lost"
	// TimedOut is for requests that may have run when their deadline passed.
	TimedOut Reason = "timed-out"
	// CrashSuspect is for requests that are refused because targets crashed under
	// requests with the same content.
	CrashSuspect Reason = "crash-suspect"
	// CallerGone is for requests that the caller cancelled.
	CallerGone Reason = "caller-left"
)

// Refusal is the error of a request without a response of a target.
type Refusal struct {
	Reason Reason
	// NotRun is true if no target has run the request and none will.
	NotRun bool
	// RetryAfter is the delay after which the caller may retry; 0 if a retry is of
	// no use.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string {
	if r.NotRun {
		return "request not run: " + string(r.Reason) + "; retry it after the given delay"
	}
	return "request may have run: " + string(r.Reason) + "; retry it only if it is idempotent"
}

// progress is the state of a request between two attempts.
type progress struct {
	content sillcrash.Fingerprint
	// attempts counts the attempts, each at another target.
	attempts int
	// unreachable counts the attempts without a connection.
	unreachable int
	// mayHaveRun is whether a target may have run the request.
	mayHaveRun bool
	// last is the outcome of the last attempt.
	last silltarget.Outcome
}

// record adds the outcome of a failed attempt.
func (p *progress) record(o silltarget.Outcome, mayHaveRun bool) {
	p.last = o
	p.mayHaveRun = p.mayHaveRun || mayHaveRun
	if o == silltarget.Unreachable {
		p.unreachable++
	}
}

// sent returns the number of attempts in which a target got a byte of the request.
func (p *progress) sent() int { return p.attempts - p.unreachable }

// step is the next step for a request without a response.
type step int

const (
	tryNext step = iota
	abandon
)

// nextStep decides whether a request without a response is tried at another target.
// Targets without a connection do not count as attempts of the route: they did not get
// the request.
func nextStep(r *sillcatalog.Route, p progress, remaining time.Duration) step {
	if remaining < minRemaining || p.sent() >= r.Attempts || p.unreachable >= maxUnreachable {
		return abandon
	}
	if p.mayHaveRun && r.Kind != sillcatalog.Idempotent {
		return abandon
	}
	return tryNext
}

// attemptTimeout returns the timeout of an attempt, which p counts already. Only
// the first attempt that is sent gets less than the remaining time, and only if another
// may follow: a request that is slow at every target must be able to finish at one.
func attemptTimeout(r *sillcatalog.Route, p progress, meanLatency, remaining time.Duration) time.Duration {
	if r.Kind != sillcatalog.Idempotent || p.sent() > 1 || r.Attempts == 1 {
		return remaining
	}
	minTimeout := time.Duration(minTimeoutShare * float64(r.LatencyObjective))
	return min(max(timeoutLatencyFactor*meanLatency, minTimeout), remaining/2)
}

// maxResponseTime returns the longest accepted expected response time of a target,
// or 0 for no bound. It sheds load above the capacity of the targets: a request
// that queues beyond the objective is late anyway, and delays the requests behind
// it. Retries are not bounded, since an earlier target already spent time on them.
func maxResponseTime(req *Request, p progress, now time.Time) time.Duration {
	if req.AllowLate || p.sent() > 0 || req.Route.Kind == sillcatalog.Stream || req.Route.LatencyObjective == 0 {
		return 0
	}
	return max(time.Duration(responseTimeShare*float64(req.Route.LatencyObjective))-now.Sub(req.Arrived), time.Millisecond)
}

// applyOverload turns the refusal into one for overload if earliest, the lowest
// expected response time of the targets, is too long for the objective. RetryAfter
// then covers the excess, the time that the targets need to work it off.
func (r *Refusal) applyOverload(earliest, objective time.Duration) {
	excess := earliest - time.Duration(responseTimeShare*float64(objective))
	if objective > 0 && excess > 0 {
		r.Reason = AllFull
		r.RetryAfter = min(max(excess, retryAfterFull), maxRetryAfter)
	}
}

// applyLimit turns the refusal into one for the limits of the targets, the first of which
// may take a request after the delay.
func (r *Refusal) applyLimit(delay time.Duration) {
	r.Reason = RateLimited
	r.RetryAfter = min(max(delay, retryAfterFull), maxRetryAfter)
}

// newRefusal returns the refusal of a request that was abandoned.
func newRefusal(p progress, remaining time.Duration) *Refusal {
	switch {
	case p.mayHaveRun && remaining < minRemaining:
		return &Refusal{Reason: TimedOut}
	case p.mayHaveRun:
		return &Refusal{Reason: ResponseLost}
	case remaining < minRemaining:
		return &Refusal{Reason: TooLate, NotRun: true}
	case p.attempts == 0 || p.last == silltarget.Unreachable:
		return &Refusal{Reason: NoTarget, NotRun: true, RetryAfter: retryAfterNoTarget}
	}
	return &Refusal{Reason: AllFull, NotRun: true, RetryAfter: retryAfterFull}
}
