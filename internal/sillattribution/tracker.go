package sillattribution

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Tracker follows one generation on one target. It is not safe for concurrent use.
type Tracker struct {
	start InitialState
	// confirmed is the last version that the agent found loaded.
	confirmed sillid.WeightVersion
	// pending is the version of an order under way; 0 if there is none.
	pending sillid.WeightVersion
	// replaced was confirmed before confirmed; chunks may name it until replacedUntil.
	replaced      sillid.WeightVersion
	replacedUntil time.Time
	// unsettled is true from a failed or unknown order until Confirmed.
	unsettled bool
	// doubtful is true if a chunk named the confirmed version while unsettled.
	doubtful bool
	// latest is the version of the last chunk of this target; 0 before the first.
	latest sillid.WeightVersion
	prefix []Span
	own    []Span
	end    sillid.Tokens
	ended  bool
	reason Reason
}

// New opens a bracket right before the generation is sent to the engine.
func New(start InitialState) *Tracker {
	return &Tracker{start: start, confirmed: start.Version, pending: start.Pending}
}

// SetPrefix sets the spans of the tokens that another target generated. It comes
// before the first chunk.
func (b *Tracker) SetPrefix(spans []Span) {
	prefix, ok := Join(spans)
	if !ok || b.latest != 0 {
		b.fail(PrefixBroken)
		return
	}
	b.prefix = prefix
	if len(prefix) > 0 {
		b.end = prefix[len(prefix)-1].To
	}
}

// KVImported tells which version made the KV cache that the engine imported. It
// comes after Resumed and before the first chunk.
func (b *Tracker) KVImported(version sillid.WeightVersion) {
	for _, s := range b.prefix {
		if s.Version == version {
			return
		}
	}
	b.fail(KVForeign)
}

// LoadStarted tells that the agent sends the engine a load order.
func (b *Tracker) LoadStarted(version sillid.WeightVersion) {
	if b.unsettled {
		// What was loaded between the two orders can't be found out any more.
		b.fail(SwapUnsettled)
	}
	b.pending = version
}

// LoadEnded tells the outcome of the load order under way. After LoadFailed and
// LoadUnknown the agent reads the engine's version and calls VersionConfirmed.
func (b *Tracker) LoadEnded(now time.Time, version sillid.WeightVersion, outcome LoadOutcome) {
	if outcome != LoadOK {
		b.unsettled = true
		return
	}
	b.settle(now, version)
}

// VersionConfirmed tells which version the agent found loaded after an order whose
// outcome was not known. A claim of the other version makes the result SwapUnsettled.
func (b *Tracker) VersionConfirmed(now time.Time, version sillid.WeightVersion, engine sillid.EngineID) {
	if engine != b.start.Engine {
		b.fail(EngineRestarted)
		return
	}
	b.unsettled = false
	if version == b.confirmed {
		b.doubtful = false
		if b.pending != 0 && b.latest == b.pending {
			b.fail(SwapUnsettled)
		}
		b.pending = 0
		return
	}
	if version != b.pending {
		b.fail(VersionUnordered)
		return
	}
	if b.doubtful {
		b.fail(SwapUnsettled)
	}
	b.settle(now, version)
}

func (b *Tracker) settle(now time.Time, version sillid.WeightVersion) {
	b.pending = 0
	b.unsettled = false
	if version == b.confirmed {
		return
	}
	b.replaced = b.confirmed
	b.replacedUntil = now.Add(b.start.SwapWindow)
	b.confirmed = version
}

// AddChunk takes one report of the engine.
func (b *Tracker) AddChunk(now time.Time, c Chunk) {
	if b.ended {
		b.fail(ReportLate)
		return
	}
	if c.Engine != b.start.Engine {
		b.fail(EngineRestarted)
		return
	}
	if reason := b.judge(now, c.Version); reason != "" {
		b.fail(reason)
		return
	}
	if c.Tokens <= 0 {
		return
	}
	b.latest = c.Version
	if b.unsettled && c.Version == b.confirmed {
		b.doubtful = true
	}
	b.own = append(b.own, Span{From: b.end, To: b.end + c.Tokens, Version: c.Version})
	b.end += c.Tokens
}

// judge holds a claimed version against the agent's orders.
func (b *Tracker) judge(now time.Time, version sillid.WeightVersion) Reason {
	back := version < b.latest
	switch {
	case back:
		return VersionOld
	case version == b.confirmed:
		return ""
	case b.pending != 0 && version == b.pending:
		return ""
	case b.replaced != 0 && version == b.replaced && !now.After(b.replacedUntil):
		return ""
	case version < b.confirmed:
		return VersionOld
	default:
		return VersionUnordered
	}
}

// End closes the bracket with the number of generated tokens, the prefix
// included, that the engine counted.
func (b *Tracker) End(counted sillid.Tokens) {
	switch {
	case b.end < counted:
		b.fail(TokensMissing)
	case b.end > counted:
		b.fail(TokensDoubled)
	}
	b.ended = true
}

// Result returns the spans, or the first reason why there are none. A bracket
// that is still open has the result of a generation that stops here, as a
// target hands it over for a resume.
func (b *Tracker) Result() Result {
	if b.reason != "" {
		return Result{Reason: b.reason}
	}
	if b.unsettled || (b.pending != 0 && b.latest == b.pending) {
		return Result{Reason: SwapUnsettled}
	}
	spans, ok := Join(b.prefix, b.own)
	if !ok {
		return Result{Reason: PrefixBroken}
	}
	return Result{Spans: spans}
}

func (b *Tracker) fail(reason Reason) {
	if b.reason == "" {
		b.reason = reason
	}
}
