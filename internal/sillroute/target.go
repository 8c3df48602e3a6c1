// Package sillroute chooses a target for each request.
package sillroute

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Target is a target that can receive requests, as reported by membership and
// its agent.
type Target struct {
	ID   sillid.TargetID
	Zone sillid.ZoneID
	// Loaded lists the models that an engine serves; empty for plain services.
	Loaded []LoadedModel
	Load   Load
}

// LoadedModel is a model at a version, or an adapter of it. A target lists the
// model itself with an empty Adapter, and each adapter in an entry of its own.
type LoadedModel struct {
	Model   sillid.ModelID
	Adapter string
	Version sillid.WeightVersion
}

// Load is the load in the agent's last report, which can be out of date.
type Load struct {
	// Running and Waiting count the requests of all gateways.
	Running int
	Waiting int
	// Limit is the maximum number of requests that run concurrently; 0 if
	// unknown.
	Limit int
	// MeanServiceTime is the mean service time; 0 if unknown.
	MeanServiceTime time.Duration
	// Sequence grows with each report of one agent.
	Sequence uint64
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	// Model, Adapter and MinVersion must be served by the target; they are
	// zero for plain services.
	Model      sillid.ModelID
	Adapter    string
	MinVersion sillid.WeightVersion
	// Prefix holds the hashes of the prompt's leading blocks, shortest first,
	// as PrefixBlocks returns them; empty for requests without affinity.
	Prefix []uint64
	// Exclude lists the targets where the request has already failed.
	Exclude []sillid.TargetID
	// RandomSeed is a fresh random number that seeds the choice.
	RandomSeed uint64
}

// Outcome is how an attempt at a target ended.
type Outcome int

const (
	// Succeeded means that the target sent a response.
	Succeeded Outcome = iota
	// TargetFault means that the target or the path to it failed.
	TargetFault
	// Overloaded means that the target's agent refused the attempt for lack of
	// capacity.
	Overloaded
	// Inconclusive means that the attempt ended for a reason unrelated to the
	// target's health.
	Inconclusive
)

// Config holds the settings of a Chooser.
type Config struct {
	// Zone is the gateway's own availability zone.
	Zone sillid.ZoneID
	// MaxEjectedShare is the maximum share of targets that are ejected at once;
	// 0 means DefaultMaxEjectedShare.
	MaxEjectedShare float64
	// Ejected is called for each ejection. It must not call the Chooser; it may
	// be nil.
	Ejected func(target sillid.TargetID, reason EjectReason)
}
