package silltarget

import (
	"math"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Query selects the targets that a request may be sent to.
type Query struct {
	Pool sillid.PoolID
	// Zone is the preferred availability zone: targets of other zones cost slightly
	// more (crossZoneCost).
	Zone sillid.ZoneID
	// Exclude holds targets that must not be picked.
	Exclude map[sillid.TargetID]bool
	// Model and MinVersion exclude targets with older weights. Without a model,
	// any weights are accepted.
	Model      sillid.ModelID
	MinVersion sillid.WeightVersion
	// ExactVersion, if not 0, is the only accepted version.
	ExactVersion sillid.WeightVersion
	// PreferNewest ranks targets by the weight version of the model before all else.
	PreferNewest bool
	// Prefer is picked before other targets if it is eligible; PreferNewest takes
	// precedence.
	Prefer sillid.TargetID
	// FreeOnly excludes targets without a free slot. Otherwise a request may
	// queue at its target.
	FreeOnly bool
	// MaxResponseTime, if not 0, excludes targets whose expected response time is
	// longer. It is for targets whose unit of work is a whole request.
	MaxResponseTime time.Duration
	// IncludeBackingOff also accepts targets in backoff.
	IncludeBackingOff bool
	// MaxUnitLatency, if not 0, excludes targets whose unit latency is unknown or
	// not below it.
	MaxUnitLatency time.Duration
	// Class is the class of the requests.
	Class sillrate.Class
	// IgnoreLimits also accepts targets for which requests get no permit now.
	IgnoreLimits bool
	// AttemptTime, if not 0, is how long an attempt takes. FreeSlots then counts no more
	// slots of a target than its limit can keep in use.
	AttemptTime time.Duration
}

// Excluding returns a copy of a set of targets with one more.
func Excluding(set map[sillid.TargetID]bool, id sillid.TargetID) map[sillid.TargetID]bool {
	larger := map[sillid.TargetID]bool{id: true}
	for other := range set {
		larger[other] = true
	}
	return larger
}

// Grant is a target picked for one attempt. The caller returns it with Release.
type Grant struct {
	ID      sillid.TargetID
	Address string
	// StartedAt is when the run of the target started that was picked.
	StartedAt time.Time
	// Versions are the weight versions of the target when it was picked.
	Versions map[sillid.ModelID]sillid.WeightVersion
	// Limited is whether the target names a limit on requests, so that the attempt needs a
	// permit.
	Limited bool

	target *target
	// utilisation is the utilisation of the target with this attempt counted.
	utilisation float64
}

// Pick returns the best target for an attempt, or false if none is eligible.
func (d *Directory) Pick(now time.Time, q Query) (Grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	meanLatency, meanServiceTime := d.meanUnitLatency(q.Pool), d.meanServiceTime(q.Pool)
	var best candidate
	for _, t := range d.targets {
		if !t.isEligible(now, &q, meanServiceTime) {
			continue
		}
		c := candidate{target: t, cost: d.cost(now, &q, meanLatency, t)}
		if best.target == nil || c.isBetter(&q, &best) {
			best = c
		}
	}
	return best.grant(now)
}

// candidate is an eligible target with its cost.
type candidate struct {
	*target
	cost float64
}

// grant returns a grant of the candidate, or false if there is none.
func (c *candidate) grant(now time.Time) (Grant, bool) {
	best := c.target
	if best == nil {
		return Grant{}, false
	}
	best.running++
	return Grant{
		ID: best.entry.ID, Address: best.entry.Address, StartedAt: best.entry.StartedAt, Versions: best.entry.Versions,
		Limited: best.limited(), target: best, utilisation: best.utilisation(now, 0),
	}, true
}

// EarliestResponse returns the lowest expected response time of the eligible
// targets; 0 if it is unknown. It ignores q.MaxResponseTime.
func (d *Directory) EarliestResponse(now time.Time, q Query) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.MaxResponseTime = 0
	meanServiceTime := d.meanServiceTime(q.Pool)
	earliest := time.Duration(0)
	for _, t := range d.targets {
		if !t.isEligible(now, &q, meanServiceTime) {
			continue
		}
		if e := t.expectedResponseTime(now, meanServiceTime); earliest == 0 || e < earliest {
			earliest = e
		}
	}
	return earliest
}

// AnyEligible returns whether some target may serve the query's requests, now or
// once it has a free slot, its backoff has ended and its limit allows it.
func (d *Directory) AnyEligible(now time.Time, q Query) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.FreeOnly, q.IncludeBackingOff, q.IgnoreLimits = false, true, true
	for _, t := range d.targets {
		if t.isEligible(now, &q, 0) {
			return true
		}
	}
	return false
}

// FreeSlots returns the number of free slots at the eligible targets.
func (d *Directory) FreeSlots(now time.Time, q Query) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.FreeOnly = true
	free := 0
	for _, t := range d.targets {
		if t.isEligible(now, &q, 0) {
			free += max(t.usableSlots(q.AttemptTime)-t.load(now), 0)
		}
	}
	return free
}

// usableSlots returns the number of slots that attempts of some length can use: all, or those
// that the target's limit keeps in use.
func (t *target) usableSlots(attemptTime time.Duration) int {
	if !t.limited() || attemptTime == 0 {
		return t.entry.Slots
	}
	inUse := float64(t.limit.limit) * attemptTime.Seconds()
	return max(int(math.Ceil(min(inUse, float64(t.entry.Slots)))), t.running)
}

// meanUnitLatency returns the mean of the known unit latencies of a pool, or 0.
func (d *Directory) meanUnitLatency(pool sillid.PoolID) time.Duration {
	return d.mean(pool, func(t *target) time.Duration { return t.unitLatency })
}

// meanServiceTime returns the mean of the known service times of a pool, or 0.
func (d *Directory) meanServiceTime(pool sillid.PoolID) time.Duration {
	return d.mean(pool, func(t *target) time.Duration { return t.serviceTime })
}

// mean returns the mean of a duration over the targets of a pool for which it is
// known, or 0.
func (d *Directory) mean(pool sillid.PoolID, of func(*target) time.Duration) time.Duration {
	sum, known := time.Duration(0), 0
	for _, t := range d.targets {
		if t.entry.Pool == pool && of(t) > 0 {
			sum += of(t)
			known++
		}
	}
	if known == 0 {
		return 0
	}
	return sum / time.Duration(known)
}

// isBetter returns whether c is picked before o. Among equally preferred targets
// the one with the lower cost wins, so slow targets get fewer requests.
func (c *candidate) isBetter(q *Query, o *candidate) bool {
	if version, other := c.entry.Versions[q.Model], o.entry.Versions[q.Model]; q.PreferNewest && version != other {
		return version > other
	}
	if preferred, other := c.entry.ID == q.Prefer, o.entry.ID == q.Prefer; preferred != other {
		return preferred
	}
	if c.cost != o.cost {
		return c.cost < o.cost
	}
	if c.tieBreak != o.tieBreak {
		return c.tieBreak < o.tieBreak
	}
	return c.entry.ID < o.entry.ID
}

const (
	// crossZoneCost is the relative cost added for a target in another availability
	// zone: traffic between zones costs money and adds delay.
	crossZoneCost = 0.05
	// connectCost is the relative cost added for a target to which this process has no
	// idle connection. Targets take few connections, and a new one holds up a slot.
	connectCost = 0.5
)

// cost returns the utilisation of the target with one more request, multiplied by
// its unit latency. meanLatency replaces an unknown unit latency.
func (d *Directory) cost(now time.Time, q *Query, meanLatency time.Duration, t *target) float64 {
	cost := (float64(t.load(now)) + 1) / float64(max(t.entry.Slots, 1))
	latency := t.unitLatency
	if latency == 0 {
		latency = meanLatency
	}
	if latency > 0 {
		cost *= latency.Seconds()
	}
	if q.Zone != "" && t.entry.Zone != q.Zone {
		cost *= 1 + crossZoneCost
	}
	if d.cfg.Connected != nil && !d.cfg.Connected(t.entry.Address) {
		cost *= 1 + connectCost
	}
	return cost
}
