package sillrollout

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// generationOf returns a generation of n tokens of one version.
func generationOf(n int, version sillid.WeightVersion) Generation {
	return Generation{
		TokenIDs: make([]int, n),
		Spans:    []sillattribution.Span{{From: 0, To: sillid.Tokens(n), Version: version}},
	}
}

// newRunningBatch returns a batch of two groups of one sample with an attempt of each
// running.
func newRunningBatch(t *testing.T, now time.Time) *Batch {
	t.Helper()
	b := newTestBatch(now, Policy{RenewAfter: time.Minute}, 1)
	wantStarted(t, b.Next(now), 0, 1)
	return b
}

// restoreBatch returns the batch of the next owner, restored from the stored progress
// of b.
func restoreBatch(t *testing.T, now time.Time, b *Batch) *Batch {
	t.Helper()
	l, tb := newLedger(t, oneGroup())
	if err := l.saveProgress(t.Context(), tb.guard(1), "b", b.Progress()); err != nil {
		t.Fatal(err)
	}
	saved, err := l.loadProgress(t.Context(), "b")
	if err != nil {
		t.Fatal(err)
	}
	next := newTestBatch(now, Policy{}, 1)
	next.Restore(saved)
	return next
}

func TestProgressOutlivesOwner(t *testing.T) {
	now := time.Unix(10000, 0)
	t.Run("scored sample is not generated again", func(t *testing.T) {
		b := newRunningBatch(t, now)
		b.GenerationDone(now, 1, generationOf(10, 3))
		b.Next(now)
		b.ScoreDone(sillid.SampleID{Group: 0}, 0.5)
		c := restoreBatch(t, now, b).Next(now)
		wantStarted(t, c, 1)
		if len(c.Deliver) != 1 || c.Deliver[0] != 0 {
			t.Errorf("groups %v delivered, want 0", c.Deliver)
		}
	})
	t.Run("scored sample over the bound is generated again", func(t *testing.T) {
		b := newRunningBatch(t, now)
		b.GenerationDone(now, 1, generationOf(10, 3))
		b.Next(now)
		b.ScoreDone(sillid.SampleID{Group: 0}, 0.5)
		next := restoreBatch(t, now, b)
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
		{"stopped attempt resumes", generationOf(7, 3), 3, 7},
		{"tokens over the bound are discarded", generationOf(7, 3), 5, 0},
		{"tokens without a version are discarded", Generation{TokenIDs: make([]int, 7)}, 3, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newRunningBatch(t, now)
			b.RecordPartial(sillid.SampleID{Group: 1}, tt.partial)
			next := restoreBatch(t, now, b)
			next.SetTrainerVersion(now, tt.version)
			c := next.Next(now)
			wantStarted(t, c, 0, 1)
			if got := len(c.Generate[1].Prefix.TokenIDs); got != tt.want {
				t.Errorf("attempt resumes from %d tokens, want %d", got, tt.want)
			}
		})
	}
}

func TestRenewal(t *testing.T) {
	now := time.Unix(10000, 0)
	b := newRunningBatch(t, now)
	now = now.Add(time.Minute)
	c := b.Next(now)
	wantStarted(t, c, 0, 1)
	if len(c.Cancel) != 2 || c.Generate[0].ResumeFrom != c.Cancel[0] {
		t.Errorf("cancelled %v, resumed %d", c.Cancel, c.Generate[0].ResumeFrom)
	}
	b.RecordPartial(sillid.SampleID{Group: 1}, generationOf(7, 3))
	t.Run("failed attempt resumes from the stored tokens", func(t *testing.T) {
		b.GenerationFailed(now, c.Generate[1].Attempt, "e1")
		again := b.Next(now.Add(firstBackoff))
		wantStarted(t, again, 1)
		if got := len(again.Generate[0].Prefix.TokenIDs); got != 7 {
			t.Errorf("attempt resumes from %d tokens, want 7", got)
		}
	})
	t.Run("discarded attempt starts from the beginning", func(t *testing.T) {
		b.GenerationUnattributable(now, c.Generate[1].Attempt+1, sillattribution.SwapUnsettled)
		again := b.Next(now.Add(maxBackoff))
		wantStarted(t, again, 1)
		if got := len(again.Generate[0].Prefix.TokenIDs); got != 0 {
			t.Errorf("attempt resumes from %d tokens, want none", got)
		}
	})
}
