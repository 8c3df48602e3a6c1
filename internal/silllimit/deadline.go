package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// checkServiceTime returns a problem if the entry is not expected to complete
// before its deadline even if it starts now. The problem is Overload, which can
// be retried, if the expected service time fits the remaining time and only the
// conservative estimate does not: a target where the organisation has no queue
// may still complete the entry in time.
func (q *Queue) checkServiceTime(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	if e.Deadline.IsZero() {
		return nil
	}
	remaining := e.Deadline.Sub(now).Seconds()
	service := q.admissionServiceTime(e, o)
	if service <= remaining {
		return nil
	}
	if o.expectedServiceTime(e, q.mean) < remaining {
		return q.overloadProblem(now, e, o)
	}
	q.decayMean(e, o)
	p := sillproblem.New(sillproblem.DeadlinePassed, "%.1f s are left, and such requests take %.1f s.", remaining, service)
	return p.WithRetryAfter(q.retryAfter(o))
}

// checkTimeWaited returns a problem if the entry has waited here for most of
// its time budget.
func (q *Queue) checkTimeWaited(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	if e.Deadline.IsZero() || e.Deadline.Sub(now).Seconds() >= rerouteFraction*e.timeBudget.Seconds() {
		return nil
	}
	return q.overloadProblem(now, e, o)
}

// overloadProblem returns a retryable problem for an entry that this target
// would complete too late and another target may complete in time.
func (q *Queue) overloadProblem(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	p := sillproblem.New(sillproblem.Overload, "the organisation's queue leaves too little of the %.1f s.", e.Deadline.Sub(now).Seconds())
	return p.WithRetryAfter(q.retryAfter(o))
}

// retryAfter returns the time until the organisation's queue has drained; at
// least a second.
func (q *Queue) retryAfter(o *organisation) time.Duration {
	return max(q.drainTime(o), time.Second)
}

// shed removes the oldest entries of each flow that would miss their deadlines
// here. It does so before the deadline, so that another target still has time
// for them.
func (q *Queue) shed(now time.Time) []Refusal {
	var dropped []Refusal
	for i := range q.classes {
		c := &q.classes[i]
		for _, o := range c.organisations {
			for _, f := range o.flows {
				dropped = append(dropped, q.shedFlow(now, c, f)...)
			}
		}
	}
	return dropped
}

func (q *Queue) shedFlow(now time.Time, c *class, f *flow) []Refusal {
	var dropped []Refusal
	for len(f.entries) > 0 {
		e := f.entries[0]
		p := q.checkServiceTime(now, e, f.organisation)
		if p == nil {
			p = q.checkTimeWaited(now, e, f.organisation)
		}
		if p == nil {
			break
		}
		c.pop(f)
		delete(q.waiting, e.ID)
		dropped = append(dropped, Refusal{Entry: e, Problem: p})
	}
	return dropped
}

// checkBacklog returns a problem if the organisation's own backlog leaves the
// entry too little time before its deadline.
func (q *Queue) checkBacklog(now time.Time, e Entry, o *organisation) *sillproblem.Problem {
	if e.Deadline.IsZero() {
		return nil
	}
	remaining := e.Deadline.Sub(now)
	wait := q.drainTime(o) + time.Duration(q.admissionServiceTime(e, o)*float64(time.Second))
	if wait <= remaining {
		return nil
	}
	p := sillproblem.New(sillproblem.Overload, "queue and service need %.1f s, and %.1f s are left.", wait.Seconds(), remaining.Seconds())
	return p.WithRetryAfter(max(wait-remaining, time.Second))
}

// admissionServiceTime returns the service time in seconds that is compared
// with the remaining time of an entry. If the organisation's queue is long, it
// is a conservative estimate, so that little of the organisation's share is
// wasted on responses that miss their deadlines; the refused entries can run on
// other targets.
func (q *Queue) admissionServiceTime(e Entry, o *organisation) float64 {
	if q.drainTime(o) <= e.timeBudget/shortQueueDivisor {
		return o.expectedServiceTime(e, q.mean)
	}
	return o.longServiceTime(e, q.mean)
}

// decayMean lowers the mean service time because of which an entry was refused.
// Refused entries add no samples, so a mean that is too high would otherwise
// refuse every entry permanently.
func (q *Queue) decayMean(e Entry, o *organisation) {
	switch {
	case e.ExpectedServiceTime > 0:
	case o.mean.known:
		o.mean.decay()
	default:
		q.mean.decay()
	}
}

// drainTime returns the time that the organisation's waiting entries of the
// class need at the share that it gets while all other active organisations
// stay active.
func (q *Queue) drainTime(o *organisation) time.Duration {
	backlog := o.backlog(q.mean)
	if backlog == 0 {
		return 0
	}
	rate := float64(q.limit.value()) * q.classShare(o.class)
	// The unused part of the organisation's share runs before the entries of
	// others.
	credit := min(backlog, max(0, o.class.virtualTime-o.startTag)*o.weight)
	wait := credit/rate + (backlog-credit)/(rate*o.weight/o.class.activeWeight())
	return time.Duration(wait * float64(time.Second))
}

func (q *Queue) classShare(c *class) float64 {
	rollouts := &q.classes[Rollout]
	if c == rollouts && q.classes[Interactive].waiting > 0 {
		// Without a floor, rollouts still run in the gaps between interactive entries.
		return max(q.cfg.RolloutFloor, minClassShare)
	}
	if c != rollouts && rollouts.waiting > 0 {
		return 1 - q.cfg.RolloutFloor
	}
	return 1
}

// idleCreditServiceTimes is the maximum credit of an idle organisation, in mean
// service times.
const idleCreditServiceTimes = 128

// rerouteFraction is the remaining fraction of its time budget below which a
// waiting entry is refused so that another target can run it.
const rerouteFraction = 0.4

// shortQueueDivisor sets how long a short queue is: it drains within the
// entry's time budget divided by this number.
const shortQueueDivisor = 6

// minClassShare keeps drain times finite where a class has no floor.
const minClassShare = 0.01
