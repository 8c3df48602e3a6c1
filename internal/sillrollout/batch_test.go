package sillrollout

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// trainedPredictor returns a predictor that has observed a new version every 100 s,
// and generations of 10 tokens for one prompt and of 1000 for another.
func trainedPredictor(now time.Time) *Predictor {
	p := NewPredictor()
	for i := range 3 {
		p.observeVersion(now.Add(time.Duration(i-2)*100*time.Second), testModel, sillid.WeightVersion(i+1))
		p.Observe(testModel, "short", 10)
		p.Observe(testModel, "long", 1000)
	}
	return p
}

func newTestBatch(now time.Time, policy Policy, bound int) *Batch {
	spec := testSpec()
	spec.Prompts, spec.GroupSize, spec.StalenessBound = []string{"short", "long"}, 1, bound
	b := NewBatch(BatchConfig{Spec: spec, CreatedAt: now, Policy: policy, Predictor: trainedPredictor(now), TokensPerSecond: 20})
	b.SetTrainerVersion(now, 3)
	b.SetLimit(10)
	return b
}

func wantStarted(t *testing.T, c Commands, groups ...int) {
	t.Helper()
	if len(c.Generate) != len(groups) {
		t.Fatalf("%d attempts started, want %d", len(c.Generate), len(groups))
	}
	for i, g := range groups {
		if c.Generate[i].Sample.Group != g {
			t.Errorf("attempt %d is of group %d, want %d", i, c.Generate[i].Sample.Group, g)
		}
	}
}

func TestDispatch(t *testing.T) {
	now := time.Unix(10000, 0)
	tests := []struct {
		name   string
		policy Policy
		bound  int
		after  time.Duration
		want   []int
	}{
		{"in order", Policy{}, 0, 80 * time.Second, []int{0, 1}},
		{"longest first", Policy{LongestFirst: true}, 0, 80 * time.Second, []int{1, 0}},
		{"long one held back before a version", Policy{HoldPredictedStale: true}, 0, 80 * time.Second, []int{0}},
		{"wider bound", Policy{HoldPredictedStale: true}, 1, 80 * time.Second, []int{0, 1}},
		{"right after a version", Policy{HoldPredictedStale: true}, 0, time.Second, []int{0, 1}},
		{"versions stopped", Policy{HoldPredictedStale: true}, 0, 200 * time.Second, []int{0, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newTestBatch(now, tt.policy, tt.bound)
			wantStarted(t, b.Next(now.Add(tt.after)), tt.want...)
		})
	}
}

func oneTokenGeneration(version sillid.WeightVersion) Generation {
	return Generation{TokenIDs: []int{1}, Spans: []sillattribution.Span{{From: 0, To: 1, Version: version}}}
}

func TestOverBoundIsGeneratedAgain(t *testing.T) {
	now := time.Unix(10000, 0)
	b := newTestBatch(now, Policy{}, 0)
	attempt := b.Next(now).Generate[0]
	b.GenerationDone(now, attempt.Attempt, oneTokenGeneration(3))
	if c := b.Next(now); len(c.Score) != 1 {
		t.Fatalf("%d score calls, want 1", len(c.Score))
	}
	b.ScoreDone(attempt.Sample, 1)
	b.SetTrainerVersion(now, 4)
	c := b.Next(now)
	if len(c.Deliver) != 0 || b.Stats.OverBound != 1 {
		t.Errorf("deliver %v, over bound %d, want none delivered and 1", c.Deliver, b.Stats.OverBound)
	}
	wantStarted(t, c, 0)
}

func TestPartial(t *testing.T) {
	now := time.Unix(10000, 0)
	late := now.Add(2 * time.Hour)
	for _, partial := range []PartialGroupPolicy{PartialDrop, PartialDeliver} {
		t.Run(string(partial), func(t *testing.T) {
			b := newTestBatch(now, Policy{}, 0)
			b.cfg.Spec.Partial = partial
			b.groups[0] = group{samples: make([]sample, 2), waiting: 2}
			attempt := b.Next(now).Generate[0]
			b.GenerationDone(now, attempt.Attempt, oneTokenGeneration(3))
			b.Next(now)
			b.ScoreDone(attempt.Sample, 1)
			c := b.Next(late)
			delivered := len(c.Deliver) == 1 && len(b.DeliverySamples(c.Deliver)) == 1
			if delivered != (partial == PartialDeliver) {
				t.Errorf("deliver %v, drop %v", c.Deliver, c.Drop)
			}
			if len(c.Generate) > 0 || len(c.Cancel) == 0 {
				t.Errorf("%d attempts started, %d cancelled after the deadline", len(c.Generate), len(c.Cancel))
			}
		})
	}
}

// TestUnscorableSample fails the score of one of two samples as often as allowed, and
// once less.
func TestUnscorableSample(t *testing.T) {
	now := time.Unix(10000, 0)
	for _, tc := range []struct {
		name          string
		partial       PartialGroupPolicy
		failures      int
		wantDropped   bool
		wantDelivered int
	}{
		{"drop", PartialDrop, maxScoreAttempts, true, 0},
		{"deliver", PartialDeliver, maxScoreAttempts, false, 1},
		{"one failure less", PartialDrop, maxScoreAttempts - 1, false, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newTestBatch(now, Policy{}, 0)
			b.cfg.Spec.Partial = tc.partial
			b.groups[0] = group{samples: make([]sample, 2), waiting: 2}
			attempts := b.Next(now).Generate[:2]
			for _, a := range attempts {
				b.GenerationDone(now, a.Attempt, oneTokenGeneration(3))
			}
			b.Next(now)
			b.ScoreDone(attempts[0].Sample, 1)
			var c Commands
			for range tc.failures {
				b.ScoreFailed(now, attempts[1].Sample, false)
				now = now.Add(maxBackoff)
				c = b.Next(now)
			}
			if dropped := len(c.Drop) == 1; dropped != tc.wantDropped {
				t.Errorf("drop %v, want dropped: %t", c.Drop, tc.wantDropped)
			}
			if got := len(b.DeliverySamples(c.Deliver)); got != tc.wantDelivered {
				t.Errorf("%d samples to deliver, want %d", got, tc.wantDelivered)
			}
		})
	}
}
