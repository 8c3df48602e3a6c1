package sillcatalog

import (
	"sync/atomic"
)

// Holder holds the newest catalog that the process has received. It never returns
// to an older version. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Catalog]
}

// Get returns the newest catalog, or nil if there is none yet.
func (h *Holder) Get() *Catalog { return h.current.Load() }

// UpdateIfNewer replaces the held catalog if c is newer, and returns whether it did.
func (h *Holder) UpdateIfNewer(c *Catalog) bool {
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
