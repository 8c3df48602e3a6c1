package silljob

import (
	"sync"
	"time"
)

const (
	// resultTTL is how long results are kept that nobody reads.
	resultTTL = 12 * time.Second
	// unfinishedTTL is how long texts of items are kept that may come again.
	unfinishedTTL = 20 * time.Second
)

// Cache keeps results that were listed and texts that were not finished. It is
// safe for concurrent use.
type Cache struct {
	// Now reads the clock.
	Now func() time.Time

	mu         sync.Mutex
	results    map[ID]*cachedResults
	unfinished map[ItemID]cachedProgress
}

// cachedResults holds the results of a job from its first position on.
type cachedResults struct {
	list []Result
	used time.Time
}

type cachedProgress struct {
	progress Progress
	kept     time.Time
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{Now: time.Now, results: make(map[ID]*cachedResults), unfinished: make(map[ItemID]cachedProgress)}
}

// Add takes results from a position on. Those that would leave a gap are left out.
func (c *Cache) Add(job ID, from int, results []Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.results[job]
	if held == nil {
		held = &cachedResults{}
		c.results[job] = held
	}
	held.used = c.Now()
	if from > len(held.list) || from+len(results) <= len(held.list) {
		return
	}
	held.list = append(held.list, results[len(held.list)-from:]...)
}

// Get returns the kept results of a job from a position on, and the number of
// results kept from the first position.
func (c *Cache) Get(job ID, from int) ([]Result, int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := c.results[job]
	if held == nil {
		return nil, 0
	}
	held.used = c.Now()
	return held.list[min(from, len(held.list)):], len(held.list)
}

// AddUnfinished keeps texts for a later job with the same items.
func (c *Cache) AddUnfinished(texts []Progress) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range texts {
		c.unfinished[p.Item] = cachedProgress{progress: p, kept: c.Now()}
	}
}

// Unfinished returns the text of an item that was not finished.
func (c *Cache) Unfinished(item ItemID) (Progress, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.unfinished[item]
	return t.progress, ok
}

// Expire forgets what was not used for long.
func (c *Cache) Expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Now()
	for job, held := range c.results {
		if now.Sub(held.used) > resultTTL {
			delete(c.results, job)
		}
	}
	for item, t := range c.unfinished {
		if now.Sub(t.kept) > unfinishedTTL {
			delete(c.unfinished, item)
		}
	}
}
