package sillroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// targetsOf returns n targets of the model "m" spread over zones z0, z1, ….
func targetsOf(n, zones int) []Target {
	var targets []Target
	for i := range n {
		targets = append(targets, Target{
			ID:     sillid.TargetID(fmt.Sprintf("t%03d", i)),
			Zone:   sillid.ZoneID(fmt.Sprintf("z%d", i%zones)),
			Loaded: []LoadedModel{{Model: "m", Version: 7}},
			Load:   Load{Limit: 8, MeanServiceTime: time.Second},
		})
	}
	return targets
}

func newTestChooser(targets []Target) *Chooser {
	c := NewChooser(Config{Zone: "z0"})
	c.Update(epoch, targets)
	return c
}

func choose(t *testing.T, c *Chooser, now time.Time, r Request) Choice {
	t.Helper()
	choice, ok := c.Choose(now, r)
	if !ok {
		t.Fatal("Choose() found no target")
	}
	return choice
}

// spread makes n choices without ending them and counts them by target.
func spread(t *testing.T, c *Chooser, now time.Time, n int, r Request) map[sillid.TargetID]int {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	counts := make(map[sillid.TargetID]int)
	for range n {
		r.RandomSeed = random.Uint64()
		counts[choose(t, c, now, r).Target]++
	}
	return counts
}

func TestChooserNeedsModelAndVersion(t *testing.T) {
	targets := targetsOf(6, 2)
	targets[2].Loaded = append(targets[2].Loaded, LoadedModel{Model: "m", Adapter: "lora", Version: 7})
	targets[4].Loaded[0].Version = 8
	c := newTestChooser(targets)
	for _, tc := range []struct {
		name    string
		request Request
		want    sillid.TargetID
	}{
		{"adapter", Request{Model: "m", Adapter: "lora"}, "t002"},
		{"version", Request{Model: "m", MinVersion: 8}, "t004"},
		{"unknown model", Request{Model: "n"}, ""},
		{"unknown version", Request{Model: "m", MinVersion: 9}, ""},
		{"excluded", Request{Model: "m", MinVersion: 8, Exclude: []sillid.TargetID{"t004"}}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got, _ := c.Choose(epoch, tc.request); got.Target != tc.want {
				t.Errorf("Choose() = %q, want %q", got.Target, tc.want)
			}
		})
	}
}

func TestChooserPrefersItsZoneUntilSpillover(t *testing.T) {
	c := newTestChooser(targetsOf(12, 3))
	counts := spread(t, c, epoch, 16, Request{Model: "m"})
	for id, n := range counts {
		if !isLocal(id) {
			t.Errorf("%d requests at %s of another zone, want none at low load", n, id)
		}
	}
	counts = spread(t, c, epoch, 80, Request{Model: "m"})
	remote := 0
	for id, n := range counts {
		if !isLocal(id) {
			remote += n
		}
	}
	if remote < 40 {
		t.Errorf("%d of 80 requests spilled over from a full zone, want at least 40", remote)
	}
}

func isLocal(id sillid.TargetID) bool {
	var n int
	_, _ = fmt.Sscanf(string(id), "t%d", &n)
	return n%3 == 0
}

func TestChooserAffinity(t *testing.T) {
	prompt := make([]byte, 3*BlockBytes)
	request := Request{Model: "m", Prefix: PrefixBlocks(prompt)}
	t.Run("one target while load allows", func(t *testing.T) {
		c := newTestChooser(targetsOf(12, 1))
		if counts := spread(t, c, epoch, 4, request); len(counts) != 1 {
			t.Errorf("4 requests of one prefix went to %d targets, want 1", len(counts))
		}
	})
	t.Run("bounded load", func(t *testing.T) {
		c := newTestChooser(targetsOf(12, 1))
		for id, n := range spread(t, c, epoch, 96, request) {
			if n > 12 {
				t.Errorf("%s got %d of 96 requests, want at most 12 of limit 8 × 1.25 + 1", id, n)
			}
		}
	})
	t.Run("follows cache events", func(t *testing.T) {
		c := newTestChooser(targetsOf(12, 2))
		c.ApplyCacheEvents("t005", "e", []CacheEvent{{Sequence: 9, Prefix: request.Prefix[2]}})
		checkChosen(t, c, request, "t005")
		c.ApplyCacheEvents("t005", "e", []CacheEvent{{Sequence: 8, Evicted: true, Prefix: request.Prefix[2]}})
		checkChosen(t, c, request, "t005")
		c.ApplyCacheEvents("t005", "e", []CacheEvent{{Sequence: 20, Prefix: 1}})
		checkChosen(t, c, request, "t005")
		c.ApplyCacheEvents("t005", "fresh", nil)
		if got := choose(t, c, epoch, request).Target; got == "t005" {
			t.Error("Choose() follows the cache of an engine that was replaced")
		}
	})
}

func checkChosen(t *testing.T, c *Chooser, r Request, want sillid.TargetID) {
	t.Helper()
	choice := choose(t, c, epoch, r)
	choice.Done(epoch, Succeeded, 0)
	if choice.Target != want {
		t.Errorf("Choose() = %s, want %s", choice.Target, want)
	}
}

func TestChooserLimitsEjectedShare(t *testing.T) {
	c := newTestChooser(targetsOf(4, 1))
	fail(t, c, epoch, 200)
	later := epoch.Add(time.Second)
	if counts := spread(t, c, later, 100, Request{Model: "m"}); len(counts) != 3 {
		t.Errorf("%d of 4 failing targets in use, want 3", len(counts))
	}
}

func fail(t *testing.T, c *Chooser, now time.Time, n int) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for range n {
		choose(t, c, now, Request{Model: "m", RandomSeed: random.Uint64()}).Done(now, TargetFault, 0)
	}
}

func TestChooserRampsUpReturnedTargets(t *testing.T) {
	targets := targetsOf(4, 1)
	c := newTestChooser(targets)
	only := Request{Model: "m", Exclude: []sillid.TargetID{"t001", "t002", "t003"}}
	for range maxConsecutiveFailures {
		choose(t, c, epoch, only).Done(epoch, TargetFault, 0)
	}
	if _, ok := c.Choose(epoch, only); ok {
		t.Fatal("Choose() found the ejected target")
	}
	returned := epoch.Add(baseEjectionTime)
	counts := spread(t, c, returned, 24, Request{Model: "m"})
	if got := counts["t000"]; got > 2 {
		t.Errorf("returned target got %d of 24 requests, want at most 2", got)
	}
}

func TestChooserEjectsLatencyOutlier(t *testing.T) {
	c := newTestChooser(targetsOf(4, 1))
	random := rand.New(rand.NewPCG(1, 2))
	for range 400 {
		choice := choose(t, c, epoch, Request{Model: "m", RandomSeed: random.Uint64()})
		latency := 10 * time.Millisecond
		if choice.Target == "t002" {
			latency = 100 * time.Millisecond
		}
		choice.Done(epoch, Succeeded, latency)
	}
	c.Update(epoch, targetsOf(4, 1))
	if counts := spread(t, c, epoch, 50, Request{Model: "m"}); counts["t002"] != 0 {
		t.Errorf("slow target got %d requests, want 0", counts["t002"])
	}
}

func TestChooserAvoidsFullTarget(t *testing.T) {
	targets := targetsOf(2, 1)
	c := newTestChooser(targets)
	only := Request{Model: "m", Exclude: []sillid.TargetID{"t001"}}
	refused := choose(t, c, epoch, only)
	refused.ObserveLoad(8, 20)
	refused.Done(epoch, Overloaded, 0)
	if counts := spread(t, c, epoch, 6, Request{Model: "m"}); counts["t000"] != 0 {
		t.Errorf("full target got %d requests before its next report, want 0", counts["t000"])
	}
	for i := range targets {
		targets[i].Load.Sequence++
	}
	c.Update(epoch, targets)
	if counts := spread(t, c, epoch, 6, Request{Model: "m"}); counts["t000"] == 0 {
		t.Error("target got no request after a report of free slots")
	}
}

func TestPrefixBlocks(t *testing.T) {
	a := PrefixBlocks(make([]byte, 2*BlockBytes+5))
	b := PrefixBlocks(make([]byte, 3*BlockBytes))
	if len(a) != 2 || len(b) != 3 {
		t.Fatalf("%d and %d blocks, want 2 and 3", len(a), len(b))
	}
	if a[0] != b[0] || a[1] != b[1] {
		t.Error("prompts with the same start have different prefixes")
	}
}

func BenchmarkChoose(b *testing.B) {
	prefix := PrefixBlocks(make([]byte, 4*BlockBytes))
	for _, n := range []int{12, 90, 720} {
		for _, tc := range []struct {
			name    string
			request Request
		}{
			{"plain", Request{Model: "m"}},
			{"prefix", Request{Model: "m", Prefix: prefix}},
			{"scan", Request{Model: "m", MinVersion: 8}},
		} {
			b.Run(fmt.Sprintf("%s/%d", tc.name, n), func(b *testing.B) {
				c := newTestChooser(targetsOf(n, 5))
				r := tc.request
				b.ReportAllocs()
				for b.Loop() {
					r.RandomSeed++
					if choice, ok := c.Choose(epoch, r); ok {
						choice.Done(epoch, Inconclusive, 0)
					}
				}
			})
		}
	}
}

// TestTargetAtItsLimitIsPassedOver checks that a target that refused a request for its limit is
// passed over until it takes more, but chosen if there is no other.
func TestTargetAtItsLimitIsPassedOver(t *testing.T) {
	c := newTestChooser(targetsOf(2, 1))
	limited := choose(t, c, epoch, Request{Model: "m"})
	limited.ObserveLimit(epoch, 300*time.Millisecond)
	limited.Done(epoch, Overloaded, 0)
	if n := spread(t, c, epoch.Add(200*time.Millisecond), 8, Request{Model: "m"})[limited.Target]; n > 0 {
		t.Errorf("chosen %d times while it is at its limit", n)
	}
	var others []sillid.TargetID
	for _, target := range targetsOf(2, 1) {
		if target.ID != limited.Target {
			others = append(others, target.ID)
		}
	}
	if got := choose(t, c, epoch, Request{Model: "m", Exclude: others}).Target; got != limited.Target {
		t.Errorf("chose %s, want the only one left", got)
	}
	if n := spread(t, c, epoch.Add(400*time.Millisecond), 8, Request{Model: "m"})[limited.Target]; n == 0 {
		t.Error("never chosen after its limit took more")
	}
}
