package sillcatalog

import (
	"sync/atomic"
)

// Holder keeps the newest catalog that the process has seen. It never goes back
// to an older version. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Catalog]
}

// Get returns the newest catalog, or nil if none was seen.
func (h *Holder) Get() *Catalog { return h.current.Load() }

// Offer takes a catalog if it is newer than the one held, and returns whether it did.
func (h *Holder) Offer(c *Catalog) bool {
	for {
		held := h.current.Load()
		if held != nil && held.Version >= c.Version {
			return false
		}
		if h.current.CompareAndSwap(held, c) {
			return true
		}
	}
}
