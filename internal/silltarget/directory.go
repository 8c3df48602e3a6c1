package silltarget

import (
	"maps"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// lapseGrace is how long a target is kept whose entry vanished while the
// registry was away: the target registers again in that time if it is alive.
const lapseGrace = 2 * time.Second

// Directory holds the targets of all pools. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	targets map[sillid.TargetID]*target
	// changed is closed and replaced when a target may have become free.
	changed chan struct{}
}

// NewDirectory returns an empty directory.
func NewDirectory() *Directory {
	return &Directory{targets: make(map[sillid.TargetID]*target), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change after which a
// request may find a target that it did not find before.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

func (d *Directory) wake() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Apply takes what a target registered, and returns whether that changed
// anything. A new run under the same id begins without the failures of the old one.
func (d *Directory) Apply(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[e.ID]
	if t == nil || !t.entry.StartedAt.Equal(e.StartedAt) || t.entry.Address != e.Address {
		fresh := &target{entry: e}
		if t != nil {
			fresh.running = t.running
		}
		d.targets[e.ID] = fresh
		d.wake()
		return true
	}
	e.Versions = newest(t.entry.Versions, e.Versions)
	changed := t.entry.State != e.State || !maps.Equal(t.entry.Versions, e.Versions) || !t.lapsedAt.IsZero()
	t.entry = e
	t.lapsedAt = time.Time{}
	d.wake()
	return changed
}

// newest merges versions: within one run of a target they only grow, and an
// answer may tell a newer one than the entry does.
func newest(a, b map[sillid.ModelID]sillid.WeightVersion) map[sillid.ModelID]sillid.WeightVersion {
	merged := maps.Clone(b)
	if merged == nil {
		merged = make(map[sillid.ModelID]sillid.WeightVersion, len(a))
	}
	for model, v := range a {
		merged[model] = max(merged[model], v)
	}
	return merged
}

// Remove forgets a target whose entry is gone.
func (d *Directory) Remove(id sillid.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.targets, id)
}

// MarkMissing marks a target whose entry vanished while the registry was away.
// Expire forgets it unless it registers again.
func (d *Directory) MarkMissing(now time.Time, id sillid.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[id]; t != nil && t.lapsedAt.IsZero() {
		t.lapsedAt = now
	}
}

// Expire forgets the lapsed targets that did not register again, and returns them.
func (d *Directory) Expire(now time.Time) []sillid.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var gone []sillid.TargetID
	for id, t := range d.targets {
		if !t.lapsedAt.IsZero() && now.Sub(t.lapsedAt) >= lapseGrace {
			delete(d.targets, id)
			gone = append(gone, id)
		}
	}
	return gone
}

// IDs returns the targets that are listed.
func (d *Directory) IDs() []sillid.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]sillid.TargetID, 0, len(d.targets))
	for id := range d.targets {
		ids = append(ids, id)
	}
	return ids
}

// Entries returns the targets of a pool.
func (d *Directory) Entries(pool sillid.PoolID) []Entry {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Entry
	for _, t := range d.targets {
		if t.entry.Pool == pool {
			list = append(list, t.entry)
		}
	}
	return list
}

// RunningByZone returns the number of this process's requests at the targets of a pool,
// by availability zone.
func (d *Directory) RunningByZone(pool sillid.PoolID) map[sillid.ZoneID]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := make(map[sillid.ZoneID]int)
	for _, t := range d.targets {
		if t.entry.Pool == pool && t.running > 0 {
			running[t.entry.Zone] += t.running
		}
	}
	return running
}

// ObserveVersion takes the version of a model that a target's answer told.
func (d *Directory) ObserveVersion(id sillid.TargetID, model sillid.ModelID, v sillid.WeightVersion) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if t == nil || t.entry.Versions[model] >= v {
		return
	}
	versions := maps.Clone(t.entry.Versions)
	if versions == nil {
		versions = make(map[sillid.ModelID]sillid.WeightVersion)
	}
	versions[model] = v
	t.entry.Versions = versions
	d.wake()
}

// Query says which targets a request may go to.
type Query struct {
	Pool sillid.PoolID
	// Zone is preferred among equals.
	Zone sillid.ZoneID
	// Exclude holds targets that are not picked.
	Exclude map[sillid.TargetID]bool
	// Model and MinVersion hold back targets with older weights; no model takes any.
	Model      sillid.ModelID
	MinVersion sillid.WeightVersion
	// ExactVersion, if not 0, is the only version that is taken.
	ExactVersion sillid.WeightVersion
	// PreferNewest prefers targets with newer weights of the model to all others.
	PreferNewest bool
	// Prefer is picked if it has a free slot.
	Prefer sillid.TargetID
	// FreeOnly holds back targets without a free slot. Otherwise a request may
	// wait at its target.
	FreeOnly bool
	// MaxResponseTime, if not 0, holds back targets that are likely to answer later. It is
	// for targets whose unit of work is a whole request.
	MaxResponseTime time.Duration
	// IncludeBackingOff takes targets that rest after a failure, too.
	IncludeBackingOff bool
	// MaxUnitLatency, if not 0, holds back targets whose pace is not known to be shorter.
	MaxUnitLatency time.Duration
}

// Grant is a target picked for one attempt. Return it with Release.
type Grant struct {
	ID      sillid.TargetID
	Address string
	// Versions are the weights that the target had when picked.
	Versions map[sillid.ModelID]sillid.WeightVersion

	from *target
	// crowd is the number of requests at the target, this one counted, by its slots.
	crowd float64
}

// Pick returns the target for an attempt, or false if there is none.
func (d *Directory) Pick(now time.Time, q Query) (Grant, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	usual, usualWork := d.usualPace(q.Pool), d.usualWork(q.Pool)
	var best *target
	for _, t := range d.targets {
		if !t.admits(now, &q, usualWork) {
			continue
		}
		if best == nil || better(now, &q, usual, t, best) {
			best = t
		}
	}
	if best == nil {
		return Grant{}, false
	}
	best.running++
	return Grant{
		ID: best.entry.ID, Address: best.entry.Address, Versions: best.entry.Versions,
		from: best, crowd: best.crowd(now, 0),
	}, true
}

// EarliestResponse returns the least time in which some target that a query takes is
// likely to answer, MaxResponseTime left aside; 0 if that is not known.
func (d *Directory) EarliestResponse(now time.Time, q Query) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.MaxResponseTime = 0
	usual := d.usualWork(q.Pool)
	soonest := time.Duration(0)
	for _, t := range d.targets {
		if !t.admits(now, &q, usual) {
			continue
		}
		if e := t.expected(now, usual); soonest == 0 || e < soonest {
			soonest = e
		}
	}
	return soonest
}

// AnyEligible returns whether some target may take a query's requests, now or once it
// has a free slot and has rested.
func (d *Directory) AnyEligible(now time.Time, q Query) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.FreeOnly, q.IncludeBackingOff = false, true
	for _, t := range d.targets {
		if t.admits(now, &q, 0) {
			return true
		}
	}
	return false
}

// usualPace is the mean of the known paces of a pool, or 0.
func (d *Directory) usualPace(pool sillid.PoolID) time.Duration {
	return d.mean(pool, func(t *target) time.Duration { return t.pace })
}

// usualWork is the mean of the known times that the targets of a pool work at one
// request, or 0.
func (d *Directory) usualWork(pool sillid.PoolID) time.Duration {
	return d.mean(pool, func(t *target) time.Duration { return t.work })
}

// mean returns the mean of a time over the targets of a pool for which it is known.
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

// admits returns whether a target takes a query's requests; usualWork stands in
// for a work that is not known.
func (t *target) admits(now time.Time, q *Query, usualWork time.Duration) bool {
	e := &t.entry
	switch {
	case e.Pool != q.Pool, e.State != Ready, q.Exclude[e.ID], t.resting(now) && !q.IncludeBackingOff:
		return false
	case q.FreeOnly && t.load(now) >= max(e.Slots, 1):
		return false
	case q.MaxResponseTime > 0 && t.expected(now, usualWork) > q.MaxResponseTime:
		return false
	case q.MaxUnitLatency > 0 && (t.pace == 0 || t.pace >= q.MaxUnitLatency):
		return false
	case q.Model == "":
		return true
	case q.ExactVersion != 0 && e.Versions[q.Model] != q.ExactVersion:
		return false
	}
	return e.Versions[q.Model] >= q.MinVersion
}

// better returns whether a is to be picked before b. The share of the slots in
// use decides, weighed by the pace, so that slow targets get less.
func better(now time.Time, q *Query, usual time.Duration, a, b *target) bool {
	if va, vb := a.entry.Versions[q.Model], b.entry.Versions[q.Model]; q.PreferNewest && va != vb {
		return va > vb
	}
	if prefersA, prefersB := a.entry.ID == q.Prefer, b.entry.ID == q.Prefer; prefersA != prefersB {
		return prefersA
	}
	ca, cb := a.cost(now, q, usual), b.cost(now, q, usual)
	if ca != cb {
		return ca < cb
	}
	return a.entry.ID < b.entry.ID
}

// zoneCost is the share of a busy target that another availability zone costs,
// in bytes between zones and in delay.
const zoneCost = 0.05

// cost grows with the time that one more request takes at the target. A target
// of unknown pace counts as usual.
func (t *target) cost(now time.Time, q *Query, usual time.Duration) float64 {
	cost := (float64(t.load(now)) + 1) / float64(max(t.entry.Slots, 1))
	pace := t.pace
	if pace == 0 {
		pace = usual
	}
	if pace > 0 {
		cost *= pace.Seconds()
	}
	if q.Zone != "" && t.entry.Zone != q.Zone {
		cost *= 1 + zoneCost
	}
	return cost
}

// Release returns a grant with the outcome of its attempt.
func (d *Directory) Release(now time.Time, g Grant, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.from.running--
	g.from.note(now, o)
	d.wake()
}

// Observe takes what an answer told of its target: the load, and the time for
// one unit of work (0 if not measured).
func (d *Directory) Observe(now time.Time, g Grant, told *Load, pace time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := g.from
	if told != nil {
		// The answer still counts the request that it answers.
		t.elsewhere = max(0, told.Running+told.Waiting-t.running)
		t.toldAt = now
		if told.Slots > 0 {
			t.entry.Slots = told.Slots
		}
	}
	if pace > 0 {
		t.pace = average(t.pace, pace)
		t.work = average(t.work, time.Duration(float64(pace)/max(1, g.crowd)))
	}
}

// MeanUnitLatency returns the mean time of a pool's targets for a unit of work; 0 if unknown.
func (d *Directory) MeanUnitLatency(pool sillid.PoolID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usualPace(pool)
}

// UnitLatency returns the average time that a target takes for a unit of work; 0 if unknown.
func (d *Directory) UnitLatency(id sillid.TargetID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[id]; t != nil {
		return t.pace
	}
	return 0
}

// FreeSlots returns the number of free slots at the targets that a query takes.
func (d *Directory) FreeSlots(now time.Time, q Query) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	q.FreeOnly = true
	free := 0
	for _, t := range d.targets {
		if t.admits(now, &q, 0) {
			free += t.entry.Slots - t.load(now)
		}
	}
	return free
}
