package silltarget

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// missingGrace is how long a target is kept whose entry disappeared while the
// registry was unavailable. A live target registers again within that time.
const missingGrace = 2 * time.Second

// Directory holds the targets of all pools. It is safe for concurrent use.
type Directory struct {
	mu      sync.Mutex
	targets map[sillid.TargetID]*target
	// changed is closed and replaced when a request may find a target that it
	// did not find before.
	changed chan struct{}
	// leaving holds the runs that said that they leave, with the time at which this
	// process learned of it.
	leaving map[Run]time.Time
	// limits holds what is known of the limits that runs name.
	limits map[Run]*limitState
	// rules holds the pools whose targets may be cold.
	rules map[sillid.PoolID]*ColdRule
	// settled is whether the whole registry was read.
	settled bool
	// evacuated holds the availability zones whose targets get no requests.
	evacuated map[sillid.ZoneID]bool
	// speedReported holds the pools in which a target has reported how long work takes, and
	// prioritiesDiffer those whose requests have different priorities.
	speedReported, prioritiesDiffer map[sillid.PoolID]bool
	// reportedSwitches holds what OnSwitch was last told of each pool.
	reportedSwitches map[sillid.PoolID]Switch
	// batches holds what is known of how much the requests at a target of a pool delay each other.
	batches map[sillid.PoolID]*batchRecord
	cfg     Config
	random  *rand.Rand
}

// Config holds the settings of a Directory. The zero Config is valid.
type Config struct {
	Notices NoticeHooks
	Limits  LimitHooks
	Cold    ColdHooks
	// A cold target gets ColdOvershoot times the requests a second that it bears, and
	// ColdSlack more, within any second at most.
	ColdOvershoot, ColdSlack float64
	// RegionOf returns the region of an availability zone; empty if it is unknown. If nil, no
	// region is known.
	RegionOf func(sillid.ZoneID) sillid.RegionID
	// Now returns the current time; nil stands for time.Now.
	Now func() time.Time
	// OnEjection, if not nil, receives the decisions on targets with errors. It is called with
	// the directory locked and must not call it.
	OnEjection func(Ejection)
	// UnsoundTargets is whether targets may be unhealthy while their health check passes.
	UnsoundTargets bool
	// OnSwitch, if not nil, is told of each behaviour that is switched on or off for a pool. It
	// is called with the directory locked and must not call it.
	OnSwitch func(SwitchChange)
	// Seed decides between targets of equal cost. Processes with different seeds
	// decide differently; 0 takes the lowest id.
	Seed uint64
	// Connected returns whether this process has an idle connection to an address. Such
	// targets are preferred. If nil, none is.
	Connected func(address string) bool
}

// NewDirectory returns an empty directory with the zero Config.
func NewDirectory() *Directory { return NewDirectoryWith(Config{}) }

// NewDirectoryWith returns an empty directory.
func NewDirectoryWith(cfg Config) *Directory {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.RegionOf == nil {
		cfg.RegionOf = func(sillid.ZoneID) sillid.RegionID { return "" }
	}
	return &Directory{
		targets: make(map[sillid.TargetID]*target), changed: make(chan struct{}),
		leaving: make(map[Run]time.Time), limits: make(map[Run]*limitState), batches: make(map[sillid.PoolID]*batchRecord), cfg: cfg,
		speedReported: make(map[sillid.PoolID]bool), reportedSwitches: make(map[sillid.PoolID]Switch),
		random: rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Changed returns a channel that is closed at the next change after which a
// request may find a target that it did not find before.
func (d *Directory) Changed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changed
}

// signalChange notifies the holders of the channel that Changed returned. The
// caller holds d.mu.
func (d *Directory) signalChange() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// Apply adds or updates a target from its registry entry, and returns whether
// anything changed. A new run under the same id, or a new address, starts without the
// failures and the requests of the old one.
func (d *Directory) Apply(e Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	registered := e.State
	if _, leaving := d.leaving[e.Run()]; leaving {
		e.State = Draining
	}
	t := d.targets[e.ID]
	if t == nil || !t.entry.StartedAt.Equal(e.StartedAt) || t.entry.Address != e.Address {
		reported := t != nil && t.entry.Run() == e.Run() && t.cold.invalidEntry
		t = &target{
			entry: e, registered: registered, tieBreak: d.tieBreak(e.ID), limit: d.limits[e.Run()],
			rule: d.rules[e.Pool], evacuated: d.evacuated[e.Zone], region: d.cfg.RegionOf(e.Zone),
		}
		t.begin(d.cfg.Now(), d.settled)
		t.cold.invalidEntry = reported
		d.checkEntry(t, &e)
		d.targets[e.ID] = t
		d.reportSwitch(e.Pool)
		d.signalChange()
		return true
	}
	e.Versions = newest(t.entry.Versions, e.Versions)
	changed := t.entry.State != e.State || !maps.Equal(t.entry.Versions, e.Versions) || !t.missingSince.IsZero()
	t.observeEntry(d.cfg.Now(), &e)
	d.checkEntry(t, &e)
	t.entry, t.registered = e, registered
	t.rule, t.evacuated, t.region = d.rules[e.Pool], d.evacuated[e.Zone], d.cfg.RegionOf(e.Zone)
	t.missingSince = time.Time{}
	d.signalChange()
	return changed
}

// tieBreak returns the place of a target among those of equal cost, the lowest first.
func (d *Directory) tieBreak(id sillid.TargetID) uint64 {
	if d.cfg.Seed == 0 {
		return 0
	}
	h := fnv.New64a()
	// Writes to a hash never fail.
	_ = binary.Write(h, binary.LittleEndian, d.cfg.Seed)
	_, _ = h.Write([]byte(id))
	return h.Sum64()
}

// newest returns the higher version of each model. The versions only grow within
// one run of a target, and a response may report a newer one than the entry.
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

// Remove removes a target whose entry was deleted from the registry.
func (d *Directory) Remove(id sillid.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.targets, id)
}

// MarkMissing marks a target whose entry disappeared while the registry was
// unavailable. Expire removes it unless it registers again.
func (d *Directory) MarkMissing(now time.Time, id sillid.TargetID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[id]; t != nil && t.missingSince.IsZero() {
		t.missingSince = now
	}
}

// Expire removes the missing targets that did not register again in time, and
// returns their ids.
func (d *Directory) Expire(now time.Time) []sillid.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var removed []sillid.TargetID
	for id, t := range d.targets {
		if !t.missingSince.IsZero() && now.Sub(t.missingSince) >= missingGrace {
			delete(d.targets, id)
			removed = append(removed, id)
		}
	}
	return removed
}

// IDs returns the ids of all targets, in no particular order.
func (d *Directory) IDs() []sillid.TargetID {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]sillid.TargetID, 0, len(d.targets))
	for id := range d.targets {
		ids = append(ids, id)
	}
	return ids
}

// Entry returns the registry entry of a target, and false if it has none.
func (d *Directory) Entry(id sillid.TargetID) (Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	if t == nil {
		return Entry{}, false
	}
	return t.entry, true
}

// Entries returns the entries of the targets of a pool, in no particular order.
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

// RunningByZone returns the number of this process's requests at the targets of a
// pool, by availability zone. Zones without requests are left out.
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

// ObserveVersion records the weight version of a model that a target reported in
// a response. Older versions than the known one are ignored.
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
	d.signalChange()
}

// Release returns a grant and records the outcome of its attempt.
func (d *Directory) Release(now time.Time, g Grant, o Outcome) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g.target.running--
	g.target.recordOutcome(now, o)
	d.recordErrors(now, g, o)
	d.signalChange()
}

// Observe records what a response reports of its target: the load (nil if not
// reported), and the measured time for one unit of work (0 if not measured). It
// must be called before Release.
func (d *Directory) Observe(now time.Time, g Grant, load *Load, unitLatency time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := g.target
	if load != nil {
		// The reported load still includes the request that this response is for,
		// and so does t.running.
		t.otherLoad = max(0, load.Running+load.Waiting-t.running)
		t.usualOthers += usualOthersWeight * (float64(t.otherLoad) - t.usualOthers)
		t.loadReportedAt = now
		t.sentSinceReport = 0
		if load.Duration > 0 {
			t.speed.report(now, load.Duration)
			d.recordSpeedReport(t.entry.Pool)
		}
		if load.Slots > 0 {
			t.entry.Slots = load.Slots
		}
	}
	if unitLatency > 0 {
		t.progressAt = now
		d.observeBatch(now, t, unitLatency)
		t.speed.observe(now, time.Duration(float64(unitLatency)/max(1, g.utilisation)))
		t.unitLatency = average(t.unitLatency, unitLatency)
		t.serviceTime = average(t.serviceTime, time.Duration(float64(unitLatency)/max(1, g.utilisation)))
	}
}

// MadeProgress returns whether a request of this process at a target has made progress
// since a time.
func (d *Directory) MadeProgress(id sillid.TargetID, since time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[id]
	return t != nil && t.progressAt.After(since)
}

// MeanUnitLatency returns the mean unit latency of a pool's targets; 0 if unknown.
func (d *Directory) MeanUnitLatency(pool sillid.PoolID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.meanUnitLatency(pool)
}

// UnitLatency returns the average time that a target takes for one unit of work,
// queueing included; 0 if unknown.
func (d *Directory) UnitLatency(id sillid.TargetID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if t := d.targets[id]; t != nil {
		return t.unitLatency
	}
	return 0
}
