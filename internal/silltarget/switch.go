package silltarget

import "github.com/wasabisill/wasabisill/pkg/sillid"

// Behaviour is something that a process does only in pools for which a signal calls for it.
type Behaviour string

const (
	// OutlierEjection leaves out targets whose responses are mostly errors, and sends
	// repetitions of a request that got an error elsewhere.
	OutlierEjection Behaviour = "outlier-ejection"
	// FinishTimes compares targets by the expected finish time of a request.
	FinishTimes Behaviour = "finish-times"
	// CachedPrompts counts a cached prompt as a saving. Without it, the target that has
	// the prompt is preferred.
	CachedPrompts Behaviour = "cached-prompts"
	// ScoresBesideCallers keeps score requests at their gateway while targets are full.
	ScoresBesideCallers Behaviour = "scores-beside-callers"
	// OrderOfGroups orders the groups of a job by what they can still earn.
	OrderOfGroups Behaviour = "order-of-groups"
	// QueueByPriority orders waiting requests by priority and due time, otherwise by arrival.
	QueueByPriority Behaviour = "queue-by-priority"
)

// Behaviours returns all behaviours.
func Behaviours() []Behaviour {
	return []Behaviour{OutlierEjection, FinishTimes, CachedPrompts, ScoresBesideCallers, OrderOfGroups, QueueByPriority}
}

// Signal is what calls for a behaviour in a pool.
type Signal string

const (
	// UnsoundTargets is in the settings: targets may be unhealthy while their health check
	// passes.
	UnsoundTargets Signal = "unsound-targets"
	// SpeedReported means that a target of the pool has reported how long work takes.
	SpeedReported Signal = "speed-reported"
	// PrioritiesDiffer means that the configuration has different priorities among the
	// requests of the pool.
	PrioritiesDiffer Signal = "priorities-differ"
)

// Signal returns the signal that calls for the behaviour.
func (b Behaviour) Signal() Signal {
	switch b {
	case OutlierEjection:
		return UnsoundTargets
	case QueueByPriority:
		return PrioritiesDiffer
	case FinishTimes, CachedPrompts, ScoresBesideCallers, OrderOfGroups:
	}
	return SpeedReported
}

// Switch says which behaviours a pool has: those whose signal is there. The zero Switch has none.
type Switch struct {
	unsoundTargets, speedReported, prioritiesDiffer bool
}

// Has returns whether a signal is there.
func (s Switch) Has(signal Signal) bool {
	switch signal {
	case UnsoundTargets:
		return s.unsoundTargets
	case SpeedReported:
		return s.speedReported
	case PrioritiesDiffer:
		return s.prioritiesDiffer
	}
	return false
}

// On returns whether the pool has a behaviour.
func (s Switch) On(b Behaviour) bool { return s.Has(b.Signal()) }

// SwitchChange tells that a behaviour of a pool is switched on or off.
type SwitchChange struct {
	Pool      sillid.PoolID
	Behaviour Behaviour
	On        bool
}

// Switch returns which behaviours a pool has.
func (d *Directory) Switch(pool sillid.PoolID) Switch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.switchOf(pool)
}

// switchOf returns which behaviours a pool has. The caller holds d.mu.
func (d *Directory) switchOf(pool sillid.PoolID) Switch {
	return Switch{
		unsoundTargets: d.cfg.UnsoundTargets, speedReported: d.speedReported[pool], prioritiesDiffer: d.prioritiesDiffer[pool],
	}
}

// SetPrioritiesDiffer replaces the pools whose requests have different priorities in the
// configuration.
func (d *Directory) SetPrioritiesDiffer(pools map[sillid.PoolID]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.prioritiesDiffer = pools
	for _, t := range d.targets {
		d.reportSwitch(t.entry.Pool)
	}
}

// recordSpeedReport records that a target of a pool reported how long work takes. The pool keeps
// the signal, so that its behaviours don't change with each start of a target.
func (d *Directory) recordSpeedReport(pool sillid.PoolID) {
	if !d.speedReported[pool] {
		d.speedReported[pool] = true
		d.reportSwitch(pool)
	}
}

// reportSwitch reports the behaviours of a pool that changed since they were last reported. The
// caller holds d.mu.
func (d *Directory) reportSwitch(pool sillid.PoolID) {
	before, now := d.reportedSwitches[pool], d.switchOf(pool)
	if before == now {
		return
	}
	d.reportedSwitches[pool] = now
	if d.cfg.OnSwitch == nil {
		return
	}
	for _, b := range Behaviours() {
		if before.On(b) != now.On(b) {
			d.cfg.OnSwitch(SwitchChange{Pool: pool, Behaviour: b, On: now.On(b)})
		}
	}
}
