package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// The queue uses start-time fair queueing over service time: each organisation
// of a class has a start tag that grows by service time divided by weight, and
// the waiting organisation with the lowest tag runs next. Among organisations
// that are owed service, the one with the most urgent deadline runs next. An
// entry is charged its expected service time at its start; Done corrects the
// charge to the actual service time. Within an organisation the same rule
// shares the rollouts between trainers.
//
// Interactive entries run before rollouts. While both classes wait, each second
// of interactive service adds RolloutFloor seconds to the credit of rollouts,
// and a rollout runs first while the credit is positive.

// interactiveReservation is how long slots stay reserved after the last
// interactive entry arrived.
const interactiveReservation = time.Minute

// Queue decides which entry runs next on one target. It is not safe for
// concurrent use; Gate wraps it for that.
type Queue struct {
	cfg     Config
	classes [numClasses]class
	waiting map[sillid.AttemptID]*flow
	running map[sillid.AttemptID]*runningEntry
	limit   adaptiveLimit
	// credit is the service time in seconds that is owed to rollouts; it grows
	// while both classes wait and is at most 0 when no rollout waits.
	credit float64
	// mean is the mean service time in seconds over all entries.
	mean            movingAverage
	lastInteractive time.Time
	// rate keeps the limit on requests that the target names; nil if it names none.
	rate *sillrate.Bucket
}

// runningEntry is a running entry and its charge.
type runningEntry struct {
	entry Entry
	flow  *flow
	// charge is the charged service time in seconds.
	charge float64
	// contended is true if an entry of the other class waited at the start.
	contended bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{
		cfg:     cfg,
		waiting: make(map[sillid.AttemptID]*flow),
		running: make(map[sillid.AttemptID]*runningEntry),
		limit:   newAdaptiveLimit(cfg.MaxConcurrent, cfg.LatencyTolerance),
	}
	for i := range q.classes {
		q.classes[i].index = make(map[sillid.OrganisationID]*organisation)
	}
	return q
}

// Submit adds an entry. It returns the entries that are refused now, possibly
// including the new one.
func (q *Queue) Submit(now time.Time, e Entry) []Refusal {
	c := &q.classes[e.Class]
	f := c.flowOf(e)
	if !e.Deadline.IsZero() {
		e.timeBudget = e.Deadline.Sub(now)
	}
	if e.Class == Interactive {
		q.lastInteractive = now
	}
	if p := q.checkServiceTime(now, e, f.organisation); p != nil {
		return []Refusal{{Entry: e, Problem: p}}
	}
	if p := q.checkRate(now, e); p != nil {
		return []Refusal{{Entry: e, Problem: p}}
	}
	if p := q.checkBacklog(now, e, f.organisation); p != nil {
		return []Refusal{{Entry: e, Problem: p}}
	}
	c.push(f, e, idleCreditServiceTimes*q.mean.value)
	q.waiting[e.ID] = f
	if len(q.waiting) <= q.cfg.MaxWaiting {
		return nil
	}
	if dropped := q.Expire(now); len(dropped) > 0 {
		return dropped
	}
	return []Refusal{q.evict()}
}

// evict refuses the newest entry of the organisation that is furthest above its
// weighted share of the queue. When the queue is over its limit, at least one
// organisation is above its share, so an organisation within its share is never
// evicted.
func (q *Queue) evict() Refusal {
	worst := q.mostAboveShare()
	c := worst.class
	f := worst.longestFlow()
	e := c.popNewest(f)
	delete(q.waiting, e.ID)
	wait := q.drainTime(worst)
	p := sillproblem.New(sillproblem.Overload, "the queue is full and the organisation is above its share.")
	return Refusal{Entry: e, Problem: p.WithRetryAfter(max(wait, time.Second))}
}

// mostAboveShare returns the organisation with the most waiting entries per
// weight, summed over both classes, in the class where more of them wait.
func (q *Queue) mostAboveShare() *organisation {
	var worst *organisation
	highest := -1.0
	for i := range q.classes {
		for _, o := range q.classes[i].organisations {
			if o.waiting == 0 {
				continue
			}
			other := q.classes[1-i].waitingCount(o.id)
			perWeight := float64(o.waiting+other) / o.weight
			larger := worst != nil && worst.id == o.id && o.waiting >= worst.waiting
			if perWeight > highest || larger {
				worst, highest = o, perWeight
			}
		}
	}
	return worst
}

// Next starts the next entry if a slot is free and an entry waits. It also
// returns the entries that it refused because they would miss their deadlines
// here.
func (q *Queue) Next(now time.Time) (Entry, []Refusal, bool) {
	dropped := q.shed(now)
	if len(q.running) >= q.limit.value() {
		q.limit.saturated = q.limit.saturated || len(q.waiting) > 0
		return Entry{}, dropped, false
	}
	c := q.pickClass(now)
	if c != nil {
		c = q.takeToken(now, c)
	}
	if c == nil {
		return Entry{}, dropped, false
	}
	f := c.nextFlow(q.mean)
	e := c.pop(f)
	delete(q.waiting, e.ID)
	q.start(c, f, e)
	return e, dropped, true
}

// pickClass returns the class that runs next, or nil.
func (q *Queue) pickClass(now time.Time) *class {
	interactive, rollouts := &q.classes[Interactive], &q.classes[Rollout]
	rolloutReady := rollouts.waiting > 0 && rollouts.running < q.rolloutSlots(now)
	switch {
	case interactive.waiting == 0 && !rolloutReady:
		return nil
	case interactive.waiting == 0:
		return rollouts
	case rolloutReady && q.credit > 0:
		return rollouts
	default:
		return interactive
	}
}

// rolloutSlots returns the number of slots that rollouts may use. Rollouts run
// for a long time, so some slots stay free for interactive entries while these
// keep arriving.
func (q *Queue) rolloutSlots(now time.Time) int {
	n := q.limit.value()
	if q.lastInteractive.IsZero() || now.Sub(q.lastInteractive) > interactiveReservation {
		return n
	}
	return n - int(q.cfg.RolloutFloor*float64(n))
}

func (q *Queue) start(c *class, f *flow, e Entry) {
	re := &runningEntry{entry: e, flow: f, charge: f.organisation.expectedServiceTime(e, q.mean)}
	re.contended = q.classes[1-e.Class].waiting > 0
	c.begin(f, re.charge)
	q.addCredit(re, re.charge)
	q.running[e.ID] = re
}

// addCredit adjusts the credit of rollouts for seconds of service of a
// contended entry.
func (q *Queue) addCredit(re *runningEntry, seconds float64) {
	switch {
	case !re.contended:
	case re.entry.Class == Interactive:
		q.credit += q.cfg.RolloutFloor * seconds
	default:
		q.credit -= (1 - q.cfg.RolloutFloor) * seconds
	}
	if q.classes[Rollout].waiting == 0 {
		q.credit = min(q.credit, 0)
	}
}

// Done ends a running entry and corrects its charge to the actual service time.
// An unknown id is ignored.
func (q *Queue) Done(id sillid.AttemptID, r Result) {
	re, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	correction := r.ServiceTime.Seconds() - re.charge
	re.flow.organisation.class.end(re.flow, correction)
	q.addCredit(re, correction)
	if r.Overloaded {
		q.limit.observeOverload()
		return
	}
	re.flow.organisation.mean.add(r.ServiceTime.Seconds())
	q.mean.add(r.ServiceTime.Seconds())
	q.limit.observeLatency(r.Latency.Seconds())
}

// Cancel removes a waiting entry from the queue and reports whether it was
// there.
func (q *Queue) Cancel(id sillid.AttemptID) bool {
	f, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	f.organisation.class.remove(f, id)
	return true
}

// Expire removes and returns every waiting entry whose deadline has passed.
func (q *Queue) Expire(now time.Time) []Refusal {
	var dropped []Refusal
	for i := range q.classes {
		for _, e := range q.classes[i].expired(now) {
			q.Cancel(e.ID)
			p := sillproblem.New(sillproblem.DeadlinePassed, "the deadline passed in the queue.")
			dropped = append(dropped, Refusal{Entry: e, Problem: p})
		}
	}
	return dropped
}

// Snapshot returns the current state.
func (q *Queue) Snapshot() Snapshot {
	s := Snapshot{
		Running:         len(q.running),
		Limit:           q.limit.value(),
		MeanServiceTime: time.Duration(q.mean.value * float64(time.Second)),
	}
	for i := range q.classes {
		s.Waiting[i] = q.classes[i].waiting
	}
	return s
}
