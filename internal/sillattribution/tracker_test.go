package sillattribution

import (
	"flag"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

const window = 100 * time.Millisecond

var t0 = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return t0.Add(d) }

func chunk(b *Tracker, d time.Duration, n sillid.Tokens, v sillid.WeightVersion) {
	b.AddChunk(at(d), Chunk{Tokens: n, Version: v, Engine: "e1"})
}

func TestBracket(t *testing.T) {
	tests := []struct {
		name string
		run  func(b *Tracker)
		want Result
	}{
		{"calm", func(b *Tracker) { chunk(b, 0, 5, 3); b.End(5) }, Result{Spans: []Span{{0, 5, 3}}}},
		{"swap in mid-generation", func(b *Tracker) {
			chunk(b, 0, 5, 3)
			b.LoadStarted(4)
			chunk(b, 10*time.Millisecond, 2, 3)
			chunk(b, 20*time.Millisecond, 2, 4)
			b.LoadEnded(at(30*time.Millisecond), 4, LoadOK)
			chunk(b, 40*time.Millisecond, 1, 4)
			b.End(10)
		}, Result{Spans: []Span{{0, 7, 3}, {7, 10, 4}}}},
		{"chunk on the way during the swap", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadOK)
			chunk(b, window, 2, 3)
			chunk(b, window, 2, 4)
			b.End(4)
		}, Result{Spans: []Span{{0, 2, 3}, {2, 4, 4}}}},
		{"old version after the window", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadOK)
			chunk(b, window+1, 2, 3)
			b.End(2)
		}, Result{Reason: VersionOld}},
		{"back to the old version", func(b *Tracker) {
			b.LoadStarted(4)
			chunk(b, 0, 2, 4)
			chunk(b, 0, 2, 3)
			b.End(4)
		}, Result{Reason: VersionOld}},
		{"version never ordered", func(b *Tracker) { chunk(b, 0, 2, 9); b.End(2) }, Result{Reason: VersionUnordered}},
		{"engine restarted", func(b *Tracker) {
			chunk(b, 0, 2, 3)
			b.AddChunk(at(1), Chunk{Tokens: 1, Version: 3, Engine: "e2"})
			b.End(3)
		}, Result{Reason: EngineRestarted}},
		{"failed swap, old version found", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadFailed)
			chunk(b, 1, 2, 3)
			b.VersionConfirmed(at(2), 3, "e1")
			b.End(2)
		}, Result{Spans: []Span{{0, 2, 3}}}},
		{"failed swap, claims were new", func(b *Tracker) {
			b.LoadStarted(4)
			chunk(b, 1, 2, 4)
			b.LoadEnded(at(2), 4, LoadFailed)
			b.VersionConfirmed(at(3), 3, "e1")
			b.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"lost answer, new version found", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadUnknown)
			chunk(b, 1, 2, 4)
			b.VersionConfirmed(at(2), 4, "e1")
			b.End(2)
		}, Result{Spans: []Span{{0, 2, 4}}}},
		{"old version between a failed order and the new one found", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadFailed)
			chunk(b, 1, 2, 3)
			b.VersionConfirmed(at(2), 4, "e1")
			b.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"second order before the first is settled", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadUnknown)
			chunk(b, 1, 2, 4)
			b.LoadStarted(5)
			b.LoadEnded(at(2), 5, LoadOK)
			b.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"half-done swap", func(b *Tracker) {
			chunk(b, 0, 2, 3)
			b.LoadStarted(4)
			b.LoadEnded(at(1), 4, LoadUnknown)
			b.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"new version before the answer", func(b *Tracker) {
			b.LoadStarted(4)
			chunk(b, 0, 2, 4)
			b.End(2)
		}, Result{Reason: SwapUnsettled}},
		{"restart found after a lost answer", func(b *Tracker) {
			b.LoadStarted(4)
			b.LoadEnded(at(0), 4, LoadUnknown)
			b.VersionConfirmed(at(1), 4, "e2")
			b.End(0)
		}, Result{Reason: EngineRestarted}},
		{"resumed with KV", func(b *Tracker) {
			b.SetPrefix([]Span{{0, 4, 2}})
			b.KVImported(2)
			chunk(b, 0, 3, 3)
			b.End(7)
		}, Result{Spans: []Span{{0, 4, 2}, {4, 7, 3}}}},
		{"resumed in one version", func(b *Tracker) {
			b.SetPrefix([]Span{{0, 4, 3}})
			chunk(b, 0, 3, 3)
			b.End(7)
		}, Result{Spans: []Span{{0, 7, 3}}}},
		{"resumed with a gap", func(b *Tracker) { b.SetPrefix([]Span{{1, 4, 2}}) }, Result{Reason: PrefixBroken}},
		{"KV of an unnamed version", func(b *Tracker) {
			b.SetPrefix([]Span{{0, 4, 2}})
			b.KVImported(1)
			chunk(b, 0, 3, 3)
			b.End(7)
		}, Result{Reason: KVForeign}},
		{"tokens missing", func(b *Tracker) { chunk(b, 0, 5, 3); b.End(6) }, Result{Reason: TokensMissing}},
		{"tokens doubled", func(b *Tracker) { chunk(b, 0, 5, 3); b.End(4) }, Result{Reason: TokensDoubled}},
		{"late report", func(b *Tracker) { chunk(b, 0, 5, 3); b.End(5); chunk(b, 1, 1, 3) }, Result{Reason: ReportLate}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := New(InitialState{Version: 3, Engine: "e1", SwapWindow: window})
			tt.run(b)
			if got := b.Result(); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("Result() = %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestTruth holds attributed spans against the record of an engine that swaps,
// fails, restarts and lies at random.
func TestTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(InitialState{Version: 1, Engine: "e1", SwapWindow: window})
		now, loaded, ordered := t0, sillid.WeightVersion(1), sillid.WeightVersion(1)
		engine := sillid.EngineID("e1")
		var truth []sillid.WeightVersion
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				ordered++
				b.LoadStarted(ordered)
				outcome := rapid.SampledFrom([]LoadOutcome{LoadOK, LoadFailed, LoadUnknown}).Draw(t, "outcome")
				if outcome == LoadOK || rapid.Bool().Draw(t, "took effect") {
					loaded = ordered
				}
				b.LoadEnded(now, ordered, outcome)
				if outcome != LoadOK && rapid.Bool().Draw(t, "found") {
					b.VersionConfirmed(now, loaded, engine)
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
				claim := loaded
				// A lie within the window can't be told from a late chunk, so lies come after it.
				if rapid.IntRange(0, 9).Draw(t, "lie") == 0 {
					now = now.Add(window + 1)
					claim = loaded + sillid.WeightVersion(rapid.IntRange(1, 3).Draw(t, "by")) - 2
					if claim == ordered && claim != loaded {
						claim = ordered + 5
					}
				}
				b.AddChunk(now, Chunk{Tokens: sillid.Tokens(n), Version: claim, Engine: engine})
			}
		}
		b.End(sillid.Tokens(len(truth)))
		for _, s := range b.Result().Spans {
			for i := s.From; i < s.To; i++ {
				if truth[i] != s.Version {
					t.Fatalf("token %d: attributed to %d, produced by %d", i, s.Version, truth[i])
				}
			}
		}
	})
}
