package sillstandengine

import (
	"container/list"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
)

// BlockTokens is the number of prompt tokens in one block of the prefix cache.
const BlockTokens = 16

// prefixCache keeps blocks of prompts, least recently used out first. A block
// is named by a hash of the whole prompt up to its end.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[string]*list.Element
	events   []cacheEvent
}

// cacheEvent is one event and the time it became true.
type cacheEvent struct {
	sequence int
	kind     string
	prefix   string
	at       time.Time
}

// maxEvents bounds the kept events.
const maxEvents = 10000

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, order: list.New(), blocks: map[string]*list.Element{}}
}

// PrefixNames returns the names of the prompt's full blocks, shortest first.
func PrefixNames(prompt string) []string {
	words := strings.Fields(prompt)
	var names []string
	for n := BlockTokens; n <= len(words); n += BlockTokens {
		names = append(names, fmt.Sprintf("%016x", hash(strings.Join(words[:n], " "))))
	}
	return names
}

// lookup returns the number of the prompt's tokens in the cache.
func (c *prefixCache) lookup(prompt string) int {
	tokens := 0
	for _, name := range PrefixNames(prompt) {
		el, ok := c.blocks[name]
		if !ok {
			break
		}
		c.order.MoveToFront(el)
		tokens += BlockTokens
	}
	return tokens
}

func (c *prefixCache) store(prompt string, now time.Time) {
	for _, name := range PrefixNames(prompt) {
		if el, ok := c.blocks[name]; ok {
			c.order.MoveToFront(el)
			continue
		}
		c.blocks[name] = c.order.PushFront(name)
		c.note("stored", name, now)
		c.evict(now)
	}
}

func (c *prefixCache) evict(now time.Time) {
	for c.order.Len() > c.capacity {
		name := c.order.Remove(c.order.Back()).(string)
		delete(c.blocks, name)
		c.note("evicted", name, now)
	}
}

func (c *prefixCache) note(kind, prefix string, now time.Time) {
	sequence := 1
	if n := len(c.events); n > 0 {
		sequence = c.events[n-1].sequence + 1
	}
	c.events = append(c.events, cacheEvent{sequence: sequence, kind: kind, prefix: prefix, at: now})
	if len(c.events) > maxEvents {
		c.events = c.events[len(c.events)-maxEvents:]
	}
}

type cacheEventAnswer struct {
	Sequence int    `json:"seq"`
	Kind     string `json:"kind"`
	Prefix   string `json:"prefix"`
}

type cacheEventsAnswer struct {
	Events []cacheEventAnswer `json:"events"`
	Next   int                `json:"next"`
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil && r.URL.Query().Get("after") != "" {
		refuse(w, http.StatusBadRequest, "after: give a number")
		return
	}
	f := e.Panel.Get(areaCacheEvents)
	cutoff := time.Now().Add(-e.cfg.EventLag - time.Duration(f.LateMS)*time.Millisecond)
	answer := cacheEventsAnswer{Events: []cacheEventAnswer{}, Next: after}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, ev := range e.cache.events {
		if ev.sequence <= after || ev.at.After(cutoff) {
			continue
		}
		answer.Next = ev.sequence
		if f.Gapped > 0 && ev.sequence%f.Gapped == 0 {
			continue
		}
		answer.Events = append(answer.Events, cacheEventAnswer{Sequence: ev.sequence, Kind: ev.kind, Prefix: ev.prefix})
	}
	sillstandin.Answer(w, http.StatusOK, answer)
}
