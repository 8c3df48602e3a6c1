// Package silltarget holds the targets that a gateway without agents sends
// requests to, and picks one for each attempt.
package silltarget

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is the state that a target reports in its registration.
type State string

const (
	// Ready targets accept new requests.
	Ready State = "ready"
	// Draining targets finish their running requests and accept no new ones.
	Draining State = "draining"
)

// Entry is a target's entry in the registry.
type Entry struct {
	ID      sillid.TargetID
	Pool    sillid.PoolID
	Zone    sillid.ZoneID
	Address string
	State   State
	// Slots is the number of requests that the target runs at once.
	Slots int
	// StartedAt is when this run of the target started, by its own clock. It
	// distinguishes two runs under one id.
	StartedAt time.Time
	// Cold is what the entry says of the target being cold.
	Cold ColdNotice
	// Revision is that of the entry's row; 0 if unknown.
	Revision uint64
	// Versions holds the weight version of each model that the target serves.
	Versions map[sillid.ModelID]sillid.WeightVersion
}

// Load is the load that a target reported in a response.
type Load struct {
	// Running and Waiting count requests of all callers.
	Running int
	Waiting int
	Slots   int
	// Duration is how long work takes at the target's instance now, in percent of the usual
	// time; 0 if the target does not report it.
	Duration int
}

// Outcome is how an attempt at a target ended.
type Outcome int

const (
	// Answered attempts got a complete response.
	Answered Outcome = iota
	// Rejected attempts were rejected by the target, which did not run the request.
	Rejected
	// Misdirected attempts reached another target, which now has the address.
	Misdirected
	// Unreachable attempts got no connection.
	Unreachable
	// Broken attempts lost their connection before the response was complete. The
	// target may have crashed.
	Broken
	// Malformed attempts got bytes that are no response, or too many.
	Malformed
	// TimedOut attempts got no complete response within their time limit.
	TimedOut
	// Abandoned attempts were cancelled by the caller; they say nothing about
	// the health of the target.
	Abandoned
	// Withdrawn attempts were not sent because the target may not get the request any
	// more.
	Withdrawn
	// Errored attempts got a complete response that says that the target failed.
	Errored
	// ErroredAgain attempts are Errored ones of a request that got an error at another
	// target before. The request may be the cause.
	ErroredAgain
)

const (
	// rejectedBackoff is the backoff of a target after it rejected a request;
	// each further rejection in a row doubles it, at most maxRejectedDoublings times.
	rejectedBackoff      = 60 * time.Millisecond
	maxRejectedDoublings = 2
	// initialBackoff is the backoff after the first failure; each further failure
	// in a row doubles it.
	initialBackoff = 400 * time.Millisecond
	// maxBackoff bounds the backoff after failures.
	maxBackoff = 4 * time.Second
	// misdirectedBackoff is the backoff of a target whose address now belongs to
	// another one. Its registry entry is updated within that time.
	misdirectedBackoff = 2 * time.Second
	// averageWeight is the weight of one observation in the moving averages of a target.
	averageWeight = 0.2
	// maxFailureDoublings keeps the doubled backoff from overflowing.
	maxFailureDoublings = 8
	// loadTTL is how long a reported load is used.
	loadTTL = 500 * time.Millisecond
)

// target is an entry with the state that this process keeps for it.
type target struct {
	// entry.State is Draining for a run that said in a response that it leaves.
	entry Entry
	// registered is the state in the registry entry.
	registered State
	// tieBreak orders targets of equal cost.
	tieBreak uint64
	// running is the number of this process's requests at the target.
	running int
	// failures counts the failures since the last success.
	failures int
	// rejections counts the rejected requests since the last success.
	rejections int
	// backoffUntil is when the target may get requests again.
	backoffUntil time.Time
	// otherLoad is the number of requests of other processes at the target, as
	// of its last load report.
	otherLoad      int
	loadReportedAt time.Time
	// usualOthers is the moving average of otherLoad over the reports.
	usualOthers float64
	// sentSinceReport counts this process's attempts since then.
	sentSinceReport int
	// unitLatency is the moving average of the time that the target takes for
	// one unit of work, such as an event of a stream; 0 if unknown.
	unitLatency time.Duration
	// progressAt is when a request of this process at the target last made progress.
	progressAt time.Time
	// serviceTime is the moving average of the time for one unit of work without
	// queueing; 0 if unknown.
	serviceTime time.Duration
	// missingSince is when the entry disappeared from the registry during a time
	// in which the registry was not reliable; zero for a registered target.
	missingSince time.Time
	// limit is what is known of the limit of the target's run; nil if nothing is.
	limit *limitState
	// rule is nil if the pool's targets are never cold.
	rule *ColdRule
	cold coldState
	// region is the region of the target's availability zone; empty if it is unknown.
	region sillid.RegionID
	// evacuated is whether the target's availability zone is evacuated.
	evacuated bool
	// errors is what is known of the errors that the target responds with.
	errors errorRecord
	speed  speedRecord
	batch  batchAverages
}

// load returns the number of requests at the target, as far as known.
func (t *target) load(now time.Time) int {
	if now.Sub(t.loadReportedAt) < loadTTL {
		return t.running + t.otherLoad
	}
	return t.running
}

// utilisation returns the number of requests at the target plus extra, divided
// by its slots. It is above 1 if requests queue.
func (t *target) utilisation(now time.Time, extra int) float64 {
	return float64(t.load(now)+extra) / float64(max(t.entry.Slots, 1))
}

// expectedResponseTime returns the expected time to serve one more request,
// queueing included.
func (t *target) expectedResponseTime(now time.Time, meanServiceTime time.Duration) time.Duration {
	serviceTime := t.serviceTime
	if serviceTime == 0 {
		serviceTime = meanServiceTime
	}
	return time.Duration(float64(serviceTime) * max(1, t.utilisation(now, 1)))
}

func (t *target) backingOff(now time.Time) bool { return now.Before(t.backoffUntil) }

// recordOutcome updates the failure counts and the backoff with the outcome of
// an attempt.
func (t *target) recordOutcome(now time.Time, o Outcome) {
	switch o {
	case Answered, Errored, ErroredAgain:
		t.failures, t.rejections = 0, 0
		t.backoffUntil = time.Time{}
	case Rejected:
		t.backOff(now, rejectedBackoff<<min(t.rejections, maxRejectedDoublings))
		t.rejections++
	case Misdirected:
		t.backOff(now, misdirectedBackoff)
	case Unreachable:
		t.fail(now)
	case Broken, Malformed, TimedOut:
		// One lost response is weak evidence of a faulty target: only a second
		// failure in a row starts a backoff.
		if t.failures > 0 {
			t.fail(now)
		} else {
			t.failures++
		}
	case Abandoned, Withdrawn:
	}
	t.cold.recordOutcome(now, o, t.failures)
}

func (t *target) fail(now time.Time) {
	t.backOff(now, min(initialBackoff<<min(t.failures, maxFailureDoublings), maxBackoff))
	t.failures++
}

func (t *target) backOff(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
}

// average adds an observation to an exponentially weighted moving average.
func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(averageWeight*float64(observed-old))
}

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Rejected:
		return "full"
	case Misdirected:
		return "misdirected"
	case Unreachable:
		return "unreachable"
	case Broken:
		return "broken"
	case Malformed:
		return "malformed"
	case TimedOut:
		return "silent"
	case Abandoned:
		return "abandoned"
	case Withdrawn:
		return "withdrawn"
	case Errored:
		return "error"
	case ErroredAgain:
		return "error-again"
	}
	return "unknown"
}
