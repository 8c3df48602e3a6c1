package sillrollout

import (
	"sync"
	"time"
)

// A scorer is ejected for ejectFor after ejectAfter consecutive failures.
const (
	ejectAfter = 3
	ejectFor   = 30 * time.Second
)

// scorers distributes score calls round-robin over the scorers that are not ejected.
// It is safe for concurrent use.
type scorers struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	next         int
	failures     []int
	ejectedUntil []time.Time
}

func newScorers(n int) *scorers {
	return &scorers{failures: make([]int, n), ejectedUntil: make([]time.Time, n)}
}

// pick returns the index of the next scorer that isn't ejected, or of the next one if
// all are.
func (s *scorers) pick(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.failures)
	for range n {
		s.next = (s.next + 1) % n
		if !now.Before(s.ejectedUntil[s.next]) {
			return s.next
		}
	}
	s.next = (s.next + 1) % n
	return s.next
}

// record records the outcome of a call to scorer i.
func (s *scorers) record(now time.Time, i int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ok {
		s.failures[i] = 0
		return
	}
	s.failures[i]++
	if s.failures[i] >= ejectAfter {
		s.failures[i] = 0
		s.ejectedUntil[i] = now.Add(ejectFor)
	}
}
