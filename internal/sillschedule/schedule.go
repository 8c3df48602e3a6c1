// Package sillschedule decides who waits when capacity is short: which groups of items get
// slots first, how many slots of a shared pool an owner of jobs takes, and which caller's
// request gets the next target. Its types are passed the time and use no network.
package sillschedule

import "math"

// Priority is the configured priority of an organisation or a route; 0 is the highest.
type Priority int

// MaxPriority is the lowest priority; larger values count as this one.
const MaxPriority Priority = 9

// priorityFactor is the ratio of the worths of two adjacent priorities.
const priorityFactor = 2

// Worth returns the worth of work of a priority in relation to that of the highest one.
func (p Priority) Worth() float64 {
	return math.Pow(priorityFactor, -float64(min(max(p, 0), MaxPriority)))
}

// Class is the kind of a request.
type Class int

const (
	// Interactive requests have a caller who waits for the response.
	Interactive Class = iota
	// Stream requests have a caller who reads the response while it arrives.
	Stream
	// Score requests belong to items of jobs.
	Score
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	switch c {
	case Stream:
		return "stream"
	case Score:
		return "score"
	case Interactive:
	}
	return "interactive"
}

// guaranteedShare is the share of the slots, or of the grants of targets, that work gets
// which the order would make wait the longest.
const guaranteedShare = 1.0 / 8
