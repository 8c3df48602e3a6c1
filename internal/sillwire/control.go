package sillwire

import (
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// RunState is the state of a request at an agent.
type RunState string

const (
	// RunUnknown means that this run of the agent never received the request.
	RunUnknown RunState = "unknown"
	// RunQueued means that the target has received no byte of the request.
	RunQueued RunState = "queued"
	// RunStarted means that the target has received the request.
	RunStarted RunState = "started"
	// RunEnded means that the request has ended and its response is kept for Attach.
	RunEnded RunState = "ended"
)

// Lookup asks for the state of a request.
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
	// Undo cancels an earlier Drain.
	Undo bool `cbor:"2,keyasint,omitempty"`
}

// Drained answers a Drain.
type Drained struct {
	// Open is the number of runs that have not ended or whose response is still
	// being sent.
	Open int `cbor:"1,keyasint"`
}

// FetchWeights asks an agent for weights. The response is Chunk frames followed by
// a Finish. While the agent does not have the weights yet, it sends empty chunks;
// if it is not going to have them, it sends a Refuse.
type FetchWeights struct {
	Model   sillid.ModelID       `cbor:"1,keyasint"`
	Version sillid.WeightVersion `cbor:"2,keyasint"`
}

// WeightPlan pushes a newer plan to an agent, encoded as JSON.
type WeightPlan struct {
	Data []byte `cbor:"1,keyasint"`
}

// WeightStatus reports the sender's progress with a version to another agent. The
// response is the receiver's own status.
type WeightStatus struct {
	Target  sillid.TargetID      `cbor:"1,keyasint"`
	Model   sillid.ModelID       `cbor:"2,keyasint"`
	Version sillid.WeightVersion `cbor:"3,keyasint"`
	// State is a state of package sillweight.
	State string `cbor:"4,keyasint"`
}
