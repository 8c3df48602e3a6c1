package silljob

import (
	"slices"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// resultTTL is how long results are kept after they were last read or added.
	resultTTL = 12 * time.Second
	// unfinishedTTL is how long generations in progress are kept for a later job
	// that resubmits their items.
	unfinishedTTL = 20 * time.Second
)

// Cache keeps published results and generations that were stopped in progress.
// It is safe for concurrent use.
type Cache struct {
	// Now returns the current time.
	Now func() time.Time
	// MaxBytes bounds what the results of all jobs may take; 0 for no limit. Beyond it those at
	// the lowest positions are dropped, of the jobs that were used least recently first.
	MaxBytes int

	mu         sync.Mutex
	results    map[ID]*cachedResults
	bytes      int
	unfinished map[unfinishedKey]cachedProgress
}

// cachedResults holds results of a job at consecutive positions, without gaps.
type cachedResults struct {
	// first is the position of the first result of the list.
	first int
	list  []Result
	bytes int
	used  time.Time
}

// end returns the position after the last result.
func (h *cachedResults) end() int { return h.first + len(h.list) }

func (h *cachedResults) append(results []Result) {
	h.list = append(h.list, results...)
	h.bytes += cachedBytes(results)
}

func (h *cachedResults) prepend(results []Result) {
	h.list = append(slices.Clone(results), h.list...)
	h.first -= len(results)
	h.bytes += cachedBytes(results)
}

// drop drops the first n results and returns how many bytes they took.
func (h *cachedResults) drop(n int) int {
	freed := cachedBytes(h.list[:n])
	// A copy, so that the dropped results can be collected.
	h.list = slices.Clone(h.list[n:])
	h.first += n
	h.bytes -= freed
	return freed
}

// resultStructBytes is the size of a Result without its texts.
const resultStructBytes = 128

func cachedBytes(results []Result) int {
	n := 0
	for i := range results {
		r := &results[i]
		n += resultStructBytes + len(r.Item) + len(r.Text) + len(r.Score) + 8*len(r.Versions)
	}
	return n
}

// unfinishedKey identifies an item across jobs. Organisations choose ids independently.
type unfinishedKey struct {
	organisation sillid.OrganisationID
	model        sillid.ModelID
	item         ItemID
}

type cachedProgress struct {
	progress Progress
	kept     time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{Now: time.Now, results: make(map[ID]*cachedResults), unfinished: make(map[unfinishedKey]cachedProgress)}
}

// Add stores the results of a job that begin at position from. After a gap they replace the kept
// ones; those that end before the kept ones are ignored.
func (c *Cache) Add(job ID, from int, results []Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.results[job]
	if held == nil {
		held = &cachedResults{}
		c.results[job] = held
	}
	held.used = c.Now()
	if from > held.end() {
		c.bytes -= held.drop(len(held.list))
		held.first = from
	}
	before := held.bytes
	if from < held.first && from+len(results) >= held.first {
		held.prepend(results[:held.first-from])
	}
	if from >= held.first && from+len(results) > held.end() {
		held.append(results[held.end()-from:])
	}
	c.bytes += held.bytes - before
	c.shrink()
}

// shrink drops results until the others keep to MaxBytes.
func (c *Cache) shrink() {
	for c.MaxBytes > 0 && c.bytes > c.MaxBytes {
		var oldest *cachedResults
		for _, held := range c.results {
			if len(held.list) > 0 && (oldest == nil || held.used.Before(oldest.used)) {
				oldest = held
			}
		}
		if oldest == nil {
			return
		}
		c.bytes -= oldest.drop((len(oldest.list) + 1) / 2)
	}
}

// Get returns the cached results of a job from a position on, and the position after the last
// one that is cached. The results are empty if the one at the position is not cached.
func (c *Cache) Get(job ID, from int) (results []Result, end int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.results[job]
	if held == nil {
		return nil, 0
	}
	held.used = c.Now()
	if from < held.first || from >= held.end() {
		return nil, held.end()
	}
	return held.list[from-held.first:], held.end()
}

// AddUnfinished stores generations in progress of a job for a later one of the same
// organisation and model with the same items.
func (c *Cache) AddUnfinished(sub *Submission, generations []Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range generations {
		c.unfinished[unfinishedKey{sub.Organisation, sub.Model, p.Item}] = cachedProgress{progress: p, kept: c.Now()}
	}
}

// Unfinished returns the generation in progress of an item, if one is cached.
func (c *Cache) Unfinished(sub *Submission, item ItemID) (Progress, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.unfinished[unfinishedKey{sub.Organisation, sub.Model, item}]
	return t.progress, ok
}

// Expire removes entries that are older than resultTTL or unfinishedTTL.
func (c *Cache) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for job, held := range c.results {
		if now.Sub(held.used) > resultTTL {
			c.bytes -= held.bytes
			delete(c.results, job)
		}
	}
	for key, t := range c.unfinished {
		if now.Sub(t.kept) > unfinishedTTL {
			delete(c.unfinished, key)
		}
	}
}
