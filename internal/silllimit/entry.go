// Package silllimit shares a target between organisations and keeps its queue
// short: a fair queue at the agent and an admission bound at the gateway.
package silllimit

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Class separates requests that somebody waits for from samples of rollouts.
type Class int

const (
	// Interactive requests have a caller who waits for the answer.
	Interactive Class = iota
	// Rollout requests generate samples for a trainer.
	Rollout
	classes
)

// String returns the class as logs and metrics name it.
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
	// Weight is the organisation's share; values below 1 count as 1.
	Weight int
	Class  Class
	// Trainer and TrainerWeight share the organisation's rollouts; both are
	// zero for interactive entries.
	Trainer       sillid.TrainerID
	TrainerWeight int
	// Deadline is when the answer must be complete; zero means never.
	Deadline time.Time
	// ExpectedServiceTime is the expected service time; 0 takes the mean of the
	// organisation's entries of the class.
	ExpectedServiceTime time.Duration

	// patience is the time from Submit to the deadline.
	patience time.Duration
}

// Refusal is an entry that left the queue without running.
type Refusal struct {
	Entry   Entry
	Problem *sillproblem.Problem
}

// Result tells how a running entry ended.
type Result struct {
	// ServiceTime is the time that the entry held its slot.
	ServiceTime time.Duration
	// Latency does not depend on the length of the request, such as the time to
	// the first token; the limit adapts to it. 0 leaves the limit alone.
	Latency time.Duration
	// Overloaded is true if the target refused the entry for lack of capacity.
	Overloaded bool
}

// Config holds the settings of a Queue.
type Config struct {
	// MaxConcurrent is the upper end of the adaptive limit; at least 1.
	MaxConcurrent int
	// MaxWaiting bounds the waiting entries; at least 1.
	MaxWaiting int
	// RolloutFloor is the share of service time that waiting rollouts keep, and
	// the share of slots that rollouts leave to interactive entries; 0 to 0.5.
	RolloutFloor float64
	// LatencyTolerance is the ratio of latency to its baseline above which the
	// limit falls; 0 means DefaultLatencyTolerance.
	LatencyTolerance float64
}

// Snapshot is the state of a Queue at one moment.
type Snapshot struct {
	Running int
	// Waiting counts the waiting entries of each class.
	Waiting [classes]int
	// Limit is the current limit on running entries; from 1 to MaxConcurrent.
	Limit int
	// MeanServiceTime is the mean service time of recent entries.
	MeanServiceTime time.Duration
}
