package silldirectgateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// rowLog is a table that keeps every row that is written, in order. It holds its first
// transaction until released.
type rowLog struct {
	held, release chan struct{}

	mu   sync.Mutex
	txns int
	rows []silltable.Row
}

func newRowLog() *rowLog {
	return &rowLog{held: make(chan struct{}), release: make(chan struct{})}
}

func (l *rowLog) store() *silltable.Store { return &silltable.Store{Commit: l.commit} }

func (l *rowLog) commit(_ context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
	l.mu.Lock()
	l.txns++
	first := l.txns == 1
	l.mu.Unlock()
	if first {
		close(l.held)
		<-l.release
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, w := range txn.Writes {
		l.rows = append(l.rows, silltable.Row{Key: w.Key, Value: w.Value})
	}
	return make([]silltable.Revision, len(txn.Writes)), nil
}

// checkNoneLive checks that nobody counts the gateway as live: neither one that read all
// rows in order nor one that read the newest only.
func (l *rowLog) checkNoneLive(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for name, from := range map[string]int{"all rows": 0, "the newest row": len(l.rows) - 1} {
		members := sillcluster.NewMembers(func(sillcluster.Member) {})
		for _, row := range l.rows[from:] {
			if err := members.Apply(now, []silltable.Change{{Row: row}}); err != nil {
				t.Fatal(err)
			}
		}
		if live := members.Live(now); len(live) > 0 {
			t.Errorf("by %s of %d, the gateway that leaves counts as live", name, len(l.rows))
		}
	}
}

// TestLeavingRowIsTheLast guards against a renewal that takes back that a gateway leaves.
func TestLeavingRowIsTheLast(t *testing.T) {
	for _, tc := range []struct {
		name string
		// leaving are the values of the two writes, of which the table holds the first.
		leaving [2]bool
	}{
		{"renewal under way", [2]bool{false, true}},
		{"renewal meanwhile", [2]bool{true, false}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, table := newTestMembership("front-a"), newRowLog()
			group := sillgroup.New(t.Context())
			group.Go(func(ctx context.Context) { m.write(ctx, table.store(), tc.leaving[0]) })
			<-table.held
			second := make(chan struct{})
			group.Go(func(ctx context.Context) {
				m.write(ctx, table.store(), tc.leaving[1])
				close(second)
			})
			// The second write may wait for the first one.
			select {
			case <-second:
			case <-time.After(100 * time.Millisecond):
			}
			close(table.release)
			group.Wait()
			table.checkNoneLive(t)
		})
	}
}
