// Package sillattribution attributes each token of a generation to the weight version
// that produced it, or gives the reason why that is not possible.
//
// The agent of a target requests every load of weights and receives every chunk of a
// generation, so it can check the version that the engine reports against the loads
// that it requested. A generation whose versions are not certain is discarded and
// generated again; a version is never inferred from the time of a chunk alone.
package sillattribution

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Span is the range [From, To) of tokens that one weight version produced.
type Span struct {
	From    sillid.Tokens        `json:"from" cbor:"1,keyasint"`
	To      sillid.Tokens        `json:"to" cbor:"2,keyasint"`
	Version sillid.WeightVersion `json:"version" cbor:"3,keyasint"`
}

// Reason is why a generation can't be attributed. The empty Reason means that it can.
type Reason string

// The reasons to discard a generation.
const (
	// EngineRestarted: a chunk came from a run of the engine other than that at the start.
	EngineRestarted Reason = "engine-restarted"
	// VersionUnordered: the engine reported a version that the agent did not request.
	VersionUnordered Reason = "version-unordered"
	// VersionOld: the engine reported a replaced version after the swap window, or after
	// a chunk of a newer version.
	VersionOld Reason = "version-old"
	// SwapUnsettled: a swap failed or its outcome is unknown, and the versions that the
	// engine reported don't fit the version that was found loaded.
	SwapUnsettled Reason = "swap-unsettled"
	// TokensMissing: the agent received fewer tokens than the engine counted.
	TokensMissing Reason = "tokens-missing"
	// TokensDoubled: the agent received more tokens than the engine counted.
	TokensDoubled Reason = "tokens-doubled"
	// ReportLate: a chunk came after the end of the generation.
	ReportLate Reason = "report-late"
	// PrefixBroken: the spans of a resumed generation leave a gap or overlap.
	PrefixBroken Reason = "prefix-broken"
	// KVForeign: the imported KV cache was made by a version that produced no token of
	// the prefix.
	KVForeign Reason = "kv-foreign"
)

// Reasons returns every reason, so that metrics can initialise a counter for each.
func Reasons() []Reason {
	return []Reason{
		EngineRestarted, VersionUnordered, VersionOld, SwapUnsettled, TokensMissing,
		TokensDoubled, ReportLate, PrefixBroken, KVForeign,
	}
}

// LoadOutcome is the outcome of a load request as known to the agent.
type LoadOutcome string

// The outcomes of a load request.
const (
	LoadOK      LoadOutcome = "ok"
	LoadFailed  LoadOutcome = "failed"
	LoadUnknown LoadOutcome = "unknown"
)

// Chunk is the engine's report of one chunk of tokens.
type Chunk struct {
	// Tokens is the number of new tokens in the chunk.
	Tokens sillid.Tokens
	// Version is the weight version that the engine reports, Engine its run.
	Version sillid.WeightVersion
	Engine  sillid.EngineID
}

// Result is the outcome of a Tracker.
type Result struct {
	// Spans cover the tokens from 0 without a gap, oldest first; nil if Reason is set.
	Spans []Span
	// Reason is empty if every token is attributed.
	Reason Reason
}

// Join appends spans and merges neighbours of one version. It returns false if
// they leave a gap, overlap or don't start at 0.
func Join(parts ...[]Span) ([]Span, bool) {
	var joined []Span
	var end sillid.Tokens
	for _, part := range parts {
		for _, s := range part {
			if s.From != end || s.To <= s.From {
				return nil, false
			}
			end = s.To
			last := len(joined) - 1
			if last >= 0 && joined[last].Version == s.Version {
				joined[last].To = s.To
				continue
			}
			joined = append(joined, s)
		}
	}
	return joined, true
}

// Oldest returns the lowest version of the spans; false if there are none.
func Oldest(spans []Span) (sillid.WeightVersion, bool) {
	if len(spans) == 0 {
		return 0, false
	}
	oldest := spans[0].Version
	for _, s := range spans[1:] {
		oldest = min(oldest, s.Version)
	}
	return oldest, true
}

// InitialState holds the state of the engine as known to the agent when a generation
// is sent to it.
type InitialState struct {
	// Version is the last version that the agent found loaded.
	Version sillid.WeightVersion
	// Engine is the run of the engine in which the agent found Version loaded.
	Engine sillid.EngineID
	// Pending is the version of a load request in flight; 0 if there is none.
	Pending sillid.WeightVersion
	// SwapWindow is how long after a confirmed swap a chunk may still carry the
	// replaced version, because it was produced before the swap and arrived late.
	SwapWindow time.Duration
}
