package silljob

import (
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

	mu         sync.Mutex
	results    map[ID]*cachedResults
	unfinished map[unfinishedKey]cachedProgress
}

// cachedResults holds the results of a job, from position 0 without gaps.
type cachedResults struct {
	list []Result
	used time.Time
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

// Add stores the results of a job that begin at position from. It ignores them if
// they would leave a gap.
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

// Get returns the cached results of a job from a position on, and the number of
// results cached from position 0.
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
			delete(c.results, job)
		}
	}
	for key, t := range c.unfinished {
		if now.Sub(t.kept) > unfinishedTTL {
			delete(c.unfinished, key)
		}
	}
}
