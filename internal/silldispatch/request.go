// Package silldispatch runs one request on the targets of a pool: it chooses a
// target, receives the response across lost connections, and retries at another
// target where that is safe.
//
// A request that no target received may be sent to any other. If a target may have
// received it, the agent there is asked first, by Attach; after that only an
// idempotent request is sent again. An interrupted generation is resumed at another
// target after the tokens that the caller has already.
package silldispatch

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Request is one request of a caller or one sample of a rollout.
type Request struct {
	ID           sillid.RequestID
	Organisation sillid.OrganisationID
	// Weight is the organisation's share; at least 1.
	Weight        int
	Class         sillwire.Class
	Trainer       sillid.TrainerID
	TrainerWeight int
	Priority      int
	Route         sillid.RouteID
	Pool          sillid.PoolID
	// Model is empty for plain services.
	Model sillid.ModelID
	// MinVersion is the lowest weight version that may serve the request.
	MinVersion sillid.WeightVersion
	Method     string
	// Path is the path at the target, with its query.
	Path string
	// Header never holds a caller's key.
	Header []sillwire.Field
	Body   []byte
	// Prefix holds the hashes of the prompt's leading blocks.
	Prefix []uint64
	// Idempotent requests may run again after an unknown outcome.
	Idempotent bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Estimate is the expected time on the target; 0 if unknown.
	Estimate time.Duration
	// Fingerprint identifies the request's content.
	Fingerprint sillcrash.Fingerprint
	// Avoid are targets to pass over while others are there.
	Avoid []sillid.TargetID
	// PrefixTokens and PrefixSpans are a generation's tokens that exist already.
	PrefixTokens []int32
	PrefixSpans  []sillattribution.Span
	// UnbilledTokens are those of PrefixTokens whose use no agent has metered.
	UnbilledTokens sillid.Tokens
	// RequireSpans makes a generation start anew instead of going on behind
	// tokens whose weight versions are not certain.
	RequireSpans bool
	// Stop, if it is not nil, ends the run when it is closed. The answer then
	// holds what was generated until then.
	Stop <-chan struct{}
	// Bind, if it is not nil, is told of each attempt before any byte of it
	// leaves. A problem ends the request; nothing was sent then.
	Bind func(ctx context.Context, p Place) *sillproblem.Problem
}

// Place is where an attempt runs.
type Place struct {
	Attempt sillid.AttemptID
	Target  sillid.TargetID
	Agent   sillid.AgentID
}

// Sink receives an answer as it comes. Its functions run on the caller's
// goroutine; an error from one of them ends the request as cancelled.
type Sink struct {
	Head   func(head *sillwire.Head) error
	Chunk  func(chunk *sillwire.Chunk) error
	Tokens func(tokens *sillwire.Tokens) error
	// Restart tells that the tokens so far are void and come anew; nil if
	// tokens that were given can't be taken back.
	Restart func()
}

// Answer is the end of an answer.
type Answer struct {
	// Finish is what the agent said at the end; nil if it said nothing.
	Finish *sillwire.Finish
	Target sillid.TargetID
	// Attempts is the number of targets that the request was sent to.
	Attempts int
}

// Route is a way to a target.
type Route struct {
	Choice sillroute.Choice
	Link   Link
}

// run returns the message that starts an attempt.
func (r *Request) run(attempt sillid.AttemptID, now time.Time) *sillwire.Run {
	return &sillwire.Run{
		RequestID:      r.ID,
		Attempt:        attempt,
		Organisation:   r.Organisation,
		Route:          r.Route,
		Class:          r.Class,
		Weight:         r.Weight,
		Trainer:        r.Trainer,
		TrainerWeight:  r.TrainerWeight,
		Priority:       r.Priority,
		TimeoutMillis:  r.Deadline.Sub(now).Milliseconds(),
		Idempotent:     r.Idempotent,
		Model:          r.Model,
		Method:         r.Method,
		Path:           r.Path,
		Header:         r.Header,
		PrefixTokens:   r.PrefixTokens,
		PrefixSpans:    r.PrefixSpans,
		EstimateMillis: r.Estimate.Milliseconds(),
		Fingerprint:    r.Fingerprint,
		UnbilledTokens: r.UnbilledTokens,
	}
}

// stopped reports whether the request was ended by its Stop channel.
func (r *Request) stopped() bool {
	select {
	case <-r.Stop:
		return true
	default:
		return false
	}
}
