package silltarget

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// In pools whose targets report how long work takes now, the cost of a target is the expected
// time until the request is finished there: its usual speed, the current slowdown, and the
// requests ahead. Targets share their instances with others, so a slowdown comes and goes within
// a second, and many gateways read the same report: a gateway picks the better of two random
// targets among those that cost nearly the same.

const (
	// slowdownHalfLife is the time in which a reported slowdown halves without a newer report.
	slowdownHalfLife = 200 * time.Millisecond
	// slowdownLeft is the least expected time until a reported slowdown ends; one that has
	// lasted for longer is expected to last as long again.
	slowdownLeft = 300 * time.Millisecond
	// usualWeight is the least weight of one observation in the usual speed of a target.
	usualWeight = 0.05
	// nearlyEqual is the ratio to the lowest cost up to which targets are sampled.
	nearlyEqual = 1.25
	// idleCost is the cost of a target without requests as a share of that of a full one, for
	// requests that do not slow each other down. A full target has no slot left for what other
	// gateways send at the same time.
	idleCost = 0.6
	// noticeableSlowdown is the slowdown from which its duration is counted.
	noticeableSlowdown = 1.2
)

// speedRecord holds the usual and the current speed of a target.
type speedRecord struct {
	// usual is the average time for one unit of work without queueing and without
	// slowdowns; 0 if unknown. observations counts what it comes from.
	usual        time.Duration
	observations int
	// slowdown is the last reported duration of work as a multiple of the usual one; 0 if
	// the target has reported none.
	slowdown   float64
	reportedAt time.Time
	// slowSince is since when each report has shown a noticeable slowdown; zero if the last
	// one did not.
	slowSince time.Time
}

// report records a reported duration of work in percent.
func (s *speedRecord) report(now time.Time, percent int) {
	s.slowdown, s.reportedAt = float64(percent)/100, now
	switch {
	case s.slowdown < noticeableSlowdown:
		s.slowSince = time.Time{}
	case s.slowSince.IsZero():
		s.slowSince = now
	}
}

// current returns the duration of work as a multiple of the usual one, decayed to now.
func (s *speedRecord) current(now time.Time) float64 {
	if s.slowdown == 0 {
		return 1
	}
	return 1 + (s.slowdown-1)*s.freshness(now)
}

func (s *speedRecord) freshness(now time.Time) float64 {
	return math.Exp2(-max(now.Sub(s.reportedAt), 0).Seconds() / slowdownHalfLife.Seconds())
}

// observe adds a measured time for one unit of work without queueing.
func (s *speedRecord) observe(now time.Time, unit time.Duration) {
	s.observations++
	weight := max(1/float64(s.observations), usualWeight)
	s.usual += time.Duration(weight * (float64(unit)/s.current(now) - float64(s.usual)))
}

// workTime returns the expected time of work that usually takes some time. A slowdown is
// over before long work is.
func (s *speedRecord) workTime(now time.Time, usual time.Duration) time.Duration {
	slowdown := s.current(now)
	extra := float64(usual) * (slowdown - 1)
	if slowdown > 1 {
		left := slowdownLeft
		if !s.slowSince.IsZero() {
			left = max(left, s.reportedAt.Sub(s.slowSince))
		}
		extra = min(extra, (1-1/slowdown)*float64(left))
	}
	return usual + time.Duration(extra)
}

// meanUsual returns the mean of the known usual times of a pool, or 0.
func (d *Directory) meanUsual(pool sillid.PoolID) time.Duration {
	return d.mean(pool, func(t *target) time.Duration { return t.speed.usual })
}

// finishCost returns the expected time until a request is finished at a target, in seconds.
// meanUsual replaces an unknown usual time.
func (d *Directory) finishCost(now time.Time, q *Query, t *target, meanUsual time.Duration) float64 {
	usual := t.speed.usual
	if q.Batched {
		usual = d.aloneTime(t)
	}
	if usual == 0 {
		usual = meanUsual
	}
	if usual == 0 {
		usual = time.Second
	}
	work := usual
	if q.WorkTime > 0 && meanUsual > 0 {
		work = time.Duration(float64(q.WorkTime) * usual.Seconds() / meanUsual.Seconds())
	}
	if q.Batched {
		return d.batchCost(now, q, t, t.speed.workTime(now, work))
	}
	return t.speed.workTime(now, work).Seconds() * loadFactor(t.utilisation(now, 1))
}

// loadFactor returns the factor by which a utilisation, with the request counted, delays a request
// that is not batched.
func loadFactor(utilisation float64) float64 {
	if utilisation >= 1 {
		return utilisation
	}
	return idleCost + (1-idleCost)*utilisation
}

// sample returns the better of two random candidates among those that rank like the best one
// and cost nearly the same.
func sample(random *rand.Rand, q *Query, best *candidate, list []candidate) candidate {
	near := list[:0]
	for _, c := range list {
		if c.ranksLike(q, best) && c.cost <= best.cost*nearlyEqual {
			near = append(near, c)
		}
	}
	// The directory has no order; a seed decides alike in each run.
	slices.SortFunc(near, func(a, b candidate) int { return cmp.Compare(a.entry.ID, b.entry.ID) })
	a, b := near[random.IntN(len(near))], near[random.IntN(len(near))]
	if a.cost <= b.cost {
		return a
	}
	return b
}

// ranksLike returns whether only the costs of two candidates differ.
func (c *candidate) ranksLike(q *Query, o *candidate) bool {
	return c.misses == o.misses && c.left == o.left &&
		(!q.PreferNewest || c.entry.Versions[q.Model] == o.entry.Versions[q.Model])
}

// misses returns whether a request would not be finished at a target when it is due.
func (t *target) misses(now time.Time, q *Query, meanUsual time.Duration) bool {
	if q.WorkTime <= 0 || q.DueIn <= 0 || t.speed.usual == 0 || meanUsual == 0 {
		return false
	}
	work := time.Duration(float64(q.WorkTime) * t.speed.usual.Seconds() / meanUsual.Seconds())
	return t.speed.workTime(now, work) > q.DueIn
}

// UnitLatencies returns the average time that a target takes for one unit of work, and the mean
// of its pool; 0 if unknown.
func (d *Directory) UnitLatencies(id sillid.TargetID) (own, mean time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if t == nil {
		return 0, 0
	}
	return t.unitLatency, d.meanUnitLatency(t.entry.Pool)
}
