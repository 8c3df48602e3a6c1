package sillwire

import (
	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Class separates the two kinds of work that share a target.
type Class string

const (
	// Interactive work has a caller who is waiting for it.
	Interactive Class = "interactive"
	// Rollout work generates samples for a trainer.
	Rollout Class = "rollout"
)

// Owed reports whether requests of the class belong to accepted work, which is never
// refused because targets crash while running it.
func (c Class) Owed() bool { return c == Rollout }

// Field is an HTTP header field.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Run asks an agent to run a request. Body frames with exactly BodyBytes bytes
// follow it.
type Run struct {
	RequestID    sillid.RequestID      `cbor:"1,keyasint"`
	Attempt      sillid.AttemptID      `cbor:"2,keyasint"`
	Organisation sillid.OrganisationID `cbor:"3,keyasint"`
	Route        sillid.RouteID        `cbor:"4,keyasint"`
	Class        Class                 `cbor:"5,keyasint"`
	// Weight is the organisation's share; at least 1.
	Weight int `cbor:"6,keyasint"`
	// Trainer and TrainerWeight are set on rollouts only.
	Trainer       sillid.TrainerID `cbor:"7,keyasint,omitempty"`
	TrainerWeight int              `cbor:"8,keyasint,omitempty"`
	// Priority orders rollouts of one trainer; lower runs first.
	Priority int `cbor:"9,keyasint,omitempty"`
	// TimeoutMillis is the time from the sending of the frame to the caller's
	// deadline, in milliseconds.
	TimeoutMillis int64 `cbor:"10,keyasint"`
	// Idempotent requests may be cancelled and run again elsewhere.
	Idempotent bool           `cbor:"11,keyasint,omitempty"`
	Model      sillid.ModelID `cbor:"12,keyasint,omitempty"`
	Method     string         `cbor:"13,keyasint"`
	// Path is the path at the target, with its query.
	Path string `cbor:"14,keyasint"`
	// Header never holds a caller's key.
	Header    []Field `cbor:"15,keyasint,omitempty"`
	BodyBytes int64   `cbor:"16,keyasint"`
	// PrefixTokens are tokens of this generation that the caller has already received.
	PrefixTokens []int32 `cbor:"17,keyasint,omitempty"`
	// PrefixSpans attribute PrefixTokens to weight versions.
	PrefixSpans []sillattribution.Span `cbor:"18,keyasint,omitempty"`
	// EstimateMillis is the expected time on the target, in milliseconds; 0 if unknown.
	EstimateMillis int64 `cbor:"19,keyasint,omitempty"`
	// Fingerprint identifies the request's content; see package sillcrash.
	Fingerprint sillcrash.Fingerprint `cbor:"20,keyasint"`
	// Target is the target that the gateway chose. An agent of another target that
	// reuses the address refuses the request.
	Target sillid.TargetID `cbor:"21,keyasint"`
	// Agent is the run of the agent that the gateway chose. Another run of the
	// agent refuses the request.
	Agent sillid.AgentID `cbor:"22,keyasint"`
	// UnbilledTokens is the number of PrefixTokens whose agent ended without a
	// record of their use.
	UnbilledTokens sillid.Tokens `cbor:"23,keyasint,omitempty"`
}

// Body carries a part of a request's body.
type Body struct {
	Data []byte `cbor:"1,keyasint"`
}

// Attach asks for the response frames of a run, from frame number From on, on a new
// stream after the stream of the run broke.
type Attach struct {
	RequestID sillid.RequestID `cbor:"1,keyasint"`
	Attempt   sillid.AttemptID `cbor:"2,keyasint"`
	// From is the number of response frames that the gateway has received.
	From int `cbor:"3,keyasint"`
	// Agent is the agent run that received the request. Another run of the agent
	// does not know the request's outcome.
	Agent sillid.AgentID `cbor:"4,keyasint"`
}

// Refuse answers a request that the agent did not run, and reports the problem of a
// run that failed.
type Refuse struct {
	Kind             sillproblem.Kind    `cbor:"1,keyasint"`
	Outcome          sillproblem.Outcome `cbor:"2,keyasint"`
	Detail           string              `cbor:"3,keyasint,omitempty"`
	RetryAfterMillis int64               `cbor:"4,keyasint,omitempty"`
	// Load is nil if the refusal does not report it.
	Load *Load `cbor:"5,keyasint,omitempty"`
	// AtLimit is whether the target's limit on requests refused it; processes of earlier
	// builds don't send it.
	AtLimit bool `cbor:"6,keyasint,omitempty"`
}

// Load is the load of a target by its agent's count.
type Load struct {
	Running int `cbor:"1,keyasint"`
	Waiting int `cbor:"2,keyasint"`
}

// Head starts the response of a plain service.
type Head struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
}

// Chunk carries a part of the response of a plain service, or of weights.
type Chunk struct {
	Data []byte `cbor:"1,keyasint"`
}

// Tokens carries a part of a generation.
type Tokens struct {
	Text string `cbor:"1,keyasint"`
	// IDs are the tokens of Text, in order.
	IDs []int32 `cbor:"2,keyasint"`
	// Version is the weight version that generated the tokens, as far as the agent knows.
	Version sillid.WeightVersion `cbor:"3,keyasint"`
}

// UsageRecord is the use of one request, numbered by its agent.
type UsageRecord struct {
	// Agent is the id of the meter that numbered the record.
	Agent sillid.AgentID `cbor:"1,keyasint"`
	// Sequence counts the records of the agent from 1 without gaps.
	Sequence     uint64                `cbor:"2,keyasint"`
	Organisation sillid.OrganisationID `cbor:"3,keyasint"`
	Route        sillid.RouteID        `cbor:"4,keyasint"`
	// WindowUnixMillis is the start of the usage window in which the request ended.
	WindowUnixMillis int64         `cbor:"5,keyasint"`
	PromptTokens     sillid.Tokens `cbor:"6,keyasint"`
	CompletionTokens sillid.Tokens `cbor:"7,keyasint"`
	ServiceMillis    int64         `cbor:"8,keyasint"`
	// Requests is 1 for a complete response and 0 for a partial one.
	Requests int64 `cbor:"9,keyasint"`
}

// Finish ends a response. A response without it is truncated.
type Finish struct {
	// Problem is nil if the response is complete.
	Problem *Refuse `cbor:"1,keyasint,omitempty"`
	// Bytes is the sum of the lengths of all chunks.
	Bytes int64 `cbor:"2,keyasint"`
	// Tokens is the number of generated tokens, prefix included.
	Tokens       int    `cbor:"3,keyasint"`
	FinishReason string `cbor:"4,keyasint,omitempty"`
	// PromptTokens is the length of the prompt as the engine counted it.
	PromptTokens sillid.Tokens `cbor:"5,keyasint,omitempty"`
	// Spans attribute all tokens; nil if Unattributable is set.
	Spans []sillattribution.Span `cbor:"6,keyasint,omitempty"`
	// Unattributable is the reason why the tokens can't be attributed.
	Unattributable string `cbor:"7,keyasint,omitempty"`
	// Usage is nil if nothing is billed for the run.
	Usage *UsageRecord `cbor:"8,keyasint,omitempty"`
	// RequestID is the request that the response belongs to.
	RequestID sillid.RequestID `cbor:"9,keyasint"`
	// Died is the run of the target that crashed during the request; empty if none
	// crashed.
	Died string `cbor:"10,keyasint,omitempty"`
	// Load includes the run itself; nil if not reported.
	Load *Load `cbor:"11,keyasint,omitempty"`
}

// Cancel cancels the run of its stream after the caller has disconnected.
type Cancel struct{}
