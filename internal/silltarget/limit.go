package silltarget

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// ownObservationPrecedence is how long what a target said itself holds against what
	// other processes say of it. Theirs may be that old.
	ownObservationPrecedence = 2 * time.Second
	// limitRetention is how long the limit of a run is kept that is not registered, or
	// that no longer has one.
	limitRetention = 10 * time.Second
)

// limitState is what is known of the limit of a run.
type limitState struct {
	// limit is 0 if the run names none.
	limit sillrate.PerSecond
	// observedAt is when the run said so, by this process's clock; of a response that names
	// no limit, when its request was sent. ownAt is when the run last said something of its
	// limit to this process.
	observedAt, ownAt time.Time
	// deniedUntil is the time until which requests of a class get no permit.
	deniedUntil [sillrate.Classes]time.Time
}

// limited returns whether the target's run names a limit.
func (t *target) limited() bool { return t.limit != nil && t.limit.limit > 0 }

// denies returns whether requests of a class get no permit for the target now.
func (t *target) denies(now time.Time, c sillrate.Class) bool {
	return now.Before(t.deniedUntil(now, c))
}

// deniedUntil returns the time until which requests of a class get no permit; zero if they
// may get one.
func (t *target) deniedUntil(now time.Time, c sillrate.Class) time.Time {
	var until time.Time
	if t.limited() {
		until = t.limit.deniedUntil[c]
	}
	if t.mayBeCold(now) && t.cold.deniedUntil[c].After(until) {
		until = t.cold.deniedUntil[c]
	}
	return until
}

// needsPermit returns whether each request to the target needs a permit.
func (t *target) needsPermit(now time.Time) bool { return t.limited() || t.mayBeCold(now) }

// LimitHooks receive what targets name as their limits. They are called with the directory
// locked and must not call it. A nil function is skipped.
type LimitHooks struct {
	// OnChange is called when the limit of a run changes; 0 stands for none.
	OnChange func(run Run, limit sillrate.PerSecond, from NoticeSource)
	// OnInvalid is called for each response with an invalid limit.
	OnInvalid func(run Run)
}

// ObserveLimit records what a response of a run says of its limit. That a response names no
// limit counts only if it is signed, since others may be from something in between, and if
// its request was sent after the limit was last named: a slow response may be older.
func (d *Directory) ObserveLimit(sentAt, now time.Time, run Run, n sillrate.Notice, signed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case n.Kind == sillrate.Invalid:
		if d.cfg.Limits.OnInvalid != nil {
			d.cfg.Limits.OnInvalid(run)
		}
	case n.Kind == sillrate.Named:
		d.setLimit(run, n.Limit, now, FromResponse)
		d.limits[run].ownAt = now
	case signed && d.limits[run] != nil && sentAt.After(d.limits[run].observedAt):
		d.setLimit(run, 0, sentAt, FromResponse)
		d.limits[run].ownAt = now
	}
}

// setLimit records the limit of a run; 0 stands for none. The caller holds d.mu.
func (d *Directory) setLimit(run Run, limit sillrate.PerSecond, observedAt time.Time, from NoticeSource) {
	s := d.limits[run]
	if s == nil {
		d.trimLimits(observedAt)
		s = &limitState{}
		d.limits[run] = s
		if t := d.targets[run.Target]; t != nil && t.entry.Run() == run {
			t.limit = s
		}
	}
	s.observedAt = observedAt
	if s.limit == limit {
		return
	}
	s.limit = limit
	s.deniedUntil = [sillrate.Classes]time.Time{}
	if d.cfg.Limits.OnChange != nil {
		d.cfg.Limits.OnChange(run, limit, from)
	}
	d.signalChange()
}

// Deny records that requests of a class get no permit for a run for some time, and
// notifies the holders of the channel that Changed returned at its end.
func (d *Directory) Deny(now time.Time, run Run, c sillrate.Class, retryAfter time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, t := d.limits[run], d.targets[run.Target]
	if t != nil && t.entry.Run() == run && t.mayBeCold(now) {
		t.cold.deniedUntil[c] = now.Add(retryAfter)
	} else if s == nil {
		return
	}
	if s != nil {
		s.deniedUntil[c] = now.Add(retryAfter)
	}
	time.AfterFunc(retryAfter, d.notifyChange)
}

func (d *Directory) notifyChange() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.signalChange()
}

// AnyLimited returns whether a target of a pool names a limit or may be cold.
func (d *Directory) AnyLimited(pool sillid.PoolID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.cfg.Now()
	if d.rules[pool] != nil {
		for _, t := range d.targets {
			if t.entry.Pool == pool && t.mayBeCold(now) {
				return true
			}
		}
	}
	for run, s := range d.limits {
		if t := d.targets[run.Target]; s.limit > 0 && t != nil && t.limit == s && t.entry.Pool == pool {
			return true
		}
	}
	return false
}

// LimitedUntil returns whether the query's requests could be served but for the limits of
// targets, and the time at which the first of these may take a request again. It ignores
// free slots and response times.
func (d *Directory) LimitedUntil(now time.Time, q Query) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.FreeOnly, q.MaxResponseTime, q.IncludeBackingOff, q.IgnoreLimits = false, 0, true, true
	var earliest time.Time
	for _, t := range d.targets {
		if !t.isEligible(now, &q, 0) {
			continue
		}
		if !t.denies(now, q.Class) {
			return time.Time{}, false
		}
		if until := t.deniedUntil(now, q.Class); earliest.IsZero() || until.Before(earliest) {
			earliest = until
		}
	}
	return earliest, !earliest.IsZero()
}

// trimLimits drops what is known of runs that are gone or have had no limit for a while.
// The caller holds d.mu.
func (d *Directory) trimLimits(now time.Time) {
	for run, s := range d.limits {
		t := d.targets[run.Target]
		current := t != nil && t.entry.Run() == run
		if (!current || s.limit == 0) && now.Sub(s.observedAt) >= limitRetention {
			delete(d.limits, run)
			if current {
				t.limit = nil
			}
		}
	}
}

// RunLimit is the limit of a run as one process tells it to another.
type RunLimit struct {
	Run Run `cbor:"run"`
	// Limit is 0 if the run no longer names one.
	Limit sillrate.PerSecond `cbor:"limit"`
	// AgeMS is how long ago the run said so, in milliseconds.
	AgeMS int64 `cbor:"age-ms"`
}

// Limit returns what is known of the limit of a run, and false if nothing is.
func (d *Directory) Limit(now time.Time, run Run) (RunLimit, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.limits[run]
	if s == nil {
		return RunLimit{}, false
	}
	return s.export(now, run), true
}

func (s *limitState) export(now time.Time, run Run) RunLimit {
	return RunLimit{Run: run, Limit: s.limit, AgeMS: now.Sub(s.observedAt).Milliseconds()}
}

// Limits returns what is known of the limits of the runs that keep selects, sorted, limit
// at most. It calls keep without a lock.
func (d *Directory) Limits(now time.Time, limit int, keep func(Run) bool) []RunLimit {
	list := slices.DeleteFunc(d.allLimits(now), func(l RunLimit) bool { return !keep(l.Run) })
	slices.SortFunc(list, func(a, b RunLimit) int { return cmp.Compare(a.Run.Target, b.Run.Target) })
	return list[:min(len(list), limit)]
}

func (d *Directory) allLimits(now time.Time) []RunLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trimLimits(now)
	list := make([]RunLimit, 0, len(d.limits))
	for run, s := range d.limits {
		list = append(list, s.export(now, run))
	}
	return list
}

// MergeLimits records what another process knows of limits. The newest observation counts.
func (d *Directory) MergeLimits(now time.Time, limits []RunLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range limits {
		if l.Limit < 0 || math.IsNaN(float64(l.Limit)) {
			continue
		}
		observedAt := now.Add(-time.Duration(max(l.AgeMS, 0)) * time.Millisecond)
		known := d.limits[l.Run]
		if known != nil && (observedAt.Before(known.observedAt) || now.Sub(known.ownAt) < ownObservationPrecedence) {
			continue
		}
		d.setLimit(l.Run, l.Limit, observedAt, FromPeer)
	}
}
