package silltarget

import "time"

// Exclusion is why a target may not serve a query's requests.
type Exclusion string

// The exclusions, in the order in which they are looked for.
const (
	// NotExcluded is for eligible targets.
	NotExcluded Exclusion = ""
	// OtherPool is for targets of other pools.
	OtherPool Exclusion = "other-pool"
	// AwayFromHome is for targets outside the home regions of the requests.
	AwayFromHome Exclusion = "away-from-home"
	// NotReady is for targets that drain or leave.
	NotReady Exclusion = "draining"
	// InEvacuation is for targets of evacuated availability zones.
	InEvacuation Exclusion = "evacuated"
	// AlreadyTried is for targets that the query excludes.
	AlreadyTried Exclusion = "already-tried"
	// InBackoff is for targets that failed or rejected requests a short time ago.
	InBackoff Exclusion = "backing-off"
	// WithErrors is for targets whose responses are mostly errors.
	WithErrors Exclusion = "ejected"
	// AtLimit is for targets whose limit gives the requests no permit now.
	AtLimit Exclusion = "limited"
	// IsCold is for targets that may be cold and give the requests no permit now.
	IsCold Exclusion = "cold"
	// Filled is for targets that got as many requests of this process as they would bear if
	// they had become cold unnoticed.
	Filled Exclusion = "filled"
	// Full is for targets without a free slot.
	Full Exclusion = "full"
	// NoRoom is for targets without room beside the requests of callers.
	NoRoom Exclusion = "no-room"
	// TooSlow is for targets that are not expected to respond in time.
	TooSlow Exclusion = "too-slow"
	// NotFaster is for targets whose unit latency is unknown or too long.
	NotFaster Exclusion = "not-faster"
	// WrongVersion is for targets that don't have the weight version.
	WrongVersion Exclusion = "wrong-version"
)

// isEligible returns whether a target may serve the query's requests. meanServiceTime replaces
// an unknown service time.
func (t *target) isEligible(now time.Time, q *Query, meanServiceTime time.Duration) bool {
	return t.exclusion(now, q, meanServiceTime) == NotExcluded
}

// exclusion returns the first reason why a target may not serve the query's requests.
// meanServiceTime replaces an unknown service time.
func (t *target) exclusion(now time.Time, q *Query, meanServiceTime time.Duration) Exclusion {
	e := &t.entry
	switch {
	case e.Pool != q.Pool:
		return OtherPool
	case !q.Homes.Allows(t.region):
		return AwayFromHome
	case e.State != Ready:
		return NotReady
	case t.evacuated:
		return InEvacuation
	case q.Exclude[e.ID]:
		return AlreadyTried
	case t.backingOff(now) && !q.IncludeBackingOff:
		return InBackoff
	case t.errors.leavesOut(now, q.Class) && !q.IncludeBackingOff:
		return WithErrors
	case t.denies(now, q.Class) && !q.IgnoreLimits && t.mayBeCold(now):
		return IsCold
	case t.denies(now, q.Class) && !q.IgnoreLimits:
		return AtLimit
	case q.Fills && !q.IgnoreLimits && !t.mayBeCold(now) && !t.mayFill(now):
		return Filled
	case q.FreeOnly && t.load(now) >= max(e.Slots, 1):
		return Full
	case q.MaxUtilisation > 0 && !t.hasRoom(now, q.MaxUtilisation):
		return NoRoom
	case q.MaxResponseTime > 0 && t.expectedResponseTime(now, meanServiceTime) > q.MaxResponseTime:
		return TooSlow
	case q.MaxUnitLatency > 0 && (t.unitLatency == 0 || t.unitLatency >= q.MaxUnitLatency):
		return NotFaster
	case !t.hasVersion(q):
		return WrongVersion
	}
	return NotExcluded
}

// hasVersion returns whether the target has a weight version that the query accepts.
func (t *target) hasVersion(q *Query) bool {
	version := t.entry.Versions[q.Model]
	switch {
	case q.Model == "":
		return true
	case q.ExactVersion != 0 && version != q.ExactVersion:
		return false
	}
	return version >= q.MinVersion
}
