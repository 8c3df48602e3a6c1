package silllease

import (
	"sync"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// takeOver writes the epoch row of a lease and returns the guard of its new holder.
func takeOver(t *testing.T, store *silltable.Store, name string, epoch sillid.Epoch) Guard {
	t.Helper()
	key := EpochKey(name)
	row, err := store.GetOrAbsent(t.Context(), key)
	if err != nil {
		t.Fatal(err)
	}
	revisions, err := store.Commit(t.Context(), silltable.Txn{
		Checks: []silltable.Check{{Key: key, Revision: row.Revision}},
		Writes: []silltable.Write{{Key: key, Value: encode(epochRow{Epoch: epoch})}},
	})
	if err != nil {
		t.Fatal(err)
	}
	guard := PermanentGuard(epoch)
	guard.Check = silltable.Check{Key: key, Revision: revisions[0]}
	return guard
}

func mustAllocate(t *testing.T, n FencingNumbers, guard Guard) sillid.Epoch {
	t.Helper()
	number, err := n.Next(t.Context(), guard)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

func TestReplacedHolderDrawsNoNumber(t *testing.T) {
	store := (&sillmemtable.Table{}).Store()
	n := FencingNumbers{Store: store, Name: "orders"}
	old := takeOver(t, store, "a", 1)
	last := mustAllocate(t, n, old)
	next := takeOver(t, store, "a", 2)
	if number, err := n.Next(t.Context(), old); err == nil {
		t.Errorf("the replaced holder allocated %d", number)
	}
	if number := mustAllocate(t, n, next); number <= last {
		t.Errorf("the next holder allocated %d after %d", number, last)
	}
	other := takeOver(t, store, "b", 9)
	if number := mustAllocate(t, n, other); number <= 9 {
		t.Errorf("allocated %d, not above the holder's epoch", number)
	}
}

func TestNumbersAreDrawnOnce(t *testing.T) {
	store := (&sillmemtable.Table{}).Store()
	n := FencingNumbers{Store: store, Name: "orders"}
	var (
		group sync.WaitGroup
		mu    sync.Mutex
		seen  = map[sillid.Epoch]bool{}
	)
	for _, name := range []string{"a", "b", "c"} {
		guard := takeOver(t, store, name, 1)
		group.Go(func() {
			for range 50 {
				number, err := n.Next(t.Context(), guard)
				if err != nil {
					continue
				}
				mu.Lock()
				if seen[number] {
					t.Errorf("number %d was allocated twice", number)
				}
				seen[number] = true
				mu.Unlock()
			}
		})
	}
	group.Wait()
	if len(seen) == 0 {
		t.Error("no number was allocated")
	}
}
