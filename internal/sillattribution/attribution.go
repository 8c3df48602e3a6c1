// Package sillattribution names the weight versions that produced each token of a
// generation, or tells why they can't be named.
//
// The agent of a target orders every load of weights and sees every chunk of a
// generation, so it can hold the engine's own report against what it ordered. A
// generation whose versions are not certain is discarded and generated again;
// no version is ever inferred from the time of a chunk alone.
package sillattribution

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Span names the weight version that produced the tokens [From, To).
type Span struct {
	From    sillid.Tokens        `json:"from" cbor:"1,keyasint"`
	To      sillid.Tokens        `json:"to" cbor:"2,keyasint"`
	Version sillid.WeightVersion `json:"version" cbor:"3,keyasint"`
}

// Reason tells why a generation can't be attributed. The empty Reason means that it can.
type Reason string

// The reasons to discard a generation.
const (
	// EngineRestarted: a chunk came from another run of the engine.
	EngineRestarted Reason = "engine-restarted"
	// VersionUnordered: the engine claims a version that the agent never ordered.
	VersionUnordered Reason = "version-unordered"
	// VersionOld: the engine claims a replaced version after the swap window, or goes back to one.
	VersionOld Reason = "version-old"
	// SwapUnsettled: a swap failed or its outcome is unknown, and the engine's claims don't fit what was found.
	SwapUnsettled Reason = "swap-unsettled"
	// TokensMissing: fewer tokens came than the engine counted.
	TokensMissing Reason = "tokens-missing"
	// TokensDoubled: more tokens came than the engine counted.
	TokensDoubled Reason = "tokens-doubled"
	// ReportLate: a chunk came after the end.
	ReportLate Reason = "report-late"
	// PrefixBroken: the spans of a resumed generation don't join.
	PrefixBroken Reason = "prefix-broken"
	// KVForeign: imported KV cache was made by a version that no span of the prefix names.
	KVForeign Reason = "kv-foreign"
)

// Reasons lists every reason, for counters that exist from the start.
func Reasons() []Reason {
	return []Reason{
		EngineRestarted, VersionUnordered, VersionOld, SwapUnsettled, TokensMissing,
		TokensDoubled, ReportLate, PrefixBroken, KVForeign,
	}
}

// LoadOutcome is the agent's knowledge of a load order.
type LoadOutcome string

// The outcomes of a load order.
const (
	LoadOK      LoadOutcome = "ok"
	LoadFailed  LoadOutcome = "failed"
	LoadUnknown LoadOutcome = "unknown"
)

// Chunk is one report of the engine.
type Chunk struct {
	// Tokens is the number of new tokens in the chunk.
	Tokens sillid.Tokens
	// Version and Engine are the engine's own claims.
	Version sillid.WeightVersion
	Engine  sillid.EngineID
}

// Result is the outcome of a bracket.
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

// InitialState holds what the agent knows when a generation is sent to its engine.
type InitialState struct {
	// Version is the last version that the agent found loaded.
	Version sillid.WeightVersion
	// Engine is the run of the engine in which it found it.
	Engine sillid.EngineID
	// Pending is the version of a load order under way; 0 if there is none.
	Pending sillid.WeightVersion
	// SwapWindow bounds how long after a confirmed swap a chunk may still carry
	// the replaced version, because it was produced before and travelled late.
	SwapWindow time.Duration
}
