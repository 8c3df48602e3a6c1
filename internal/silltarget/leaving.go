package silltarget

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// leavingRetention is how long the notice of a run is kept. A target that leaves
	// exits long before that.
	leavingRetention = 10 * time.Minute
	// maxLeavingRuns bounds the kept notices; the oldest ones are dropped first.
	maxLeavingRuns = 1024
)

// Run identifies one run of a target: a target that starts again may keep its id.
type Run struct {
	Target sillid.TargetID `cbor:"target"`
	// StartedAtMS is when the run started, in Unix milliseconds by the target's clock.
	StartedAtMS int64 `cbor:"started-at-ms"`
}

// Run returns the run that registered the entry.
func (e *Entry) Run() Run { return Run{Target: e.ID, StartedAtMS: e.StartedAt.UnixMilli()} }

// Run returns the run of the target that was picked.
func (g *Grant) Run() Run { return Run{Target: g.ID, StartedAtMS: g.StartedAt.UnixMilli()} }

// Notice is what the head of a response says of the target's plans.
type Notice int

const (
	// NoNotice is for responses that say nothing of leaving.
	NoNotice Notice = iota
	// Leaving is for targets that are shutting down and should get no new requests.
	Leaving
	// InvalidNotice is for notices in a form that is not defined. They are counted and
	// have no other effect.
	InvalidNotice
)

// NoticeSource is how this process learned that a target leaves, for logs and metrics.
type NoticeSource string

const (
	// FromResponse is for notices in responses of the target itself.
	FromResponse NoticeSource = "response"
	// FromPeer is for notices that another process shared.
	FromPeer NoticeSource = "peer"
)

// NoticeHooks receive the notices of targets. They are called with the directory locked
// and must not call it. A nil function is skipped.
type NoticeHooks struct {
	// OnLeaving is called once for each run that is learned to leave.
	OnLeaving func(run Run, from NoticeSource)
	// OnInvalid is called for each InvalidNotice.
	OnInvalid func(run Run)
}

// ObserveNotice records the notice in a response of a run. From a Leaving notice on, the
// run counts as Draining, also if its registry entry says otherwise.
func (d *Directory) ObserveNotice(now time.Time, run Run, n Notice) {
	switch n {
	case Leaving:
		d.markLeaving(now, run, FromResponse)
	case InvalidNotice:
		if d.cfg.Notices.OnInvalid != nil {
			d.cfg.Notices.OnInvalid(run)
		}
	case NoNotice:
	}
}

// MergeLeaving records runs that another process learned to leave.
func (d *Directory) MergeLeaving(now time.Time, runs []Run) {
	for _, run := range runs {
		d.markLeaving(now, run, FromPeer)
	}
}

func (d *Directory) markLeaving(now time.Time, run Run, from NoticeSource) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.leaving[run]; known {
		return
	}
	d.leaving[run] = now
	d.trimLeaving(now)
	if t := d.targets[run.Target]; t != nil && t.entry.Run() == run {
		t.entry.State = Draining
	}
	if d.cfg.Notices.OnLeaving != nil {
		d.cfg.Notices.OnLeaving(run, from)
	}
}

// trimLeaving drops expired notices, and the oldest ones beyond maxLeavingRuns. The
// caller holds d.mu.
func (d *Directory) trimLeaving(now time.Time) {
	for run, at := range d.leaving {
		if now.Sub(at) >= leavingRetention {
			delete(d.leaving, run)
		}
	}
	for len(d.leaving) > maxLeavingRuns {
		oldest := Run{}
		for run, at := range d.leaving {
			if oldest.Target == "" || at.Before(d.leaving[oldest]) {
				oldest = run
			}
		}
		delete(d.leaving, oldest)
	}
}

// LeavingRuns returns the runs that leave although their registry entries say that they
// are ready, sorted, limit at most. Other processes can't learn of them from the registry.
func (d *Directory) LeavingRuns(limit int) []Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	var runs []Run
	for run := range d.leaving {
		if t := d.targets[run.Target]; t != nil && t.entry.Run() == run && t.registered == Ready {
			runs = append(runs, run)
		}
	}
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Compare(a.Target, b.Target) })
	return runs[:min(len(runs), limit)]
}

// AllLeaving returns whether the pool has targets in the home regions and all of them leave or
// are in evacuated availability zones. It also returns true if the home regions have none.
func (d *Directory) AllLeaving(pool sillid.PoolID, homes sillhome.Homes) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := homes.Restricted()
	for _, t := range d.targets {
		if t.entry.Pool != pool || !homes.Allows(t.region) {
			continue
		}
		if t.entry.State != Draining && !t.evacuated {
			return false
		}
		known = true
	}
	return known
}
