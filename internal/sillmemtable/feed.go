package sillmemtable

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// pollEvery is how often a waiting feed looks for changes.
const pollEvery = 5 * time.Millisecond

// maxPageBytes bounds the values of a page of a range.
const maxPageBytes = 1 << 20

// Feed returns the table behind the interface of its feed. Faults are asked as
// "read", "partitions" and "follow".
func (t *Table) Feed() *silltable.Feed {
	return &silltable.Feed{ReadPage: t.readPage, Partitions: t.partitions, Follow: t.follow}
}

// Compact drops the history: feeds that start before now get ErrCompacted.
func (t *Table) Compact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.compacted = t.last
	clear(t.removed)
}

func (t *Table) readPage(ctx context.Context, r silltable.Range) (silltable.RangePage, error) {
	if err := t.fault(ctx, "read"); err != nil {
		return silltable.RangePage{}, err
	}
	prefix := r.Table + "/"
	if r.Partition != "" {
		prefix += r.Partition + "/"
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	page := silltable.RangePage{Revision: t.last}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key >= prefix+r.From && (r.To == "" || key < prefix+r.To) {
			page.Rows = append(page.Rows, row)
		}
	}
	sort.Slice(page.Rows, func(i, j int) bool { return page.Rows[i].Key < page.Rows[j].Key })
	size := 0
	for i, row := range page.Rows {
		size += len(row.Value)
		if i > 0 && size > maxPageBytes {
			page.Rows, page.Next = page.Rows[:i], strings.TrimPrefix(row.Key, prefix)
			break
		}
	}
	return page, nil
}

func (t *Table) partitions(ctx context.Context, table string) ([]string, error) {
	if err := t.fault(ctx, "partitions"); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	found := map[string]bool{}
	for key := range t.rows {
		if rest, ok := strings.CutPrefix(key, table+"/"); ok {
			partition, _, _ := strings.Cut(rest, "/")
			found[partition] = true
		}
	}
	return slices.Sorted(maps.Keys(found)), nil
}

func (t *Table) follow(ctx context.Context, table string, after silltable.Revision, wait time.Duration) (silltable.Page, error) {
	if err := t.fault(ctx, "follow"); err != nil {
		return silltable.Page{}, err
	}
	deadline := time.Now().Add(wait)
	for {
		page, err := t.changes(table, after)
		if err != nil || len(page.Changes) > 0 || !time.Now().Before(deadline) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return silltable.Page{}, silltable.ErrUnavailable
		case <-time.After(pollEvery):
		}
	}
}

func (t *Table) changes(table string, after silltable.Revision) (silltable.Page, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after < t.compacted {
		return silltable.Page{}, silltable.ErrCompacted
	}
	page := silltable.Page{Next: t.last}
	for key, row := range t.rows {
		if strings.HasPrefix(key, table+"/") && row.Revision > after {
			page.Changes = append(page.Changes, silltable.Change{Row: row})
		}
	}
	for key, revision := range t.removed {
		if strings.HasPrefix(key, table+"/") && revision > after {
			row := silltable.Row{Key: key, Revision: revision}
			page.Changes = append(page.Changes, silltable.Change{Row: row, Removed: true})
		}
	}
	slices.SortFunc(page.Changes, func(a, b silltable.Change) int {
		return int(int64(a.Row.Revision) - int64(b.Row.Revision))
	})
	return page, nil
}
