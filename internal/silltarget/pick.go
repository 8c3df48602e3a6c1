package silltarget

import (
	"math"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Query selects the targets that a request may be sent to.
type Query struct {
	Pool sillid.PoolID
	// Zone is the preferred availability zone: targets of other zones cost slightly
	// more (crossZoneCost).
	Zone sillid.ZoneID
	// Homes excludes the targets of other regions.
	Homes sillhome.Homes
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
	// Cached is a target that has cached a part of the request's prompt, and CachedSaving
	// the share of the request's work that is saved there; 0 to 1. In pools without CachedPrompts,
	// it is picked before other targets if it is eligible; PreferNewest takes precedence.
	Cached       sillid.TargetID
	CachedSaving float64
	// FreeOnly excludes targets without a free slot. Otherwise a request may
	// queue at its target.
	FreeOnly bool
	// MaxUtilisation, if not 0, excludes targets whose requests, with this one counted, exceed
	// that share of their slots, and bounds the requests sent since the load was reported:
	// other gateways send on the same report.
	MaxUtilisation float64
	// MaxResponseTime, if not 0, excludes targets whose expected response time is
	// longer. It is for targets whose unit of work is a whole request.
	MaxResponseTime time.Duration
	// IncludeBackingOff also accepts targets in backoff.
	IncludeBackingOff bool
	// MaxUnitLatency, if not 0, excludes targets whose unit latency is unknown or
	// not below it.
	MaxUnitLatency time.Duration
	// WorkTime is the expected time of the request at a target of mean speed, and DueIn the
	// time until it is due; 0 if unknown. A target that would miss it is picked last.
	WorkTime, DueIn time.Duration
	// MovingCost is the time that it costs to move the request to another target; 0 if it stays
	// where it is sent. A target that it would leave at once is picked last.
	MovingCost time.Duration
	// Batched is whether requests that run beside each other at a target slow each other down.
	Batched bool
	// Class is the class of the requests.
	Class sillrate.Class
	// Fills is whether the requests fill free slots as soon as there are any. This process
	// then sends only a part of what a cold target bears to one that it takes for warm:
	// others may fill the same slots, and the target may have turned cold unnoticed.
	Fills bool
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
	// Limited is whether the target names a limit on requests or may be cold, so that the
	// attempt needs a permit.
	Limited bool
	// Cold is set if the target may be cold.
	Cold *ColdGrant
	// permittedAt is when the permit of the attempt was asked for.
	permittedAt time.Time

	// Slowdown is how long work takes at the target as a multiple of the usual time, as far as
	// reported. MissesDue is whether the request is expected to miss its due time there.
	Slowdown  float64
	MissesDue bool

	target *target
	homes  sillhome.Homes
	// probe is whether the attempt probes a target that was ejected.
	probe bool
	// utilisation is the utilisation of the target with this attempt counted.
	utilisation float64
}

// Pick returns the best target for an attempt, or false if none is eligible.
func (d *Directory) Pick(now time.Time, q Query) (Grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	meanServiceTime := d.meanServiceTime(q.Pool)
	m := d.costModel(now, &q)
	var best candidate
	var list []candidate
	for _, t := range d.targets {
		if !t.isEligible(now, &q, meanServiceTime) {
			continue
		}
		c := m.candidate(t)
		if m.byFinish {
			list = append(list, c)
		}
		if best.target == nil || c.isBetter(&q, &best) {
			best = c
		}
	}
	if len(list) > 1 {
		d.markLeft(now, &q, list, m.meanUsual)
		best = list[0]
		for _, c := range list[1:] {
			if c.isBetter(&q, &best) {
				best = c
			}
		}
		best = sample(d.random, &q, &best, list)
		d.recordWork(&q)
	}
	return d.grant(now, &q, &best)
}

// costModel compares the targets of a query.
type costModel struct {
	directory *Directory
	now       time.Time
	query     *Query
	// byFinish is whether the targets are compared by the expected finish time, and saving
	// whether a cached prompt is a saving.
	byFinish, saving       bool
	meanLatency, meanUsual time.Duration
}

// costModel returns the model for the targets of a query. The caller holds d.mu.
func (d *Directory) costModel(now time.Time, q *Query) costModel {
	s := d.switchOf(q.Pool)
	return costModel{
		directory: d, now: now, query: q, byFinish: s.On(FinishTimes), saving: s.On(CachedPrompts),
		meanLatency: d.meanUnitLatency(q.Pool), meanUsual: d.meanUsual(q.Pool),
	}
}

func (m *costModel) candidate(t *target) candidate {
	c := candidate{target: t}
	isCached := t.entry.ID == m.query.Cached
	if m.byFinish {
		c.misses = t.misses(m.now, m.query, m.meanUsual)
		c.cost = m.directory.finishCost(m.now, m.query, t, m.meanUsual)
	} else {
		c.cost = m.directory.cost(m.now, m.meanLatency, t)
	}
	c.cost *= m.directory.distanceFactor(m.query, t)
	switch {
	case !isCached:
	case m.saving:
		c.cost *= 1 - m.query.CachedSaving
	default:
		c.preferred = true
	}
	return c
}

// candidate is an eligible target with its cost.
type candidate struct {
	*target
	cost float64
	// preferred is whether the target comes before others whatever it costs.
	preferred bool
	// misses is whether the request would not be finished there when it is due.
	misses bool
	// timeLeft is the expected time of the request there, and left whether it would leave the
	// target at once; both are set only for requests that can move.
	timeLeft time.Duration
	left     bool
}

// grant returns a grant of a candidate, or false if there is none. The caller holds d.mu.
func (d *Directory) grant(now time.Time, q *Query, c *candidate) (Grant, bool) {
	best := c.target
	if best == nil {
		return Grant{}, false
	}
	best.running++
	best.sentSinceReport++
	probe := best.errors.startProbe()
	if q.Fills && best.recordFill(now) {
		time.AfterFunc(fillSpan, d.notifyChange)
	}
	return Grant{
		ID: best.entry.ID, Address: best.entry.Address, StartedAt: best.entry.StartedAt, Versions: best.entry.Versions,
		Limited: best.needsPermit(now), Cold: best.coldGrant(now), Slowdown: best.speed.current(now), MissesDue: c.misses,
		target: best, homes: q.Homes, probe: probe, utilisation: best.utilisation(now, 0),
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
			free += max(t.usableSlots(now, q.AttemptTime)-t.load(now), 0)
		}
	}
	return free
}

// usableSlots returns the number of slots that attempts of some length can use: all, or those
// that the target's limit keeps in use.
func (t *target) usableSlots(now time.Time, attemptTime time.Duration) int {
	rate := t.permittedRate(now)
	if rate == 0 || attemptTime == 0 {
		return t.entry.Slots
	}
	inUse := float64(rate) * attemptTime.Seconds()
	return max(int(math.Ceil(min(inUse, float64(t.entry.Slots)))), t.running)
}

// permittedRate returns the rate at which requests to the target get permits; 0 if they need
// none.
func (t *target) permittedRate(now time.Time) sillrate.PerSecond {
	rate := sillrate.PerSecond(0)
	if t.limited() {
		rate = t.limit.limit
	}
	if !t.mayBeCold(now) {
		return rate
	}
	if cold := t.rule.allowance.For(true).Rate; rate == 0 || cold < rate {
		rate = cold
	}
	return rate
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
	if c.preferred != o.preferred {
		return c.preferred
	}
	if c.misses != o.misses {
		return o.misses
	}
	if c.left != o.left {
		return o.left
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
func (d *Directory) cost(now time.Time, meanLatency time.Duration, t *target) float64 {
	cost := (float64(t.load(now)) + 1) / float64(max(t.entry.Slots, 1))
	latency := t.unitLatency
	if latency == 0 {
		latency = meanLatency
	}
	if latency > 0 {
		cost *= latency.Seconds()
	}
	return cost
}

// distanceFactor returns the factor for a target's zone and for a new connection.
func (d *Directory) distanceFactor(q *Query, t *target) float64 {
	factor := 1.0
	if q.Zone != "" && t.entry.Zone != q.Zone {
		factor *= 1 + crossZoneCost
	}
	if d.cfg.Connected != nil && !d.cfg.Connected(t.entry.Address) {
		factor *= 1 + connectCost
	}
	return factor
}
