package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// lateAlready returns a problem if the entry is not expected to end before its
// deadline, even if it starts now. If it would be late only by a long service
// time, another target, where the organisation has no queue, may still make it.
func (q *Queue) lateAlready(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	if e.Deadline.IsZero() {
		return nil
	}
	left := e.Deadline.Sub(now).Seconds()
	service := q.serviceOf(e, o)
	if service <= left {
		return nil
	}
	if o.expected(e, q.mean) < left {
		return q.elsewhere(now, e, o)
	}
	q.decay(e, o)
	p := sillproblem.New(sillproblem.DeadlinePassed, "%.1f s are left, and such requests take %.1f s.", left, service)
	return p.WithRetryAfter(q.retryAfter(o))
}

// waitedLong returns a problem if the entry has spent most of its patience here.
func (q *Queue) waitedLong(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	if e.Deadline.IsZero() || e.Deadline.Sub(now).Seconds() >= lastPart*e.patience.Seconds() {
		return nil
	}
	return q.elsewhere(now, e, o)
}

// elsewhere refuses an entry that this target serves too late and that another
// may still serve in time.
func (q *Queue) elsewhere(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	p := sillproblem.New(sillproblem.Overload, "the organisation's queue leaves too little of the %.1f s.", e.Deadline.Sub(now).Seconds())
	return p.WithRetryAfter(q.retryAfter(o))
}

// retryAfter is the time until the organisation's queue is short again.
func (q *Queue) retryAfter(o *organisation) time.Duration {
	return max(q.drainTime(o), time.Second)
}

// shed drops the oldest entries of each lane while they are too late here, so
// that their refusal comes while another target has time for them.
func (q *Queue) shed(now time.Time) []Refusal {
	var dropped []Refusal
	for i := range q.classes {
		c := &q.classes[i]
		for _, o := range c.organisations {
			for _, l := range o.lanes {
				dropped = append(dropped, q.shedLane(now, c, l)...)
			}
		}
	}
	return dropped
}

func (q *Queue) shedLane(now time.Time, c *class, l *lane) []Refusal {
	var dropped []Refusal
	for len(l.entries) > 0 {
		e := l.entries[0]
		p := q.lateAlready(now, e, l.organisation)
		if p == nil {
			p = q.waitedLong(now, e, l.organisation)
		}
		if p == nil {
			break
		}
		c.pop(l)
		delete(q.waiting, e.ID)
		dropped = append(dropped, Refusal{Entry: e, Problem: p})
	}
	return dropped
}

// lateBehindQueue returns a problem if the organisation's own queue leaves the
// entry too little time.
func (q *Queue) lateBehindQueue(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	if e.Deadline.IsZero() {
		return nil
	}
	left := e.Deadline.Sub(now)
	wait := q.drainTime(o) + time.Duration(q.serviceOf(e, o)*float64(time.Second))
	if wait <= left {
		return nil
	}
	p := sillproblem.New(sillproblem.Overload, "queue and service need %.1f s, and %.1f s are left.", wait.Seconds(), left.Seconds())
	return p.WithRetryAfter(max(wait-left, time.Second))
}

// serviceOf is the service time in seconds by which an entry is judged. Where
// the organisation's queue is long, that is a long one, so that little of its
// share is wasted on late answers; others are given the chance.
func (q *Queue) serviceOf(e Entry, o *organisation) float64 {
	if q.drainTime(o) <= e.patience/shortQueue {
		return o.expected(e, q.mean)
	}
	return o.longest(e, q.mean)
}

// decay lowers the mean by which an entry was judged, so that a mean which grew
// too large can't refuse everything for good.
func (q *Queue) decay(e Entry, o *organisation) {
	switch {
	case e.ExpectedServiceTime > 0:
	case o.mean.known:
		o.mean.decay()
	default:
		q.mean.decay()
	}
}

// drainTime is how long the organisation's waiting entries of the class need at
// the share that it keeps if every other organisation goes on asking.
func (q *Queue) drainTime(o *organisation) time.Duration {
	work := o.work(q.mean)
	if work == 0 {
		return 0
	}
	rate := float64(q.limit.value()) * q.classShare(o.class)
	// What the organisation has not used of its share runs before others.
	credit := min(work, max(0, o.class.virtual-o.tag)*o.weight)
	wait := credit/rate + (work-credit)/(rate*o.weight/o.class.activeWeight())
	return time.Duration(wait * float64(time.Second))
}

func (q *Queue) classShare(c *class) float64 {
	rollouts := &q.classes[Rollout]
	if c == rollouts && q.classes[Interactive].waiting > 0 {
		// With no floor set, rollouts still get the gaps between interactive entries.
		return max(q.cfg.RolloutFloor, minimalShare)
	}
	if c != rollouts && rollouts.waiting > 0 {
		return 1 - q.cfg.RolloutFloor
	}
	return 1
}

// allowanceServices is the credit, in mean service times, that an idle
// organisation keeps.
const allowanceServices = 128

// lastPart is the part of its patience that an entry has left when it is sent
// to another target.
const lastPart = 0.4

// shortQueue is the part of an entry's patience below which the time to drain
// its organisation's queue is short.
const shortQueue = 6

// minimalShare keeps drain times finite where a class has no floor.
const minimalShare = 0.01
