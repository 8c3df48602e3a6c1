package sillroute

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// table is the immutable view of a pool that choices read.
type table struct {
	lists map[loadKey]*list
	// others is the sum of the other gateways' requests; limits the sum of limits, at least 1.
	others int64
	limits float64
}

type loadKey struct {
	model   sillid.ModelID
	adapter string
}

// list holds the targets that serve one model or adapter.
type list struct {
	local    []item
	remote   []item
	byTarget map[sillid.TargetID]*item
}

type item struct {
	state   *state
	version sillid.WeightVersion
	// limit is at least 1; mean is the service time in seconds, above 0.
	limit float64
	mean  float64
}

// state outlives the tables. Its counters are shared by all goroutines.
type state struct {
	id   sillid.TargetID
	hash uint64
	// own counts this gateway's running requests.
	own atomic.Int64
	// others estimates the requests of other gateways, from the last report.
	others atomic.Int64
	limit  atomic.Int64
	// returnAt is the Unix time in nanoseconds before which the target is
	// ejected; 0 if it never was.
	returnAt atomic.Int64

	// The rest is guarded by the chooser's mutex.
	record   record
	sequence uint64
}

const (
	unknownLimit   = 8
	unknownService = 1.0 // seconds
)

// load is the number of requests that the target would hold with one more.
func (i *item) load() float64 {
	return float64(i.state.own.Load() + i.state.others.Load() + 1)
}

func (i *item) utilisation(now int64) float64 {
	return i.load() / (i.limit * i.ramp(now))
}

// score grows with the expected time until one more request ends.
func (i *item) score(now int64) float64 {
	return i.utilisation(now) * i.mean
}

// ramp raises the share of a target that was ejected from returnShare to 1.
func (i *item) ramp(now int64) float64 {
	back := i.state.returnAt.Load()
	if back == 0 || now >= back+int64(slowReturn) {
		return 1
	}
	passed := float64(now-back) / float64(slowReturn)
	return returnShare + (1-returnShare)*max(passed, 0)
}

// Update replaces the pool's targets.
func (c *Chooser) Update(now time.Time, targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &table{lists: make(map[loadKey]*list)}
	states := make(map[sillid.TargetID]*state, len(targets))
	mean := meanService(targets)
	for _, target := range targets {
		s := c.state(target)
		states[target.ID] = s
		t.others += s.others.Load()
		t.limits += float64(s.limit.Load())
		t.add(c.cfg.Zone, s, target, mean)
	}
	t.limits = max(t.limits, 1)
	t.index()
	c.states = states
	c.cache.keep(states)
	c.ejectSlow(now)
	c.table.Store(t)
}

// state returns the target's state with a new report of its load applied. The
// report counts this gateway's requests too, so these are taken off.
func (c *Chooser) state(t Target) *state {
	s, ok := c.states[t.ID]
	if !ok {
		s = &state{id: t.ID, hash: hashString(string(t.ID))}
	}
	if !ok || t.Load.Sequence != s.sequence {
		s.sequence = t.Load.Sequence
		s.others.Store(max(0, int64(t.Load.Running+t.Load.Waiting)-s.own.Load()))
		s.limit.Store(int64(limitOf(t)))
	}
	return s
}

func limitOf(t Target) int {
	if t.Load.Limit > 0 {
		return t.Load.Limit
	}
	return unknownLimit
}

func meanService(targets []Target) float64 {
	sum, n := 0.0, 0
	for _, t := range targets {
		if t.Load.MeanServiceTime > 0 {
			sum += t.Load.MeanServiceTime.Seconds()
			n++
		}
	}
	if n == 0 {
		return unknownService
	}
	return sum / float64(n)
}

func (t *table) add(zone sillid.ZoneID, s *state, target Target, mean float64) {
	i := item{state: s, limit: float64(limitOf(target)), mean: mean}
	if target.Load.MeanServiceTime > 0 {
		i.mean = target.Load.MeanServiceTime.Seconds()
	}
	if len(target.Loaded) == 0 {
		t.addTo(loadKey{}, i, target.Zone == zone)
	}
	for _, l := range target.Loaded {
		i.version = l.Version
		t.addTo(loadKey{l.Model, l.Adapter}, i, target.Zone == zone)
	}
}

func (t *table) addTo(k loadKey, i item, local bool) {
	l := t.lists[k]
	if l == nil {
		l = &list{}
		t.lists[k] = l
	}
	if local {
		l.local = append(l.local, i)
		return
	}
	l.remote = append(l.remote, i)
}

// index fills byTarget, once the slices have stopped growing.
func (t *table) index() {
	for _, l := range t.lists {
		l.byTarget = make(map[sillid.TargetID]*item, len(l.local)+len(l.remote))
		for _, items := range [][]item{l.local, l.remote} {
			for n := range items {
				l.byTarget[items[n].state.id] = &items[n]
			}
		}
	}
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	// Write of a hash never fails.
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}
