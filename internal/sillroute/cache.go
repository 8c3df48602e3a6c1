package sillroute

import (
	"hash/fnv"
	"slices"
	"sync"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// BlockBytes is the length of prompt that one prefix block covers.
	BlockBytes = 1024
	// maxBlocks bounds the blocks of one prompt.
	maxBlocks = 16
	// maxPrefixes bounds the prefixes that are kept for one target.
	maxPrefixes = 4096
	// maxHolders bounds the targets that are kept for one prefix.
	maxHolders = 4
)

// PrefixBlocks returns a hash for each leading run of whole blocks of the
// prompt, shortest first. A prompt below one block has none.
func PrefixBlocks(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	h := fnv.New64a()
	for i := range n {
		// Write of a hash never fails.
		_, _ = h.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, mix(h.Sum64()))
	}
	return hashes
}

// CacheEvent is a change of a target's prefix cache.
type CacheEvent struct {
	// Sequence grows by one with each event of an engine.
	Sequence uint64
	Evicted  bool
	// Prefix is a hash as PrefixBlocks returns it.
	Prefix uint64
}

// cacheIndex remembers which targets hold which prefixes. It is a hint: a
// wrong entry costs the engine one computation of the prefix.
type cacheIndex struct {
	mu       sync.RWMutex
	prefixes map[uint64][]sillid.TargetID
	targets  map[sillid.TargetID]*cached
}

type cached struct {
	engine sillid.EngineID
	last   uint64
	// order holds the target's prefixes, oldest first.
	order []uint64
}

func (x *cacheIndex) init() {
	x.prefixes = make(map[uint64][]sillid.TargetID)
	x.targets = make(map[sillid.TargetID]*cached)
}

// ApplyCacheEvents applies cache events of a target's engine. Late events are skipped. A
// gap may hide evictions; a long one, like a new engine, forgets the target.
func (c *Chooser) ApplyCacheEvents(target sillid.TargetID, engine sillid.EngineID, events []CacheEvent) {
	c.cache.merge(target, engine, events)
}

func (x *cacheIndex) merge(target sillid.TargetID, engine sillid.EngineID, events []CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.targets[target]
	if t == nil || t.engine != engine {
		x.forget(target)
		t = &cached{engine: engine}
		x.targets[target] = t
	}
	for _, e := range events {
		if e.Sequence <= t.last {
			continue
		}
		if e.Sequence-t.last > maxPrefixes && t.last > 0 {
			x.forgetPrefixes(target, t)
		}
		t.last = e.Sequence
		x.apply(target, t, e)
	}
}

func (x *cacheIndex) apply(target sillid.TargetID, t *cached, e CacheEvent) {
	x.remove(target, e.Prefix)
	if i := slices.Index(t.order, e.Prefix); i >= 0 {
		t.order = slices.Delete(t.order, i, i+1)
	}
	if e.Evicted {
		return
	}
	if len(t.order) >= maxPrefixes {
		x.remove(target, t.order[0])
		t.order = slices.Delete(t.order, 0, 1)
	}
	t.order = append(t.order, e.Prefix)
	if holders := x.prefixes[e.Prefix]; len(holders) < maxHolders {
		// A copy, since readers keep the slice after the lock.
		x.prefixes[e.Prefix] = append(slices.Clone(holders), target)
	}
}

func (x *cacheIndex) remove(target sillid.TargetID, prefix uint64) {
	holders := x.prefixes[prefix]
	i := slices.Index(holders, target)
	switch {
	case i < 0:
	case len(holders) == 1:
		delete(x.prefixes, prefix)
	default:
		x.prefixes[prefix] = slices.Delete(slices.Clone(holders), i, i+1)
	}
}

func (x *cacheIndex) forget(target sillid.TargetID) {
	if t := x.targets[target]; t != nil {
		x.forgetPrefixes(target, t)
		delete(x.targets, target)
	}
}

func (x *cacheIndex) forgetPrefixes(target sillid.TargetID, t *cached) {
	for _, prefix := range t.order {
		x.remove(target, prefix)
	}
	t.order = nil
}

// keep forgets the targets that left the pool.
func (x *cacheIndex) keep(states map[sillid.TargetID]*state) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for target := range x.targets {
		if _, ok := states[target]; !ok {
			x.forget(target)
		}
	}
}

func (x *cacheIndex) holders(prefix uint64) []sillid.TargetID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.prefixes[prefix]
}
