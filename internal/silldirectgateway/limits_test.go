package silldirectgateway

import (
	"context"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// memberRow returns the row of another gateway that grants the permits of a run.
func memberRow(t *testing.T, renewal uint64, run silltarget.Run) silltable.Change {
	t.Helper()
	write, err := sillcluster.Encode(sillcluster.Member{
		Instance: "other", Run: "other-run", Zone: "z", Renewal: renewal, GrantsPermits: true,
		TargetLimits: []silltarget.RunLimit{{Run: run, Limit: 5}},
	})
	if err != nil {
		t.Fatal(err)
	}
	return silltable.Change{Row: silltable.Row{Key: write.Key, Value: write.Value, Revision: silltable.Revision(renewal)}}
}

// TestLimitsAreSharedWhileRowsAreRead guards against a gateway that hangs because it reads the
// limits in the rows of others while it writes its own.
func TestLimitsAreSharedWhileRowsAreRead(t *testing.T) {
	m := newTestMembership("self")
	read := make(chan struct{})
	group := sillgroup.New(t.Context())
	group.Go(func(context.Context) {
		defer close(read)
		for i := range uint64(2000) {
			m.apply([]silltable.Change{memberRow(t, i+1, silltarget.Run{Target: "a", StartedAtMS: int64(i)})}, 0)
		}
	})
	group.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			m.limits.list()
		}
	})
	select {
	case <-read:
		group.Stop()
	case <-time.After(20 * time.Second):
		t.Fatal("reading rows and writing one wait for each other")
	}
}
