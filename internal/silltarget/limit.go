package silltarget

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
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
	// observedAt is when the run said so, by this process's clock, and ownAt when it last
	// said something of its limit to this process.
	observedAt, ownAt time.Time
}

// LimitHooks receive what targets name as their limits. They are called with the directory
// locked and must not call it. A nil function is skipped.
type LimitHooks struct {
	// OnChange is called when the limit of a run changes; 0 stands for none.
	OnChange func(run Run, limit sillrate.PerSecond, from NoticeSource)
	// OnInvalid is called for each response with an invalid limit.
	OnInvalid func(run Run)
}

// ObserveLimit records what a response of a run says of its limit. That a response names no
// limit counts only if it is signed: others may be from something in between.
func (d *Directory) ObserveLimit(now time.Time, run Run, n sillrate.Notice, signed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case n.Kind == sillrate.Invalid:
		if d.cfg.Limits.OnInvalid != nil {
			d.cfg.Limits.OnInvalid(run)
		}
	case n.Kind == sillrate.Named:
		d.setLimit(run, limitState{limit: n.Limit, observedAt: now, ownAt: now}, FromResponse)
	case signed && d.limits[run] != nil:
		d.setLimit(run, limitState{observedAt: now, ownAt: now}, FromResponse)
	}
}

// setLimit replaces what is known of the limit of a run. The caller holds d.mu.
func (d *Directory) setLimit(run Run, s limitState, from NoticeSource) {
	before := d.limits[run]
	d.limits[run] = &s
	d.trimLimits(s.observedAt)
	if before != nil && before.limit == s.limit || before == nil && s.limit == 0 {
		return
	}
	if d.cfg.Limits.OnChange != nil {
		d.cfg.Limits.OnChange(run, s.limit, from)
	}
	d.signalChange()
}

// trimLimits drops what is known of runs that are gone or have had no limit for a while.
// The caller holds d.mu.
func (d *Directory) trimLimits(now time.Time) {
	for run, s := range d.limits {
		t := d.targets[run.Target]
		current := t != nil && t.entry.Run() == run
		if (!current || s.limit == 0) && now.Sub(s.observedAt) >= limitRetention {
			delete(d.limits, run)
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
// at most.
func (d *Directory) Limits(now time.Time, limit int, keep func(Run) bool) []RunLimit {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.trimLimits(now)
	var list []RunLimit
	for run, s := range d.limits {
		if keep(run) {
			list = append(list, s.export(now, run))
		}
	}
	slices.SortFunc(list, func(a, b RunLimit) int { return cmp.Compare(a.Run.Target, b.Run.Target) })
	return list[:min(len(list), limit)]
}

// MergeLimits records what another process knows of limits. The newest observation counts.
func (d *Directory) MergeLimits(now time.Time, limits []RunLimit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, l := range limits {
		observedAt := now.Add(-time.Duration(max(l.AgeMS, 0)) * time.Millisecond)
		known := d.limits[l.Run]
		if known != nil && (observedAt.Before(known.observedAt) || now.Sub(known.ownAt) < ownObservationPrecedence) {
			continue
		}
		next := limitState{limit: l.Limit, observedAt: observedAt}
		if known != nil {
			next.ownAt = known.ownAt
		}
		d.setLimit(l.Run, next, FromPeer)
	}
}
