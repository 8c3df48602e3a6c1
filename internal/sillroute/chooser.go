package sillroute

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// choices is the number of random targets that are compared (power of two
	// choices).
	choices = 2
	// maxDraws is the maximum number of random draws to find them; then the
	// targets are scanned.
	maxDraws = 8
	// spilloverUtilisation is the utilisation of a local target above which
	// targets of other availability zones are compared too.
	spilloverUtilisation = 0.8
	// remotePenalty multiplies the score of a target of another zone.
	remotePenalty = 1.2
	// affinityLoadFactor is the factor over the mean utilisation up to which
	// prefix affinity takes precedence over load.
	affinityLoadFactor = 1.25
)

// Chooser chooses targets of one pool. Update and ApplyCacheEvents must be
// called from a single goroutine; Choose and the methods of Choice are safe for
// concurrent use.
type Chooser struct {
	cfg   Config
	table atomic.Pointer[table]
	cache cacheIndex
	// inFlight counts the running requests of this gateway at all targets.
	inFlight atomic.Int64

	// mu guards states and serialises ejections.
	mu     sync.Mutex
	states map[sillid.TargetID]*targetState
}

// NewChooser returns a Chooser without targets.
func NewChooser(cfg Config) *Chooser {
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if cfg.Ejected == nil {
		cfg.Ejected = func(sillid.TargetID, EjectReason) {}
	}
	c := &Chooser{cfg: cfg, states: make(map[sillid.TargetID]*targetState)}
	c.table.Store(&table{})
	c.cache.init()
	return c
}

// Choice is a chosen target. Done must be called exactly once.
type Choice struct {
	Target  sillid.TargetID
	chooser *Chooser
	state   *targetState
}

// Choose returns a target for the request and counts the request as running
// there. It returns false if no target can serve the request.
func (c *Chooser) Choose(now time.Time, r Request) (Choice, bool) {
	t := c.table.Load()
	l := t.lists[modelKey{r.Model, r.Adapter}]
	if l == nil {
		return Choice{}, false
	}
	s := search{chooser: c, table: t, request: r, now: now.UnixNano(), randomState: r.RandomSeed}
	found := s.find(l)
	if found == nil {
		// The agent of a target at its limit tells when to come back, and lets requests
		// wait that can.
		s.ignoreLimits = true
		found = s.find(l)
	}
	if found == nil {
		return Choice{}, false
	}
	found.state.inFlight.Add(1)
	c.inFlight.Add(1)
	return Choice{Target: found.state.id, chooser: c, state: found.state}, true
}

// Done ends the request at the chosen target. The latency must be comparable
// between requests, such as the time to the first byte; 0 if unknown.
func (c Choice) Done(now time.Time, outcome Outcome, latency time.Duration) {
	c.state.inFlight.Add(-1)
	c.chooser.inFlight.Add(-1)
	switch outcome {
	case TargetFault, Succeeded:
		c.chooser.recordOutcome(now, c.state, outcome, latency)
	case Overloaded, Inconclusive:
	}
}

// ObserveLoad applies the load that the target's agent reported with its
// response or refusal, which is newer than the last load report. It must be
// called before Done.
func (c Choice) ObserveLoad(running, waiting int) {
	c.state.othersInFlight.Store(max(0, int64(running+waiting)-c.state.inFlight.Load()))
}

// maxLimitAvoidance bounds how long a target at its limit is passed over: the limit may end.
const maxLimitAvoidance = time.Second

// ObserveLimit records that the target's limit on requests refused one, and the delay after
// which it may take another.
func (c Choice) ObserveLimit(now time.Time, retryAfter time.Duration) {
	c.state.limitedUntil.Store(now.Add(min(retryAfter, maxLimitAvoidance)).UnixNano())
}

// search is the state of one call of Choose.
type search struct {
	chooser     *Chooser
	table       *table
	request     Request
	now         int64
	randomState uint64
	// ignoreLimits also accepts targets that are at their limits.
	ignoreLimits bool
}

func (s *search) find(l *candidateList) *candidate {
	if c := s.affinityTarget(l); c != nil {
		return c
	}
	local := s.bestOfTwo(l.local)
	if local != nil && local.utilisation(s.now) <= spilloverUtilisation {
		return local
	}
	remote := s.bestOfTwo(l.remote)
	switch {
	case local == nil:
		return remote
	case remote == nil:
		return local
	case remote.score(s.now)*remotePenalty < local.score(s.now):
		return remote
	default:
		return local
	}
}

// bestOfTwo returns the target with the lower score of two random usable ones,
// and scans for a usable target if the random draws found none.
func (s *search) bestOfTwo(candidates []candidate) *candidate {
	if len(candidates) == 0 {
		return nil
	}
	var best *candidate
	found := 0
	for range maxDraws {
		c := &candidates[s.nextRandom()%uint64(len(candidates))]
		if c == best || !s.usable(c) {
			continue
		}
		if best == nil || c.score(s.now) < best.score(s.now) {
			best = c
		}
		if found++; found == choices {
			return best
		}
	}
	if best != nil {
		return best
	}
	return s.firstUsable(candidates)
}

// firstUsable returns the first usable target after a random start, or nil.
func (s *search) firstUsable(candidates []candidate) *candidate {
	start := int(s.nextRandom() % uint64(len(candidates)))
	for n := range candidates {
		c := &candidates[(start+n)%len(candidates)]
		if s.usable(c) {
			return c
		}
	}
	return nil
}

func (s *search) usable(c *candidate) bool {
	if c.version < s.request.MinVersion || c.state.ejectedUntil.Load() > s.now {
		return false
	}
	if !s.ignoreLimits && c.state.limitedUntil.Load() > s.now {
		return false
	}
	return len(s.request.Exclude) == 0 || !slices.Contains(s.request.Exclude, c.state.id)
}

// nextRandom returns the next number of a splitmix64 generator.
func (s *search) nextRandom() uint64 {
	s.randomState += 0x9e3779b97f4a7c15
	return sillhash.SplitMix(s.randomState)
}

// affinityTarget returns the target that most likely has the longest part of
// the prompt's prefix in its cache, if its load is within the bound. For a
// prefix without cache events, rendezvous hashing over the first block sends
// requests with the same prefix to the same target of the zone. It returns nil
// if no such target is usable and within the bound.
func (s *search) affinityTarget(l *candidateList) *candidate {
	prefix := s.request.Prefix
	if len(prefix) == 0 {
		return nil
	}
	for n := len(prefix) - 1; n >= 0; n-- {
		for _, id := range s.chooser.cache.holders(prefix[n]) {
			if c := l.byTarget[id]; c != nil && s.usable(c) && s.withinLoadBound(c) {
				return c
			}
		}
	}
	if len(l.local) > 0 {
		return s.rendezvous(l.local, prefix[0])
	}
	return s.rendezvous(l.remote, prefix[0])
}

func (s *search) rendezvous(candidates []candidate, prefix uint64) *candidate {
	var first, second *candidate
	var highest, secondHighest uint64
	for n := range candidates {
		c := &candidates[n]
		weight := sillhash.SplitMix(c.state.hash ^ prefix)
		switch {
		case weight < secondHighest || !s.usable(c):
		case weight >= highest:
			second, secondHighest = first, highest
			first, highest = c, weight
		default:
			second, secondHighest = c, weight
		}
	}
	if first != nil && s.withinLoadBound(first) {
		return first
	}
	if second != nil && s.withinLoadBound(second) {
		return second
	}
	return nil
}

// withinLoadBound reports whether the target, with one more request, stays near
// the mean utilisation.
func (s *search) withinLoadBound(c *candidate) bool {
	mean := float64(s.chooser.inFlight.Load()+s.table.othersInFlight) / s.table.totalLimit
	bound := affinityLoadFactor*mean + 1/c.limit
	return c.utilisation(s.now) <= max(bound, minAffinityUtilisation)
}

// minAffinityUtilisation is the utilisation up to which prefix affinity always
// takes precedence over load.
const minAffinityUtilisation = 0.5
