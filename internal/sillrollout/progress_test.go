package sillrollout

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// made returns a generation of n tokens of one version.
func made(n int, version sillid.WeightVersion) Generation {
	return Generation{
		TokenIDs: make([]int, n),
		Spans:    []sillattribution.Span{{From: 0, To: sillid.Tokens(n), Version: version}},
	}
}

// renewing is a batch of two groups of one sample that runs both of them.
func renewing(t *testing.T, now time.Time) *Batch {
	t.Helper()
	b := newTestBatch(now, Policy{RenewAfter: time.Minute}, 1)
	wantStarted(t, b.Next(now), 0, 1)
	return b
}

// moveOn hands the progress of a batch to its next owner.
func moveOn(t *testing.T, now time.Time, b *Batch) *Batch {
	t.Helper()
	l, w := newLedger(t, oneGroup())
	if err := l.saveProgress(t.Context(), w.guard(1), "b", b.Progress()); err != nil {
		t.Fatal(err)
	}
	kept, err := l.loadProgress(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	next := newTestBatch(now, Policy{}, 1)
	next.Restore(kept)
	return next
}

func TestProgressOutlivesOwner(t *testing.T) {
	now := time.Unix(10000, 0)
	t.Run("scored sample is not generated again", func(t *testing.T) {
		b := renewing(t, now)
		b.GenerationDone(now, 1, made(10, 3))
		b.Next(now)
		b.ScoreDone(sillid.SampleID{Group: 0}, 0.5)
		c := moveOn(t, now, b).Next(now)
		wantStarted(t, c, 1)
		if len(c.Deliver) != 1 || c.Deliver[0] != 0 {
			t.Errorf("groups %v delivered, want 0", c.Deliver)
		}
	})
	t.Run("scored sample over the bound is generated again", func(t *testing.T) {
		b := renewing(t, now)
		b.GenerationDone(now, 1, made(10, 3))
		b.Next(now)
		b.ScoreDone(sillid.SampleID{Group: 0}, 0.5)
		next := moveOn(t, now, b)
		next.SetTrainerVersion(now, 5)
		c := next.Next(now)
		wantStarted(t, c, 0, 1)
		if len(c.Deliver) != 0 {
			t.Errorf("groups %v delivered, want none", c.Deliver)
		}
	})
	for _, tt := range []struct {
		name    string
		partial Generation
		version sillid.WeightVersion
		want    int
	}{
		{"stopped run goes on", made(7, 3), 3, 7},
		{"tokens over the bound are left behind", made(7, 3), 5, 0},
		{"tokens without a version are left behind", Generation{TokenIDs: make([]int, 7)}, 3, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := renewing(t, now)
			b.RecordPartial(sillid.SampleID{Group: 1}, tt.partial)
			next := moveOn(t, now, b)
			next.SetTrainerVersion(now, tt.version)
			c := next.Next(now)
			wantStarted(t, c, 0, 1)
			if got := len(c.Generate[1].Prefix.TokenIDs); got != tt.want {
				t.Errorf("run goes on after %d tokens, want %d", got, tt.want)
			}
		})
	}
}

func TestRenewal(t *testing.T) {
	now := time.Unix(10000, 0)
	b := renewing(t, now)
	now = now.Add(time.Minute)
	c := b.Next(now)
	wantStarted(t, c, 0, 1)
	if len(c.Cancel) != 2 || c.Generate[0].ResumeFrom != c.Cancel[0] {
		t.Errorf("cancelled %v, resumed %d", c.Cancel, c.Generate[0].ResumeFrom)
	}
	b.RecordPartial(sillid.SampleID{Group: 1}, made(7, 3))
	t.Run("failed run goes on after the kept tokens", func(t *testing.T) {
		b.GenerationFailed(now, c.Generate[1].Attempt, "e1")
		again := b.Next(now.Add(firstBackoff))
		wantStarted(t, again, 1)
		if got := len(again.Generate[0].Prefix.TokenIDs); got != 7 {
			t.Errorf("run goes on after %d tokens, want 7", got)
		}
	})
	t.Run("discarded run starts anew", func(t *testing.T) {
		b.GenerationUnattributable(now, c.Generate[1].Attempt+1, sillattribution.SwapUnsettled)
		again := b.Next(now.Add(maxBackoff))
		wantStarted(t, again, 1)
		if got := len(again.Generate[0].Prefix.TokenIDs); got != 0 {
			t.Errorf("run goes on after %d tokens, want none", got)
		}
	})
}
