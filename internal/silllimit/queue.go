package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Start-time fair queueing over service time: each organisation of a class has
// a tag that grows by service time over weight, and the waiting organisation
// with the lowest tag runs next; among organisations that are owed service, the
// most urgent. The charge is the expected service time; Done
// corrects it by the real one. Inside an organisation the same rule shares the
// rollouts between trainers.
//
// Interactive entries go first. While both classes wait, each second of
// interactive service earns rollouts their floor as credit, and positive credit
// lets a rollout run first.

// interactiveMemory is how long slots stay reserved after an interactive entry.
const interactiveMemory = time.Minute

// Queue decides which entry runs next on one target. It is not safe for
// concurrent use; Gate wraps it for that.
type Queue struct {
	cfg     Config
	classes [classes]class
	waiting map[sillid.AttemptID]*lane
	running map[sillid.AttemptID]*job
	limit   limit
	// credit is the service time in seconds that rollouts are owed while both
	// classes wait; it is 0 or below when no rollout waits.
	credit float64
	// mean is the mean service time over all entries.
	mean            average
	lastInteractive time.Time
}

// job is a running entry with what it was charged.
type job struct {
	entry Entry
	lane  *lane
	// charge is in seconds.
	charge float64
	// contended is true if the other class waited when the entry started.
	contended bool
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue {
	q := &Queue{
		cfg:     cfg,
		waiting: make(map[sillid.AttemptID]*lane),
		running: make(map[sillid.AttemptID]*job),
		limit:   newLimit(cfg.MaxConcurrent, cfg.LatencyTolerance),
	}
	for i := range q.classes {
		q.classes[i].index = make(map[sillid.OrganisationID]*organisation)
	}
	return q
}

// Submit adds an entry. It returns the entries that are refused now, which may
// include the new one.
func (q *Queue) Submit(now time.Time, e Entry) []Refusal {
	c := &q.classes[e.Class]
	l := c.lane(e)
	if !e.Deadline.IsZero() {
		e.patience = e.Deadline.Sub(now)
	}
	if e.Class == Interactive {
		q.lastInteractive = now
	}
	if p := q.lateAlready(now, e, l.organisation); p != nil {
		return []Refusal{{Entry: e, Problem: p}}
	}
	if p := q.lateBehindQueue(now, e, l.organisation); p != nil {
		return []Refusal{{Entry: e, Problem: p}}
	}
	c.push(l, e, allowanceServices*q.mean.value)
	q.waiting[e.ID] = l
	if len(q.waiting) <= q.cfg.MaxWaiting {
		return nil
	}
	if dropped := q.Expire(now); len(dropped) > 0 {
		return dropped
	}
	return []Refusal{q.evict()}
}

// evict refuses the newest entry of the organisation that is furthest above its
// weighted share of the queue. With more entries than places, that
// organisation has more than its share, so no one else is ever refused.
func (q *Queue) evict() Refusal {
	worst := q.furthestAboveShare()
	c := worst.class
	l := worst.longestLane()
	e := c.popNewest(l)
	delete(q.waiting, e.ID)
	wait := q.drainTime(worst)
	p := sillproblem.New(sillproblem.Overload, "the queue is full and the organisation is above its share.")
	return Refusal{Entry: e, Problem: p.WithRetryAfter(max(wait, time.Second))}
}

// furthestAboveShare sums both classes of an organisation and returns its
// larger part.
func (q *Queue) furthestAboveShare() *organisation {
	var worst *organisation
	highest := -1.0
	for i := range q.classes {
		for _, o := range q.classes[i].organisations {
			if o.waiting == 0 {
				continue
			}
			other := q.classes[1-i].waitingOf(o.id)
			above := float64(o.waiting+other) / o.weight
			larger := worst != nil && worst.id == o.id && o.waiting >= worst.waiting
			if above > highest || larger {
				worst, highest = o, above
			}
		}
	}
	return worst
}

// Next starts the entry that runs next, if a slot is free and one waits. It
// also returns the entries that it dropped on the way, since they have become
// late here.
func (q *Queue) Next(now time.Time) (Entry, []Refusal, bool) {
	dropped := q.shed(now)
	if len(q.running) >= q.limit.value() {
		q.limit.reached = q.limit.reached || len(q.waiting) > 0
		return Entry{}, dropped, false
	}
	c := q.pick(now)
	if c == nil {
		return Entry{}, dropped, false
	}
	l := c.nextLane(q.mean)
	e := c.pop(l)
	delete(q.waiting, e.ID)
	q.start(c, l, e)
	return e, dropped, true
}

// pick returns the class that runs next, or nil.
func (q *Queue) pick(now time.Time) *class {
	interactive, rollouts := &q.classes[Interactive], &q.classes[Rollout]
	rolloutMay := rollouts.waiting > 0 && rollouts.running < q.rolloutSlots(now)
	switch {
	case interactive.waiting == 0 && !rolloutMay:
		return nil
	case interactive.waiting == 0:
		return rollouts
	case rolloutMay && q.credit > 0:
		return rollouts
	default:
		return interactive
	}
}

// rolloutSlots is the number of slots that rollouts may hold. Rollouts run
// long, so some slots stay free while interactive entries keep coming.
func (q *Queue) rolloutSlots(now time.Time) int {
	n := q.limit.value()
	if q.lastInteractive.IsZero() || now.Sub(q.lastInteractive) > interactiveMemory {
		return n
	}
	return n - int(q.cfg.RolloutFloor*float64(n))
}

func (q *Queue) start(c *class, l *lane, e Entry) {
	j := &job{entry: e, lane: l, charge: l.organisation.expected(e, q.mean)}
	j.contended = q.classes[1-e.Class].waiting > 0
	c.begin(l, j.charge)
	q.addCredit(j, j.charge)
	q.running[e.ID] = j
}

// addCredit moves credit for seconds of service of a contended job.
func (q *Queue) addCredit(j *job, seconds float64) {
	switch {
	case !j.contended:
	case j.entry.Class == Interactive:
		q.credit += q.cfg.RolloutFloor * seconds
	default:
		q.credit -= (1 - q.cfg.RolloutFloor) * seconds
	}
	if q.classes[Rollout].waiting == 0 {
		q.credit = min(q.credit, 0)
	}
}

// Done ends a running entry and corrects what it was charged. An unknown id is
// ignored.
func (q *Queue) Done(id sillid.AttemptID, r Result) {
	j, ok := q.running[id]
	if !ok {
		return
	}
	delete(q.running, id)
	correction := r.ServiceTime.Seconds() - j.charge
	j.lane.organisation.class.end(j.lane, correction)
	q.addCredit(j, correction)
	if r.Overloaded {
		q.limit.overloaded()
		return
	}
	j.lane.organisation.mean.add(r.ServiceTime.Seconds())
	q.mean.add(r.ServiceTime.Seconds())
	q.limit.observe(r.Latency.Seconds())
}

// Cancel takes a waiting entry out of the queue; it tells whether it was there.
func (q *Queue) Cancel(id sillid.AttemptID) bool {
	l, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	l.organisation.class.remove(l, id)
	return true
}

// Expire drops every waiting entry whose deadline has passed.
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

// Snapshot returns the present state.
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
