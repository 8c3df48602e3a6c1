package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// rateClasses maps the classes of entries to those of requests under a limit.
var rateClasses = [numClasses]sillrate.Class{Interactive: sillrate.Interactive, Rollout: sillrate.Background}

// setRate sets the requests a second that the target takes; 0 stands for no limit. It returns
// whether that is a change.
func (q *Queue) setRate(now time.Time, limit sillrate.PerSecond) bool {
	switch {
	case q.rate == nil && limit == 0, q.rate != nil && q.rate.Rate() == limit:
		return false
	case limit == 0:
		q.rate = nil
	case q.rate == nil:
		q.rate = sillrate.NewBucket(now, limit)
	default:
		q.rate.SetRate(now, limit)
	}
	return true
}

// checkRate returns a problem if the target's limit on requests leaves the entry too little
// of its time. Another target may take it sooner.
func (q *Queue) checkRate(now time.Time, e Entry) *sillproblem.Problem {
	if q.rate == nil || e.Deadline.IsZero() {
		return nil
	}
	ahead := q.classes[Interactive].waiting
	longest := e.timeBudget / shortQueueDivisor
	if e.Class == Rollout {
		ahead += q.classes[Rollout].waiting
		longest = time.Duration((1 - rerouteFraction) * float64(e.timeBudget))
	}
	wait := q.rate.Delay(now, rateClasses[e.Class]) + time.Duration(float64(ahead)/float64(q.rate.Rate())*float64(time.Second))
	if wait <= longest {
		return nil
	}
	p := sillproblem.New(sillproblem.Overload, "the target takes %g requests a second, and %d wait.", float64(q.rate.Rate()), ahead)
	p.AtLimit = true
	return p.WithRetryAfter(wait)
}

// takeToken returns the class that may start an entry under the target's limit on requests:
// c, or interactive entries if rollouts have to wait; nil if none may.
func (q *Queue) takeToken(now time.Time, c *class) *class {
	if q.rate == nil {
		return c
	}
	interactive := &q.classes[Interactive]
	if c != interactive {
		if ok, _ := q.rate.Take(now, sillrate.Background); ok {
			return c
		}
		if interactive.waiting == 0 {
			return nil
		}
	}
	if ok, _ := q.rate.Take(now, sillrate.Interactive); ok {
		return interactive
	}
	return nil
}

// tokenDelay returns the time until a waiting entry gets a token, and false if none waits
// for one.
func (q *Queue) tokenDelay(now time.Time) (time.Duration, bool) {
	switch {
	case q.rate == nil, len(q.waiting) == 0:
		return 0, false
	case q.classes[Interactive].waiting > 0:
		return q.rate.Delay(now, sillrate.Interactive), true
	}
	return q.rate.Delay(now, sillrate.Background), true
}

// SetRate sets the requests a second that the target takes; 0 stands for no limit. It returns
// whether that is a change.
func (g *Gate) SetRate(limit sillrate.PerSecond) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := g.queue.setRate(g.now(), limit)
	g.startWaiting()
	return changed
}

// minTokenDelay keeps the gate from looking for a token before it is there.
const minTokenDelay = time.Millisecond

// awaitToken starts waiting entries once there is a token for one. The caller holds g.mu.
func (g *Gate) awaitToken() {
	delay, waits := g.queue.tokenDelay(g.now())
	if !waits {
		return
	}
	delay = max(delay, minTokenDelay)
	if g.tokenTimer != nil {
		g.tokenTimer.Reset(delay)
		return
	}
	g.tokenTimer = time.AfterFunc(delay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.startWaiting()
	})
}
