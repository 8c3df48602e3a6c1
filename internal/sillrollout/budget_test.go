package sillrollout

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

const (
	// writeBudget is the maximum number of row writes per second for the batches of
	// all trainers.
	writeBudget    = 10
	budgetTrainers = 2
	stepSeconds    = 300
)

// TestWriteBudget checks the row writes of one step of 2,048 samples. Its rate counts
// the writes of one trainer for budgetTrainers trainers with steps of stepSeconds.
func TestWriteBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, scenario{seed: 1, ownerDies: time.Hour, ownerJoins: time.Hour, publish: 5 * time.Minute})
		tb.slots = 288
		spec := testSpec()
		spec.Prompts, spec.GroupSize = nil, 16
		for i := range 128 {
			spec.Prompts = append(spec.Prompts, fmt.Sprintf("p%d", i))
		}
		if err := tb.ledger.Create(t.Context(), spec); err != nil {
			t.Fatal(err)
		}
		g := sillgroup.New(t.Context())
		tb.runOwners(g)
		got := tb.runTrainer(t.Context())
		g.Stop()
		if len(got) != 2048 || len(tb.violations) > 0 {
			t.Errorf("%d samples, violations %v, want 2048 and none", len(got), tb.violations)
		}
		rate := float64(budgetTrainers*tb.writes) / stepSeconds
		t.Logf("%d row writes for a step of 2,048 samples: %.1f a second for %d trainers", tb.writes, rate, budgetTrainers)
		if rate > writeBudget {
			t.Errorf("%.1f row writes a second, want at most %d", rate, writeBudget)
		}
	})
}

func TestHistoryOutlivesOwner(t *testing.T) {
	l, tb := newLedger(t, oneGroup())
	first, second := NewPredictor(), NewPredictor()
	for range minWindowLengths {
		first.Observe(testModel, "short", 10)
		first.Observe(testModel, "long", 1000)
	}
	if err := l.saveHistory(t.Context(), tb.guard(1), oneGroup(), first.history(testModel)); err != nil {
		t.Fatal(err)
	}
	past, err := l.loadHistory(t.Context(), "t")
	if err != nil {
		t.Fatal(err)
	}
	second.restore(past)
	for _, prompt := range []string{"short", "long", "other"} {
		want := first.Quantile(testModel, prompt, orderQuantile, 1)
		if got := second.Quantile(testModel, prompt, orderQuantile, 1); got != want {
			t.Errorf("Quantile(%s) = %d, want %d", prompt, got, want)
		}
	}
}
