package sillroute

import (
	"hash/fnv"
	"slices"
	"sync"

	"github.com/wasabisill/wasabisill/internal/sillhash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// BlockBytes is the number of prompt bytes in one prefix block.
	BlockBytes = 1024
	// maxBlocks is the maximum number of blocks of a prompt that are hashed.
	maxBlocks = 16
	// maxPrefixesPerTarget is the maximum number of prefixes kept for one
	// target.
	maxPrefixesPerTarget = 4096
	// maxTargetsPerPrefix is the maximum number of targets kept for one prefix.
	maxTargetsPerPrefix = 4
)

// PrefixBlocks returns the hashes of all prefixes of the prompt that consist of
// complete blocks, shortest prefix first. A prompt shorter than one block has
// none.
func PrefixBlocks(prompt []byte) []uint64 {
	n := min(len(prompt)/BlockBytes, maxBlocks)
	hashes := make([]uint64, 0, n)
	h := fnv.New64a()
	for i := range n {
		// Write of a hash never fails.
		_, _ = h.Write(prompt[i*BlockBytes : (i+1)*BlockBytes])
		hashes = append(hashes, sillhash.SplitMix(h.Sum64()))
	}
	return hashes
}

// CacheEvent is the addition of a prefix to a target's prefix cache, or its
// eviction.
type CacheEvent struct {
	// Sequence grows by one with each event of an engine.
	Sequence uint64
	Evicted  bool
	// Prefix is a hash that PrefixBlocks returned.
	Prefix uint64
}

// cacheIndex records which targets have which prefixes in their caches. It is a
// hint: after a wrong entry the engine only has to compute the prefix once
// more.
type cacheIndex struct {
	mu       sync.RWMutex
	prefixes map[uint64][]sillid.TargetID
	targets  map[sillid.TargetID]*targetCache
}

type targetCache struct {
	engine       sillid.EngineID
	lastSequence uint64
	// insertionOrder holds the target's prefixes, oldest first.
	insertionOrder []uint64
}

func (x *cacheIndex) init() {
	x.prefixes = make(map[uint64][]sillid.TargetID)
	x.targets = make(map[sillid.TargetID]*targetCache)
}

// ApplyCacheEvents applies cache events of a target's engine. Events whose
// sequence number is not above the last one are skipped. A gap in the sequence
// may hide evictions, so a gap of more than maxPrefixesPerTarget events removes
// all prefixes of the target, as a new engine does.
func (c *Chooser) ApplyCacheEvents(target sillid.TargetID, engine sillid.EngineID, events []CacheEvent) {
	c.cache.applyAll(target, engine, events)
}

func (x *cacheIndex) applyAll(target sillid.TargetID, engine sillid.EngineID, events []CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t := x.targets[target]
	if t == nil || t.engine != engine {
		x.removeTarget(target)
		t = &targetCache{engine: engine}
		x.targets[target] = t
	}
	for _, e := range events {
		if e.Sequence <= t.lastSequence {
			continue
		}
		if e.Sequence-t.lastSequence > maxPrefixesPerTarget && t.lastSequence > 0 {
			x.removePrefixes(target, t)
		}
		t.lastSequence = e.Sequence
		x.apply(target, t, e)
	}
}

func (x *cacheIndex) apply(target sillid.TargetID, t *targetCache, e CacheEvent) {
	x.removeHolder(target, e.Prefix)
	if i := slices.Index(t.insertionOrder, e.Prefix); i >= 0 {
		t.insertionOrder = slices.Delete(t.insertionOrder, i, i+1)
	}
	if e.Evicted {
		return
	}
	if len(t.insertionOrder) >= maxPrefixesPerTarget {
		x.removeHolder(target, t.insertionOrder[0])
		t.insertionOrder = slices.Delete(t.insertionOrder, 0, 1)
	}
	t.insertionOrder = append(t.insertionOrder, e.Prefix)
	if holders := x.prefixes[e.Prefix]; len(holders) < maxTargetsPerPrefix {
		// Append to a copy, because readers use the slice after the lock is
		// released.
		x.prefixes[e.Prefix] = append(slices.Clone(holders), target)
	}
}

func (x *cacheIndex) removeHolder(target sillid.TargetID, prefix uint64) {
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

func (x *cacheIndex) removeTarget(target sillid.TargetID) {
	if t := x.targets[target]; t != nil {
		x.removePrefixes(target, t)
		delete(x.targets, target)
	}
}

func (x *cacheIndex) removePrefixes(target sillid.TargetID, t *targetCache) {
	for _, prefix := range t.insertionOrder {
		x.removeHolder(target, prefix)
	}
	t.insertionOrder = nil
}

// retain removes the targets that are no longer in the pool.
func (x *cacheIndex) retain(states map[sillid.TargetID]*targetState) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for target := range x.targets {
		if _, ok := states[target]; !ok {
			x.removeTarget(target)
		}
	}
}

func (x *cacheIndex) holders(prefix uint64) []sillid.TargetID {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.prefixes[prefix]
}
