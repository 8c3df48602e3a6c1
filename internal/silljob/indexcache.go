package silljob

import (
	"context"
	"sync"
	"time"
)

const (
	// indexTTL is how long an index is kept after it was last used.
	indexTTL = 10 * time.Second
	// maxIndexBytes bounds the indexes that are kept beside the newest one.
	maxIndexBytes = 2 << 20
)

// indexCache keeps indexes of jobs that were read, since clients ask for bodies one by one. The
// rows of an index never change. Calls for the same index share one read: that of a job with a
// million items takes megabytes. The zero value is empty.
type indexCache struct {
	mu      sync.Mutex
	entries map[ContentID]*cachedIndex
}

type cachedIndex struct {
	// ready is closed once the read has ended; index is nil if it failed.
	ready chan struct{}
	index *contentIndex
	err   error
	used  time.Time
}

// get returns the index of a content, which read reads if it is not kept.
func (c *indexCache) get(ctx context.Context, content ContentID, read func() (*contentIndex, error)) (*contentIndex, error) {
	for {
		c.mu.Lock()
		e, found := c.entries[content]
		if !found {
			e = &cachedIndex{ready: make(chan struct{})}
			if c.entries == nil {
				c.entries = make(map[ContentID]*cachedIndex)
			}
			c.entries[content] = e
		}
		e.used = time.Now()
		c.mu.Unlock()
		if !found {
			return c.fill(content, e, read)
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-e.ready:
		}
		// The call that read it may have ended too early.
		if e.index != nil || isUndecodable(e.err) {
			return e.index, e.err
		}
	}
}

// put keeps an index.
func (c *indexCache) put(content ContentID, x *contentIndex) {
	_, _ = c.get(context.Background(), content, func() (*contentIndex, error) { return x, nil })
}

func (c *indexCache) fill(content ContentID, e *cachedIndex, read func() (*contentIndex, error)) (*contentIndex, error) {
	x, err := read()
	c.mu.Lock()
	defer c.mu.Unlock()
	e.index, e.err = x, err
	close(e.ready)
	if err != nil {
		delete(c.entries, content)
		return nil, err
	}
	c.evict(e)
	return x, nil
}

// evict removes indexes that were not used lately, and all but the newest one if they take too
// much.
func (c *indexCache) evict(newest *cachedIndex) {
	size := 0
	for content, e := range c.entries {
		if e.index == nil || e == newest {
			continue
		}
		size += e.index.Items.size()
		if time.Since(e.used) > indexTTL || size > maxIndexBytes {
			delete(c.entries, content)
		}
	}
}

// expire removes indexes that were not used lately.
func (c *indexCache) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evict(nil)
}

// index returns the index of a job. It returns ErrNoJob if there is none.
func (s *Store) index(ctx context.Context, job ID, content ContentID) (*contentIndex, error) {
	if content == "" {
		return s.earlierIndex(ctx, job)
	}
	return s.indexes.get(ctx, content, func() (*contentIndex, error) { return s.readIndex(ctx, job, content) })
}
