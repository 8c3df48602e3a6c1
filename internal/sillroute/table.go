package sillroute

import (
	"hash/fnv"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// table is an immutable view of a pool. Update replaces it, and Choose reads it
// without a lock.
type table struct {
	lists map[modelKey]*candidateList
	// othersInFlight is the sum of the requests of other gateways, and
	// totalLimit the sum of the targets' concurrency limits; at least 1.
	othersInFlight int64
	totalLimit     float64
}

type modelKey struct {
	model   sillid.ModelID
	adapter string
}

// candidateList holds the targets that serve one model or adapter.
type candidateList struct {
	local    []candidate
	remote   []candidate
	byTarget map[sillid.TargetID]*candidate
}

type candidate struct {
	state   *targetState
	version sillid.WeightVersion
	// limit is at least 1; meanServiceTime is in seconds and above 0.
	limit           float64
	meanServiceTime float64
}

// targetState is the state of a target that is kept across tables. Its counters
// are shared by all goroutines.
type targetState struct {
	id   sillid.TargetID
	hash uint64
	// inFlight counts the running requests of this gateway.
	inFlight atomic.Int64
	// othersInFlight is an estimate of the requests of other gateways, from the
	// last load report.
	othersInFlight atomic.Int64
	limit          atomic.Int64
	// ejectedUntil is the Unix time in nanoseconds at which the last ejection
	// ends; 0 if the target was never ejected.
	ejectedUntil atomic.Int64
	// limitedUntil is the Unix time in nanoseconds until which the target's limit on
	// requests takes no more.
	limitedUntil atomic.Int64

	// The mutex of the Chooser guards the fields below.
	stats          outlierStats
	reportSequence uint64
}

const (
	defaultLimit       = 8
	defaultServiceTime = 1.0 // seconds
)

// load returns the number of requests at the target including the one to be
// placed.
func (c *candidate) load() float64 {
	return float64(c.state.inFlight.Load() + c.state.othersInFlight.Load() + 1)
}

func (c *candidate) utilisation(now int64) float64 {
	return c.load() / (c.limit * c.rampUp(now))
}

// score returns a number that grows with the expected time until one more
// request would end.
func (c *candidate) score(now int64) float64 {
	return c.utilisation(now) * c.meanServiceTime
}

// rampUp returns the share of requests that the target gets: it rises from
// initialRampUpShare at the end of an ejection to 1.
func (c *candidate) rampUp(now int64) float64 {
	until := c.state.ejectedUntil.Load()
	if until == 0 || now >= until+int64(rampUpTime) {
		return 1
	}
	passed := float64(now-until) / float64(rampUpTime)
	return initialRampUpShare + (1-initialRampUpShare)*max(passed, 0)
}

// Update replaces the targets of the pool.
func (c *Chooser) Update(now time.Time, targets []Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &table{lists: make(map[modelKey]*candidateList)}
	states := make(map[sillid.TargetID]*targetState, len(targets))
	mean := meanServiceTime(targets)
	for _, target := range targets {
		s := c.updateState(target)
		states[target.ID] = s
		t.othersInFlight += s.othersInFlight.Load()
		t.totalLimit += float64(s.limit.Load())
		t.add(c.cfg.Zone, s, target, mean)
	}
	t.totalLimit = max(t.totalLimit, 1)
	t.index()
	c.states = states
	c.cache.retain(states)
	c.ejectLatencyOutliers(now)
	c.table.Store(t)
}

// updateState returns the state of the target after applying a new load report.
// The report includes the requests of this gateway, so these are subtracted.
func (c *Chooser) updateState(t Target) *targetState {
	s, ok := c.states[t.ID]
	if !ok {
		s = &targetState{id: t.ID, hash: hashString(string(t.ID))}
	}
	if !ok || t.Load.Sequence != s.reportSequence {
		s.reportSequence = t.Load.Sequence
		s.othersInFlight.Store(max(0, int64(t.Load.Running+t.Load.Waiting)-s.inFlight.Load()))
		s.limit.Store(int64(limitOf(t)))
	}
	return s
}

func limitOf(t Target) int {
	if t.Load.Limit > 0 {
		return t.Load.Limit
	}
	return defaultLimit
}

func meanServiceTime(targets []Target) float64 {
	sum, n := 0.0, 0
	for _, t := range targets {
		if t.Load.MeanServiceTime > 0 {
			sum += t.Load.MeanServiceTime.Seconds()
			n++
		}
	}
	if n == 0 {
		return defaultServiceTime
	}
	return sum / float64(n)
}

func (t *table) add(zone sillid.ZoneID, s *targetState, target Target, mean float64) {
	c := candidate{state: s, limit: float64(limitOf(target)), meanServiceTime: mean}
	if target.Load.MeanServiceTime > 0 {
		c.meanServiceTime = target.Load.MeanServiceTime.Seconds()
	}
	if len(target.Loaded) == 0 {
		t.addCandidate(modelKey{}, c, target.Zone == zone)
	}
	for _, l := range target.Loaded {
		c.version = l.Version
		t.addCandidate(modelKey{l.Model, l.Adapter}, c, target.Zone == zone)
	}
}

func (t *table) addCandidate(k modelKey, c candidate, local bool) {
	l := t.lists[k]
	if l == nil {
		l = &candidateList{}
		t.lists[k] = l
	}
	if local {
		l.local = append(l.local, c)
		return
	}
	l.remote = append(l.remote, c)
}

// index fills byTarget. It runs after all candidates have been added, because
// growing a slice would move them.
func (t *table) index() {
	for _, l := range t.lists {
		l.byTarget = make(map[sillid.TargetID]*candidate, len(l.local)+len(l.remote))
		for _, candidates := range [][]candidate{l.local, l.remote} {
			for n := range candidates {
				l.byTarget[candidates[n].state.id] = &candidates[n]
			}
		}
	}
}

func hashString(s string) uint64 {
	h := fnv.New64a()
	// Write of a hash never fails.
	_, _ = h.Write([]byte(s))
	return sillhash.SplitMix(h.Sum64())
}
