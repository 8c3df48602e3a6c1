package sillroute

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// choices is the number of targets that are compared.
	choices = 2
	// maxProbes bounds the random draws for them; a scan follows.
	maxProbes = 8
	// spillUtilisation is the use of a local target from which targets of other
	// availability zones are compared too.
	spillUtilisation = 0.8
	// remotePenalty is the factor on the score of a target of another zone.
	remotePenalty = 1.2
	// loadBound is the factor over the mean utilisation up to which prefix
	// affinity goes before load.
	loadBound = 1.25
)

// Chooser chooses targets of one pool. Update and ApplyCacheEvents belong to the control
// goroutine; Choose and Choice.Done are safe for concurrent use.
type Chooser struct {
	cfg   Config
	table atomic.Pointer[table]
	cache cacheIndex
	// own counts the requests of this gateway that run at any target.
	own atomic.Int64

	// mu guards states and the decisions on ejection.
	mu     sync.Mutex
	states map[sillid.TargetID]*state
}

// NewChooser returns a chooser without targets.
func NewChooser(cfg Config) *Chooser {
	if cfg.MaxEjectedShare == 0 {
		cfg.MaxEjectedShare = DefaultMaxEjectedShare
	}
	if cfg.Ejected == nil {
		cfg.Ejected = func(sillid.TargetID, EjectReason) {}
	}
	c := &Chooser{cfg: cfg, states: make(map[sillid.TargetID]*state)}
	c.table.Store(&table{})
	c.cache.init()
	return c
}

// Choice is a chosen target. Done must be called exactly once.
type Choice struct {
	Target  sillid.TargetID
	chooser *Chooser
	state   *state
}

// Choose returns the target for a request and counts the request as running
// there, or false if no target can serve it.
func (c *Chooser) Choose(now time.Time, r Request) (Choice, bool) {
	t := c.table.Load()
	l := t.lists[loadKey{r.Model, r.Adapter}]
	if l == nil {
		return Choice{}, false
	}
	s := search{chooser: c, table: t, request: r, now: now.UnixNano(), random: r.RandomSeed}
	i := s.find(l)
	if i == nil {
		return Choice{}, false
	}
	i.state.own.Add(1)
	c.own.Add(1)
	return Choice{Target: i.state.id, chooser: c, state: i.state}, true
}

// Done ends the request at the chosen target. Latency is comparable between
// requests, such as the time to the first byte; 0 if unknown.
func (c Choice) Done(now time.Time, ending Outcome, latency time.Duration) {
	c.state.own.Add(-1)
	c.chooser.own.Add(-1)
	switch ending {
	case TargetFault, Succeeded:
		c.chooser.judge(now, c.state, ending, latency)
	case Overloaded, Inconclusive:
	}
}

// ObserveLoad takes in the load that an answer or a refusal brought from the
// target's agent. It is newer than the last report. Call it before Done.
func (c Choice) ObserveLoad(running, waiting int) {
	c.state.others.Store(max(0, int64(running+waiting)-c.state.own.Load()))
}

// search is one choice in progress.
type search struct {
	chooser *Chooser
	table   *table
	request Request
	now     int64
	random  uint64
}

func (s *search) find(l *list) *item {
	if i := s.affine(l); i != nil {
		return i
	}
	local := s.best(l.local)
	if local != nil && local.utilisation(s.now) <= spillUtilisation {
		return local
	}
	remote := s.best(l.remote)
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

// best returns the lowest score of a few random usable targets.
func (s *search) best(items []item) *item {
	if len(items) == 0 {
		return nil
	}
	var best *item
	found := 0
	for range maxProbes {
		i := &items[s.next()%uint64(len(items))]
		if i == best || !s.usable(i) {
			continue
		}
		if best == nil || i.score(s.now) < best.score(s.now) {
			best = i
		}
		if found++; found == choices {
			return best
		}
	}
	if best != nil {
		return best
	}
	return s.scan(items)
}

// scan returns the first usable target from a random start.
func (s *search) scan(items []item) *item {
	start := int(s.next() % uint64(len(items)))
	for n := range items {
		i := &items[(start+n)%len(items)]
		if s.usable(i) {
			return i
		}
	}
	return nil
}

func (s *search) usable(i *item) bool {
	if i.version < s.request.MinVersion || i.state.returnAt.Load() > s.now {
		return false
	}
	return len(s.request.Exclude) == 0 || !slices.Contains(s.request.Exclude, i.state.id)
}

// next draws a number by the generator splitmix64.
func (s *search) next() uint64 {
	s.random += 0x9e3779b97f4a7c15
	return mix(s.random)
}

func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// affine returns the target that most likely holds the longest part of the
// prompt's prefix, if its load is within the bound. Where no cache event tells,
// rendezvous hashing over the first block keeps a prefix at one target of the zone.
func (s *search) affine(l *list) *item {
	prefix := s.request.Prefix
	if len(prefix) == 0 {
		return nil
	}
	for n := len(prefix) - 1; n >= 0; n-- {
		for _, id := range s.chooser.cache.holders(prefix[n]) {
			if i := l.byTarget[id]; i != nil && s.usable(i) && s.withinBound(i) {
				return i
			}
		}
	}
	if len(l.local) > 0 {
		return s.rendezvous(l.local, prefix[0])
	}
	return s.rendezvous(l.remote, prefix[0])
}

func (s *search) rendezvous(items []item, prefix uint64) *item {
	var first, second *item
	var high, next uint64
	for n := range items {
		i := &items[n]
		weight := mix(i.state.hash ^ prefix)
		switch {
		case weight < next || !s.usable(i):
		case weight >= high:
			second, next = first, high
			first, high = i, weight
		default:
			second, next = i, weight
		}
	}
	if first != nil && s.withinBound(first) {
		return first
	}
	if second != nil && s.withinBound(second) {
		return second
	}
	return nil
}

// withinBound tells whether one more request keeps the target near the mean load.
func (s *search) withinBound(i *item) bool {
	mean := float64(s.chooser.own.Load()+s.table.others) / s.table.limits
	bound := loadBound*mean + 1/i.limit
	return i.utilisation(s.now) <= max(bound, minimalBound)
}

// minimalBound is the utilisation up to which affinity always goes first.
const minimalBound = 0.5
