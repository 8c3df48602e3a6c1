package sillattribution

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Tracker attributes the tokens of one generation on one target. It is not safe for
// concurrent use.
type Tracker struct {
	start InitialState
	// confirmed is the last version that the agent found loaded.
	confirmed sillid.WeightVersion
	// pending is the version of a load request in flight; 0 if there is none.
	pending sillid.WeightVersion
	// replaced is the version confirmed before the current one; chunks may report it
	// until replacedUntil.
	replaced      sillid.WeightVersion
	replacedUntil time.Time
	// unsettled is true from a load that failed or whose outcome is unknown until
	// VersionConfirmed.
	unsettled bool
	// doubtful is true if a chunk reported the confirmed version while unsettled.
	doubtful bool
	// latest is the version of the last chunk of this target; 0 before the first.
	latest sillid.WeightVersion
	// prefix holds the spans of earlier targets, own those of this target.
	prefix []Span
	own    []Span
	// end is the number of tokens so far, including the prefix.
	end    sillid.Tokens
	ended  bool
	reason Reason
}

// New returns the tracker of a generation that is about to be sent to the engine.
func New(start InitialState) *Tracker {
	return &Tracker{start: start, confirmed: start.Version, pending: start.Pending}
}

// SetPrefix sets the spans of the tokens that another target generated. It must be
// called before the first chunk.
func (t *Tracker) SetPrefix(spans []Span) {
	prefix, ok := Join(spans)
	if !ok || t.latest != 0 {
		t.fail(PrefixBroken)
		return
	}
	t.prefix = prefix
	if len(prefix) > 0 {
		t.end = prefix[len(prefix)-1].To
	}
}

// KVImported records the version that made the KV cache imported by the engine. It must
// be called after SetPrefix and before the first chunk.
func (t *Tracker) KVImported(version sillid.WeightVersion) {
	for _, s := range t.prefix {
		if s.Version == version {
			return
		}
	}
	t.fail(KVForeign)
}

// LoadStarted records that the agent is about to send the engine a load request.
func (t *Tracker) LoadStarted(version sillid.WeightVersion) {
	if t.unsettled {
		// It can no longer be found out which version was loaded between the two requests.
		t.fail(SwapUnsettled)
	}
	t.pending = version
}

// LoadEnded records the outcome of the load request in flight. After LoadFailed and
// LoadUnknown the agent has to read the engine's version and call VersionConfirmed.
func (t *Tracker) LoadEnded(now time.Time, version sillid.WeightVersion, outcome LoadOutcome) {
	if outcome != LoadOK {
		t.unsettled = true
		return
	}
	t.confirm(now, version)
}

// VersionConfirmed records the version that the agent found loaded after a load whose
// outcome was not LoadOK. A chunk that reported the other version meanwhile makes the
// result SwapUnsettled.
func (t *Tracker) VersionConfirmed(now time.Time, version sillid.WeightVersion, engine sillid.EngineID) {
	if engine != t.start.Engine {
		t.fail(EngineRestarted)
		return
	}
	t.unsettled = false
	if version == t.confirmed {
		t.doubtful = false
		if t.pending != 0 && t.latest == t.pending {
			t.fail(SwapUnsettled)
		}
		t.pending = 0
		return
	}
	if version != t.pending {
		t.fail(VersionUnordered)
		return
	}
	if t.doubtful {
		t.fail(SwapUnsettled)
	}
	t.confirm(now, version)
}

func (t *Tracker) confirm(now time.Time, version sillid.WeightVersion) {
	t.pending = 0
	t.unsettled = false
	if version == t.confirmed {
		return
	}
	t.replaced = t.confirmed
	t.replacedUntil = now.Add(t.start.SwapWindow)
	t.confirmed = version
}

// AddChunk records the engine's report of one chunk.
func (t *Tracker) AddChunk(now time.Time, c Chunk) {
	if t.ended {
		t.fail(ReportLate)
		return
	}
	if c.Engine != t.start.Engine {
		t.fail(EngineRestarted)
		return
	}
	if reason := t.checkVersion(now, c.Version); reason != "" {
		t.fail(reason)
		return
	}
	if c.Tokens <= 0 {
		return
	}
	t.latest = c.Version
	if t.unsettled && c.Version == t.confirmed {
		t.doubtful = true
	}
	t.own = append(t.own, Span{From: t.end, To: t.end + c.Tokens, Version: c.Version})
	t.end += c.Tokens
}

// checkVersion checks a reported version against the requested loads. It returns an
// empty reason if the version is possible.
func (t *Tracker) checkVersion(now time.Time, version sillid.WeightVersion) Reason {
	wentBack := version < t.latest
	switch {
	case wentBack:
		return VersionOld
	case version == t.confirmed:
		return ""
	case t.pending != 0 && version == t.pending:
		return ""
	case t.replaced != 0 && version == t.replaced && !now.After(t.replacedUntil):
		return ""
	case version < t.confirmed:
		return VersionOld
	default:
		return VersionUnordered
	}
}

// End records the end of the generation and the number of tokens that the engine
// counted, including the prefix.
func (t *Tracker) End(counted sillid.Tokens) {
	switch {
	case t.end < counted:
		t.fail(TokensMissing)
	case t.end > counted:
		t.fail(TokensDoubled)
	}
	t.ended = true
}

// Result returns the spans, or the first reason why there are none. Before End it is
// the result of a generation that is stopped now, to be resumed on another target.
func (t *Tracker) Result() Result {
	if t.reason != "" {
		return Result{Reason: t.reason}
	}
	if t.unsettled || (t.pending != 0 && t.latest == t.pending) {
		return Result{Reason: SwapUnsettled}
	}
	spans, ok := Join(t.prefix, t.own)
	if !ok {
		return Result{Reason: PrefixBroken}
	}
	return Result{Spans: spans}
}

func (t *Tracker) fail(reason Reason) {
	if t.reason == "" {
		t.reason = reason
	}
}
