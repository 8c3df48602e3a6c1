package sillwire

import (
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// AgentState says whether an agent takes new work.
type AgentState string

const (
	// Serving agents take new work.
	Serving AgentState = "serving"
	// DrainingState agents finish their work and take no new work.
	DrainingState AgentState = "draining"
	// TargetDown agents can't reach their target.
	TargetDown AgentState = "target-down"
	// Starting agents have no bundle or no target yet.
	Starting AgentState = "starting"
	// Swapping agents are loading weights and take no new work until then.
	Swapping AgentState = "swapping"
)

// ModelVersion is a weight version of a model.
type ModelVersion struct {
	Model   sillid.ModelID       `cbor:"1,keyasint"`
	Version sillid.WeightVersion `cbor:"2,keyasint"`
}

// ConfigDigest describes the configuration that a process has in force.
type ConfigDigest struct {
	// Version is 0 before the first bundle.
	Version sillid.BundleVersion `cbor:"1,keyasint"`
	// Confirmed is true if the process has ever known Version to be the accepted one.
	Confirmed bool `cbor:"2,keyasint,omitempty"`
	// AgeMillis is the time since then, in milliseconds.
	AgeMillis int64 `cbor:"3,keyasint,omitempty"`
	// Withdrawals counts the withdrawn keys; WithdrawalSum is a checksum over them.
	Withdrawals   int    `cbor:"4,keyasint,omitempty"`
	WithdrawalSum uint64 `cbor:"5,keyasint,omitempty"`
}

// Ping is the gateway's heartbeat, on the first stream of a connection.
type Ping struct {
	Sequence uint64           `cbor:"1,keyasint"`
	Gateway  sillid.GatewayID `cbor:"2,keyasint"`
	Config   ConfigDigest     `cbor:"3,keyasint"`
	// Suspicions are the gateway's evidence on requests that crash targets.
	Suspicions []sillcrash.Evidence `cbor:"7,keyasint,omitempty"`
	// EndedTargets are the targets that the gateway counts as ended.
	EndedTargets []sillid.TargetID `cbor:"8,keyasint,omitempty"`
}

// Pong answers a Ping with the agent's state.
type Pong struct {
	Sequence uint64          `cbor:"1,keyasint"`
	Agent    sillid.AgentID  `cbor:"2,keyasint"`
	Target   sillid.TargetID `cbor:"3,keyasint"`
	Pool     sillid.PoolID   `cbor:"4,keyasint"`
	Zone     sillid.ZoneID   `cbor:"5,keyasint"`
	State    AgentState      `cbor:"6,keyasint"`
	Config   ConfigDigest    `cbor:"7,keyasint"`
	// AskConfig is true if the gateway should push its configuration.
	AskConfig bool `cbor:"8,keyasint,omitempty"`
	// Running and Queued are the agent's own counts; Limit is its current bound on Running.
	Running int `cbor:"9,keyasint"`
	Queued  int `cbor:"10,keyasint"`
	Limit   int `cbor:"11,keyasint"`
	// ServiceMillis is the mean time of a run on the target.
	ServiceMillis int64 `cbor:"12,keyasint"`
	// Meter is the id under which the agent numbers its usage records, and
	// DurableSequence the highest number that the table holds.
	Meter           sillid.AgentID       `cbor:"18,keyasint"`
	DurableSequence uint64               `cbor:"13,keyasint"`
	Models          []ModelVersion       `cbor:"14,keyasint,omitempty"`
	Engine          sillid.EngineID      `cbor:"15,keyasint,omitempty"`
	Suspicions      []sillcrash.Evidence `cbor:"16,keyasint,omitempty"`
	Instance        sillid.InstanceID    `cbor:"19,keyasint,omitempty"`
	// Adopted are the versions of the newest weight plans that the agent has.
	Adopted []ModelVersion `cbor:"20,keyasint,omitempty"`
}
