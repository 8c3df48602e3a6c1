// Package sillroute chooses the target of each request.
package sillroute

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Target is a target that may get requests, as membership and its agent tell.
type Target struct {
	ID   sillid.TargetID
	Zone sillid.ZoneID
	// Loaded lists what an engine serves; empty for plain services.
	Loaded []LoadedModel
	Load   Load
}

// LoadedModel is a model at a version, or an adapter of it. A target lists the model
// itself with an empty Adapter, and each adapter besides.
type LoadedModel struct {
	Model   sillid.ModelID
	Adapter string
	Version sillid.WeightVersion
}

// Load is what an agent reported last. It lags.
type Load struct {
	// Running and Waiting count the requests of all gateways.
	Running int
	Waiting int
	// Limit is the number of requests that run at once; 0 if unknown.
	Limit int
	// MeanServiceTime is the mean service time; 0 if unknown.
	MeanServiceTime time.Duration
	// Sequence grows with each report of one agent.
	Sequence uint64
}

// Request is what the choice depends on.
type Request struct {
	// Model, Adapter and MinVersion must be served by the target; they are
	// zero for plain services.
	Model      sillid.ModelID
	Adapter    string
	MinVersion sillid.WeightVersion
	// Prefix holds the hashes of the prompt's leading blocks, shortest first,
	// as PrefixBlocks returns them; empty for requests without affinity.
	Prefix []uint64
	// Exclude lists the targets that failed the request already.
	Exclude []sillid.TargetID
	// RandomSeed is a fresh random number.
	RandomSeed uint64
}

// Outcome tells how an attempt at a target ended.
type Outcome int

const (
	// Succeeded means that the target answered.
	Succeeded Outcome = iota
	// TargetFault means that the target or the path to it failed.
	TargetFault
	// Overloaded means that the target's agent refused the attempt for lack of room.
	Overloaded
	// Inconclusive means that the attempt ended for reasons that tell nothing of the target.
	Inconclusive
)

// Config holds the settings of a Chooser.
type Config struct {
	// Zone is the gateway's own availability zone.
	Zone sillid.ZoneID
	// MaxEjectedShare bounds the ejected targets as a share of all; 0 means
	// DefaultMaxEjectedShare.
	MaxEjectedShare float64
	// Ejected is told of each ejection and must not call the Chooser; it may be nil.
	Ejected func(target sillid.TargetID, reason EjectReason)
}
