package sillwire

import (
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// RunState tells what an agent knows of a request.
type RunState string

const (
	// RunUnknown means that this agent run never got the request.
	RunUnknown RunState = "unknown"
	// RunQueued means that the target has got no byte of the request.
	RunQueued RunState = "queued"
	// RunStarted means that the target has got the request.
	RunStarted RunState = "started"
	// RunEnded means that the request has ended and its answer is kept for Attach.
	RunEnded RunState = "ended"
)

// Lookup asks what became of a request.
type Lookup struct {
	RequestID sillid.RequestID `cbor:"1,keyasint"`
}

// LookupAnswer answers a Lookup.
type LookupAnswer struct {
	Agent   sillid.AgentID   `cbor:"1,keyasint"`
	State   RunState         `cbor:"2,keyasint"`
	Attempt sillid.AttemptID `cbor:"3,keyasint,omitempty"`
}

// FetchBundle asks an agent for its configuration.
type FetchBundle struct{}

// Bundle carries a configuration in chunks; the last one has Last set. It
// answers a FetchBundle, or pushes a newer configuration to an agent.
type Bundle struct {
	Version sillid.BundleVersion `cbor:"1,keyasint"`
	Data    []byte               `cbor:"2,keyasint"`
	Last    bool                 `cbor:"3,keyasint"`
}

// Drain tells an agent to take no new work.
type Drain struct {
	Reason string `cbor:"1,keyasint"`
	// Undo takes an earlier Drain back.
	Undo bool `cbor:"2,keyasint,omitempty"`
}

// Drained answers a Drain.
type Drained struct {
	// Open counts the runs that have not ended, or whose answer is still under way, and
	// the gateways that may still send requests. Once it is 0, the target may be stopped.
	Open int `cbor:"1,keyasint"`
}

// FetchWeights asks an agent for weights, as Chunk frames with a Finish behind
// them. Empty chunks tell that the agent does not have them yet. The answer is
// a Refuse if it does not get them at all.
type FetchWeights struct {
	Model   sillid.ModelID       `cbor:"1,keyasint"`
	Version sillid.WeightVersion `cbor:"2,keyasint"`
}

// WeightPlan pushes a newer plan to an agent, in JSON.
type WeightPlan struct {
	Data []byte `cbor:"1,keyasint"`
}

// WeightStatus tells another agent how far the sender is with a version. It is
// answered with the receiver's own.
type WeightStatus struct {
	Target  sillid.TargetID      `cbor:"1,keyasint"`
	Model   sillid.ModelID       `cbor:"2,keyasint"`
	Version sillid.WeightVersion `cbor:"3,keyasint"`
	// State is a state of package sillweight.
	State string `cbor:"4,keyasint"`
}
