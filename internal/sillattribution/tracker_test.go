package sillattribution

import (
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{}))
}

const window = 100 * time.Millisecond

var t0 = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func chunk(tr *Tracker, d time.Duration, n sillid.Tokens, v sillid.WeightVersion) {
	tr.AddChunk(at(d), Chunk{Tokens: n, Version: v, Engine: "e1"})
}

func TestBracket(t *testing.T) {
	tests := []struct {
		name string
		run  func(tr *Tracker)
		want Result
	}{
		{"one version", func(tr *Tracker) { chunk(tr, 0, 5, 3); tr.End(5) }, Result{Spans: []Span{{0, 5, 3}}}},
		{"swap in mid-generation", func(tr *Tracker) {
			chunk(tr, 0, 5, 3)
			tr.LoadStarted(4)
			chunk(tr, 10*time.Millisecond, 2, 3)
			chunk(tr, 20*time.Millisecond, 2, 4)
			tr.LoadEnded(at(30*time.Millisecond), 4, LoadOK)
			chunk(tr, 40*time.Millisecond, 1, 4)
			tr.End(10)
		}, Result{Spans: []Span{{0, 7, 3}, {7, 10, 4}}}},
		{"chunk in flight during the swap", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadOK)
			chunk(tr, window, 2, 3)
			chunk(tr, window, 2, 4)
			tr.End(4)
		}, Result{Spans: []Span{{0, 2, 3}, {2, 4, 4}}}},
		{"old version after the window", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadOK)
			chunk(tr, window+1, 2, 3)
			tr.End(2)
		}, Result{Reason: VersionOld}},
		{"back to the old version", func(tr *Tracker) {
			tr.LoadStarted(4)
			chunk(tr, 0, 2, 4)
			chunk(tr, 0, 2, 3)
			tr.End(4)
		}, Result{Reason: VersionOld}},
		{"version never requested", func(tr *Tracker) { chunk(tr, 0, 2, 9); tr.End(2) }, Result{Reason: VersionUnordered}},
		{"engine restarted", func(tr *Tracker) {
			chunk(tr, 0, 2, 3)
			tr.AddChunk(at(1), Chunk{Tokens: 1, Version: 3, Engine: "e2"})
			tr.End(3)
		}, Result{Reason: EngineRestarted}},
		{"failed swap, old version found", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadFailed)
			chunk(tr, 1, 2, 3)
			tr.VersionConfirmed(at(2), 3, "e1")
			tr.End(2)
		}, Result{Spans: []Span{{0, 2, 3}}}},
		{"failed swap, new version reported, old version found", func(tr *Tracker) {
			tr.LoadStarted(4)
			chunk(tr, 1, 2, 4)
			tr.LoadEnded(at(2), 4, LoadFailed)
			tr.VersionConfirmed(at(3), 3, "e1")
			tr.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"lost response, new version found", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadUnknown)
			chunk(tr, 1, 2, 4)
			tr.VersionConfirmed(at(2), 4, "e1")
			tr.End(2)
		}, Result{Spans: []Span{{0, 2, 4}}}},
		{"failed swap, old version reported, new version found", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadFailed)
			chunk(tr, 1, 2, 3)
			tr.VersionConfirmed(at(2), 4, "e1")
			tr.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"second load before the first is settled", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadUnknown)
			chunk(tr, 1, 2, 4)
			tr.LoadStarted(5)
			tr.LoadEnded(at(2), 5, LoadOK)
			tr.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"swap with unknown outcome", func(tr *Tracker) {
			chunk(tr, 0, 2, 3)
			tr.LoadStarted(4)
			tr.LoadEnded(at(1), 4, LoadUnknown)
			tr.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"new version before the response", func(tr *Tracker) {
			tr.LoadStarted(4)
			chunk(tr, 0, 2, 4)
			tr.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"restart found after a lost response", func(tr *Tracker) {
			tr.LoadStarted(4)
			tr.LoadEnded(at(0), 4, LoadUnknown)
			tr.VersionConfirmed(at(1), 4, "e2")
			tr.End(0)
		}, Result{Reason: EngineRestarted}},
		{"resumed with KV", func(tr *Tracker) {
			tr.SetPrefix([]Span{{0, 4, 2}})
			tr.KVImported(2)
			chunk(tr, 0, 3, 3)
			tr.End(7)
		}, Result{Spans: []Span{{0, 4, 2}, {4, 7, 3}}}},
		{"resumed in one version", func(tr *Tracker) {
			tr.SetPrefix([]Span{{0, 4, 3}})
			chunk(tr, 0, 3, 3)
			tr.End(7)
		}, Result{Spans: []Span{{0, 7, 3}}}},
		{"resumed with a gap", func(tr *Tracker) { tr.SetPrefix([]Span{{1, 4, 2}}) }, Result{Reason: PrefixBroken}},
		{"KV of a version not in the prefix", func(tr *Tracker) {
			tr.SetPrefix([]Span{{0, 4, 2}})
			tr.KVImported(1)
			chunk(tr, 0, 3, 3)
			tr.End(7)
		}, Result{Reason: KVForeign}},
		{"tokens missing", func(tr *Tracker) { chunk(tr, 0, 5, 3); tr.End(6) }, Result{Reason: TokensMissing}},
		{"tokens doubled", func(tr *Tracker) { chunk(tr, 0, 5, 3); tr.End(4) }, Result{Reason: TokensDoubled}},
		{"late report", func(tr *Tracker) { chunk(tr, 0, 5, 3); tr.End(5); chunk(tr, 1, 1, 3) }, Result{Reason: ReportLate}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tr := New(InitialState{Version: 3, Engine: "e1", SwapWindow: window})
			tt.run(tr)
			if got := tr.Result(); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("Result() = %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestTruth compares the attributed spans with the versions that really produced the
// tokens, for an engine that at random swaps versions, fails loads, restarts and reports
// wrong versions.
func TestTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(InitialState{Version: 1, Engine: "e1", SwapWindow: window})
		now, loaded, requested := t0, sillid.WeightVersion(1), sillid.WeightVersion(1)
		engine := sillid.EngineID("e1")
		var truth []sillid.WeightVersion
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				requested++
				tr.LoadStarted(requested)
				outcome := rapid.SampledFrom([]LoadOutcome{LoadOK, LoadFailed, LoadUnknown}).Draw(t, "outcome")
				if outcome == LoadOK || rapid.Bool().Draw(t, "took effect") {
					loaded = requested
				}
				tr.LoadEnded(now, requested, outcome)
				if outcome != LoadOK && rapid.Bool().Draw(t, "found") {
					tr.VersionConfirmed(now, loaded, engine)
				}
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					engine, loaded = "e2", 1
				}
			default:
				n := rapid.IntRange(1, 4).Draw(t, "tokens")
				for range n {
					truth = append(truth, loaded)
				}
				reported := loaded
				// Within the swap window a wrong version can't be distinguished from that of
				// a late chunk, so the engine reports wrong versions only after it.
				if rapid.IntRange(0, 9).Draw(t, "lie") == 0 {
					now = now.Add(window + 1)
					reported = loaded + sillid.WeightVersion(rapid.IntRange(1, 3).Draw(t, "by")) - 2
					if reported == requested && reported != loaded {
						reported = requested + 5
					}
				}
				tr.AddChunk(now, Chunk{Tokens: sillid.Tokens(n), Version: reported, Engine: engine})
			}
		}
		tr.End(sillid.Tokens(len(truth)))
		for _, s := range tr.Result().Spans {
			for i := s.From; i < s.To; i++ {
				if truth[i] != s.Version {
					t.Fatalf("token %d: attributed to %d, produced by %d", i, s.Version, truth[i])
				}
			}
		}
	})
}
