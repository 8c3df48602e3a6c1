// Package silllimit shares the slots of a target fairly between organisations
// and keeps its queue short. The agent uses a fair queue with an adaptive
// concurrency limit, and the gateway an admission limit per organisation.
package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Class separates interactive requests from rollout samples.
type Class int

const (
	// Interactive requests have a caller who waits for the response.
	Interactive Class = iota
	// Rollout requests generate samples for a trainer.
	Rollout
	numClasses
)

// String returns the name of the class in logs and metrics.
func (c Class) String() string {
	if c == Rollout {
		return "rollout"
	}
	return "interactive"
}

// Entry is one attempt that waits for a slot of the target.
type Entry struct {
	// ID is unique among the waiting and running entries.
	ID           sillid.AttemptID
	Organisation sillid.OrganisationID
	// Weight is the organisation's weight in fair queueing; values below 1
	// count as 1.
	Weight int
	Class  Class
	// Trainer and TrainerWeight divide the organisation's share between its
	// trainers; both are zero for interactive entries.
	Trainer       sillid.TrainerID
	TrainerWeight int
	// Deadline is when the response must be complete; zero means no deadline.
	Deadline time.Time
	// ExpectedServiceTime is used in place of the mean service time of the
	// organisation's entries of the class; 0 if unknown.
	ExpectedServiceTime time.Duration

	// timeBudget is the time from Submit to the deadline.
	timeBudget time.Duration
}

// Refusal is an entry that was removed from the queue without running.
type Refusal struct {
	Entry   Entry
	Problem *sillproblem.Problem
}

// Result is the result of an entry that ran.
type Result struct {
	// ServiceTime is how long the entry held its slot.
	ServiceTime time.Duration
	// Latency must not depend on the length of the request, for example the
	// time to the first token. The limit adapts to it; 0 leaves the limit
	// unchanged.
	Latency time.Duration
	// Overloaded is true if the target refused the entry for lack of capacity.
	Overloaded bool
}

// Config holds the settings of a Queue.
type Config struct {
	// MaxConcurrent is the maximum of the adaptive limit; at least 1.
	MaxConcurrent int
	// MaxWaiting is the maximum number of waiting entries; at least 1.
	MaxWaiting int
	// RolloutFloor is the share of service time reserved for waiting rollouts,
	// and the share of slots that rollouts leave free for interactive entries;
	// 0 to 0.5.
	RolloutFloor float64
	// LatencyTolerance is the ratio of latency to its baseline above which the
	// limit falls; 0 means DefaultLatencyTolerance.
	LatencyTolerance float64
}

// Snapshot is the state of a Queue at a point in time.
type Snapshot struct {
	Running int
	// Waiting counts the waiting entries of each class.
	Waiting [numClasses]int
	// Limit is the current limit on running entries; from 1 to MaxConcurrent.
	Limit int
	// MeanServiceTime is the mean service time of recent entries.
	MeanServiceTime time.Duration
}
