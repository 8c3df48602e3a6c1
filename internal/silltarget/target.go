// Package silltarget knows the targets that a gateway without agents sends
// requests to, and picks one for each request.
package silltarget

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is what a target says of itself.
type State string

const (
	// Ready targets take requests.
	Ready State = "ready"
	// Draining targets finish what they run.
	Draining State = "draining"
)

// Entry is what a target registered of itself.
type Entry struct {
	ID      sillid.TargetID
	Pool    sillid.PoolID
	Zone    sillid.ZoneID
	Address string
	State   State
	// Slots is the number of requests that the target runs at once.
	Slots int
	// StartedAt is when this run of the target started, by its own clock. It tells
	// two runs under one id apart.
	StartedAt time.Time
	// Versions holds the weight version of each model that the target serves.
	Versions map[sillid.ModelID]sillid.WeightVersion
}

// Load is what a target said of its load in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Outcome is how an attempt at a target ended.
type Outcome int

const (
	// Answered attempts got a whole answer.
	Answered Outcome = iota
	// Rejected attempts were turned away; nothing ran.
	Rejected
	// Misdirected attempts reached another target that now has the address.
	Misdirected
	// Unreachable attempts got no connection.
	Unreachable
	// Broken attempts got no whole answer.
	Broken
	// TimedOut attempts got nothing in the time allowed.
	TimedOut
	// Abandoned attempts were ended by the caller and tell nothing of the target.
	Abandoned
)

const (
	// fullFor is how long a target that turned a request away gets no other one;
	// each further one in a row doubles it, maxFullDoublings times at most.
	fullFor          = 60 * time.Millisecond
	maxFullDoublings = 2
	// restFirst is how long a target rests after its first failure; each further
	// failure in a row doubles it.
	restFirst = 400 * time.Millisecond
	// restMost bounds the rest.
	restMost = 4 * time.Second
	// misdirectedFor is how long a target rests whose address another one has:
	// by then its entry has changed.
	misdirectedFor = 2 * time.Second
	// paceWeight is the weight of one observation in the averages of a target.
	paceWeight = 0.2
	// maxDoublings keeps the doubled rest from overflowing.
	maxDoublings = 8
	// loadLife is how long a load that a target told of counts.
	loadLife = 500 * time.Millisecond
)

// target is an entry with what this process has learnt of it.
type target struct {
	entry Entry
	// running is the number of requests of this process at the target.
	running int
	// failures counts the failures since the last success.
	failures int
	// refusals counts the requests turned away since the last success.
	refusals int
	// restUntil is when the target may get requests again.
	restUntil time.Time
	// elsewhere is the load by other processes, as last told.
	elsewhere int
	toldAt    time.Time
	// pace is an average of the time that the target takes for one unit of
	// work, such as an event of a stream; 0 if unknown.
	pace time.Duration
	// work is an average of the time for one unit of work without the time that
	// it waits behind others; 0 if unknown.
	work time.Duration
	// lapsedAt is when the entry vanished in a time in which the registry could
	// not be trusted; zero for a target that is listed.
	lapsedAt time.Time
}

// load returns the number of requests that the target holds, as far as known.
func (t *target) load(now time.Time) int {
	if now.Sub(t.toldAt) < loadLife {
		return t.running + t.elsewhere
	}
	return t.running
}

// crowd returns the number of requests at the target by its slots, with so many more.
func (t *target) crowd(now time.Time, more int) float64 {
	return float64(t.load(now)+more) / float64(max(t.entry.Slots, 1))
}

// expected returns when one more request is likely to be answered: requests that
// find every slot taken wait for their turn.
func (t *target) expected(now time.Time, usualWork time.Duration) time.Duration {
	work := t.work
	if work == 0 {
		work = usualWork
	}
	return time.Duration(float64(work) * max(1, t.crowd(now, 1)))
}

func (t *target) resting(now time.Time) bool { return now.Before(t.restUntil) }

// note takes the outcome of an attempt.
func (t *target) note(now time.Time, o Outcome) {
	switch o {
	case Answered:
		t.failures, t.refusals = 0, 0
		t.restUntil = time.Time{}
	case Rejected:
		t.rest(now, fullFor<<min(t.refusals, maxFullDoublings))
		t.refusals++
	case Misdirected:
		t.rest(now, misdirectedFor)
	case Unreachable:
		t.fail(now)
	case Broken, TimedOut:
		// One lost or spoilt answer says little of the target.
		if t.failures > 0 {
			t.fail(now)
			return
		}
		t.failures++
	case Abandoned:
	}
}

func (t *target) fail(now time.Time) {
	t.rest(now, min(restFirst<<min(t.failures, maxDoublings), restMost))
	t.failures++
}

func (t *target) rest(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(t.restUntil) {
		t.restUntil = until
	}
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(paceWeight*float64(observed-old))
}

// String returns the outcome as logs and metrics name it.
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
	case TimedOut:
		return "silent"
	case Abandoned:
		return "abandoned"
	}
	return "unknown"
}
