package sillpermit

import (
	"context"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// askTimeout is the time limit of a call to the gateway that grants a permit.
	askTimeout = 150 * time.Millisecond
	// unreachableTime is how long no permit is asked for at a gateway that did not answer.
	unreachableTime = 500 * time.Millisecond
)

// Place is the gateway that grants the permits of a run.
type Place struct {
	// Self is whether it is this process.
	Self bool
	// Gateway is its name; empty if it is not known.
	Gateway sillid.InstanceID
	// Address is where it is reached; empty if it is this process, or not known.
	Address string
	// Settled is whether it is this process, has been for longer than it takes until each
	// gateway that reads the rows has learned of it, and this process reads them, too.
	Settled bool
}

// Config holds what a Broker needs.
type Config struct {
	Directory *silltarget.Directory
	// Pool sends calls to other gateways.
	Pool *silltransport.Pool
	// Place returns the gateway that grants the permits of a run.
	Place func(run silltarget.Run) Place
	// Position returns the position of this process among the gateways.
	Position func() Position
	// Now returns the current time.
	Now     func() time.Time
	Metrics *Metrics
}

// Broker gets permits for the requests of this process, and grants those of the runs for
// which it is the place. It is safe for concurrent use.
type Broker struct {
	cfg Config

	mu       sync.Mutex
	granter  *granter
	slotters map[silltarget.Run]*slotter
	// unreachableUntil holds the gateways that did not answer.
	unreachableUntil map[string]time.Time
	// asking holds a semaphore for each run and class for which this process asks.
	asking map[askKey]*semaphore
}

// askKey identifies asks of which one is made at a time.
type askKey struct {
	run   silltarget.Run
	class sillrate.Class
}

// semaphore lets one ask through at a time.
type semaphore struct {
	slot chan struct{}
	// users counts the asks that hold or await it.
	users int
	// deniedUntil is the time until which asks are denied.
	deniedUntil time.Time
}

// New returns a broker.
func New(cfg Config) *Broker {
	return &Broker{
		cfg: cfg, granter: newGranter(), slotters: make(map[silltarget.Run]*slotter),
		unreachableUntil: make(map[string]time.Time), asking: make(map[askKey]*semaphore),
	}
}

// Acquire gets a permit for a request. Of the asks of one class for a run it makes one at a
// time, and a denial answers those that wait behind it.
func (b *Broker) Acquire(ctx context.Context, a Ask) Verdict {
	key := askKey{run: a.Run, class: a.Class}
	s := b.join(key)
	defer b.leave(key, s)
	select {
	case s.slot <- struct{}{}:
	case <-ctx.Done():
		return Verdict{}
	}
	defer func() { <-s.slot }()
	if wait := s.deniedUntil.Sub(b.cfg.Now()); wait > 0 && !a.Forced {
		return Verdict{RetryAfter: wait}
	}
	askedAt := b.cfg.Now()
	v := b.ask(ctx, a)
	v.AskedAt = askedAt
	if !v.Granted && !v.OverShare {
		s.deniedUntil = b.cfg.Now().Add(v.RetryAfter)
	}
	b.cfg.Metrics.countVerdict(v)
	return v
}

// join returns the semaphore of a key; leave gives it back.
func (b *Broker) join(key askKey) *semaphore {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.asking[key]
	if s == nil {
		s = &semaphore{slot: make(chan struct{}, 1)}
		b.asking[key] = s
	}
	s.users++
	return s
}

func (b *Broker) leave(key askKey, s *semaphore) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.users--
	if s.users == 0 {
		delete(b.asking, key)
	}
}

// ask asks the gateway that grants the permits of a run, which may be this process.
func (b *Broker) ask(ctx context.Context, a Ask) Verdict {
	place := b.cfg.Place(a.Run)
	if place.Self {
		return b.decide(a, place.Settled)
	}
	if place.Address == "" || b.isUnreachable(place.Address) {
		return b.takeSlot(a)
	}
	v, decidedCold, err := b.callPlace(ctx, place.Address, a)
	if err != nil {
		if ctx.Err() == nil {
			b.markUnreachable(place.Address)
		}
		return b.takeSlot(a)
	}
	if v.Granted && a.Cold != nil && !decidedCold {
		// The other gateway is of an earlier build, or does not take itself for the granter.
		return b.takeSlot(a)
	}
	return v
}

// decide grants or denies a permit of this process, whose place is settled or not.
func (b *Broker) decide(a Ask, settled bool) Verdict {
	now := b.cfg.Now()
	limit, cold := b.limitOf(now, a.Run), b.coldAllowance(now, a)
	if limit == 0 && cold == nil {
		return Verdict{Granted: true}
	}
	if cold != nil {
		allowance := cold.For(settled)
		cold = &allowance
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.granter.decide(now, a, limit, cold)
}

// limitOf returns the limit that a run names; 0 if it names none.
func (b *Broker) limitOf(now time.Time, run silltarget.Run) sillrate.PerSecond {
	known, ok := b.cfg.Directory.Limit(now, run)
	if !ok {
		return 0
	}
	return known.Limit
}

// coldAllowance returns the allowance of the target of an ask, or nil if it is warm. One
// of the two gateways may know of it later than the other; only an asker that has just
// started and does not know trusts this process.
func (b *Broker) coldAllowance(now time.Time, a Ask) *sillrate.Allowance {
	own, known := b.cfg.Directory.ColdGrant(now, a.Run)
	switch {
	case own != nil:
		return &own.Allowance
	case a.Cold == nil, a.Cold.Unsure && known:
		return nil
	}
	return &a.Cold.Allowance
}

// slotRate returns the rate of the time slots of all gateways under a limit, 0 for none, and the
// allowance of a target that may be cold, nil for one that is warm.
func slotRate(limit sillrate.PerSecond, cold *sillrate.Allowance) sillrate.PerSecond {
	rate := slotShare * limit
	if cold != nil && (rate == 0 || cold.SlotRate < rate) {
		rate = cold.SlotRate
	}
	return rate
}

// takeSlot grants a permit if the current time slot is this process's.
func (b *Broker) takeSlot(a Ask) Verdict {
	now := b.cfg.Now()
	b.cfg.Metrics.unreachable.Inc()
	var cold *sillrate.Allowance
	if a.Cold != nil {
		cold = &a.Cold.Allowance
	}
	rate := slotRate(b.limitOf(now, a.Run), cold)
	if rate == 0 || a.Forced {
		return Verdict{Granted: true}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slotters[a.Run]
	if s == nil {
		s = &slotter{}
		b.slotters[a.Run] = s
	}
	return s.take(now, rate/slotShare, b.cfg.Position())
}

func (b *Broker) isUnreachable(address string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.unreachableUntil[address]
	if ok && !b.cfg.Now().Before(until) {
		delete(b.unreachableUntil, address)
		return false
	}
	return ok
}

func (b *Broker) markUnreachable(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unreachableUntil[address] = b.cfg.Now().Add(unreachableTime)
}

// Forget drops what is kept of runs that are no longer registered or limited.
func (b *Broker) Forget() {
	now := b.cfg.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for run := range b.slotters {
		_, limited := b.cfg.Directory.Limit(now, run)
		cold, _ := b.cfg.Directory.ColdGrant(now, run)
		if !limited && cold == nil {
			delete(b.slotters, run)
		}
	}
}
