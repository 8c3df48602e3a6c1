// Package sillmemtable keeps the rows of the table service in memory. The
// platform stand-in serves them; tests use them directly and bring faults about.
package sillmemtable

import (
	"context"
	"sort"
	"strings"
	"sync"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Table is a table in memory. The zero Table is empty and ready to use.
type Table struct {
	// Fault is asked before every call ("get", "list", "commit") and again as
	// "commit-answer" after a transaction took effect; an error that it
	// returns becomes the answer. It may block. It may be nil.
	Fault func(ctx context.Context, call string) error

	mu   sync.Mutex
	rows map[string]silltable.Row
	last silltable.Revision
	// removed holds the revision at which each row was deleted that does not exist.
	removed map[string]silltable.Revision
	// compacted is the revision before which the history is gone.
	compacted silltable.Revision
}

// Store returns the table behind the interface of its client.
func (t *Table) Store() *silltable.Store {
	return &silltable.Store{Get: t.get, List: t.list, Commit: t.commit}
}

func (t *Table) fault(ctx context.Context, call string) error {
	if t.Fault == nil {
		return nil
	}
	return t.Fault(ctx, call)
}

func (t *Table) get(ctx context.Context, key string) (silltable.Row, error) {
	if err := t.fault(ctx, "get"); err != nil {
		return silltable.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	if !ok {
		return silltable.Row{}, silltable.ErrNotFound
	}
	return row, nil
}

func (t *Table) list(ctx context.Context, prefix, after string, limit int) ([]silltable.Row, error) {
	if err := t.fault(ctx, "list"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []silltable.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}

func (t *Table) commit(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
	if err := t.fault(ctx, "commit"); err != nil {
		return nil, err
	}
	revisions, err := t.apply(txn)
	if err != nil {
		return nil, err
	}
	if err := t.fault(ctx, "commit-answer"); err != nil {
		return nil, err
	}
	return revisions, nil
}

func (t *Table) apply(txn silltable.Txn) ([]silltable.Revision, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Checks {
		if t.rows[c.Key].Revision != c.Revision {
			return nil, silltable.ErrConflict
		}
	}
	if t.rows == nil {
		t.rows = make(map[string]silltable.Row)
		t.removed = make(map[string]silltable.Revision)
	}
	revisions := make([]silltable.Revision, len(txn.Writes))
	for i, w := range txn.Writes {
		if w.Delete {
			t.remove(w.Key)
			continue
		}
		t.last++
		delete(t.removed, w.Key)
		t.rows[w.Key] = silltable.Row{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: t.last}
		revisions[i] = t.last
	}
	return revisions, nil
}

func (t *Table) remove(key string) {
	if _, ok := t.rows[key]; !ok {
		return
	}
	t.last++
	delete(t.rows, key)
	t.removed[key] = t.last
}
