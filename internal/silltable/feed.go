package silltable

import (
	"context"
	"errors"
	"time"
)

// The keys of a table start with the table's name and a slash, followed in
// partitioned tables by the partition's name and another slash. Rows of the same
// partition can be written in one transaction, also across tables.

// ErrCompacted is returned if the changes after the requested revision are no longer
// stored.
var ErrCompacted = errors.New("the table's history does not reach back so far: read all its rows again")

// Change is the newest state of one changed row.
type Change struct {
	Row Row
	// Removed is whether the row was deleted. Row.Value is empty then.
	Removed bool
}

// Page is one batch of changes of a feed.
type Page struct {
	Changes []Change
	// Next is the revision after which to continue.
	Next Revision
}

// Snapshot holds the rows of a partition at one point in time.
type Snapshot struct {
	Rows []Row
	// Revision is the newest revision of the service at that time.
	Revision Revision
}

// Range selects rows of one partition of a table. Tables without partitions have the
// partition "".
type Range struct {
	Table     string
	Partition string
	// From is the first key, without the prefix of table and partition. To is the first key
	// after the range; empty for no end.
	From, To string
	// Large is whether the rows are large: a call then gets the time to transfer a full page
	// over a slow link.
	Large bool
}

// RangePage holds the first rows of a range.
type RangePage struct {
	Rows []Row
	// Revision is the newest revision of the service at the time of the read.
	Revision Revision
	// Next is the From of the rows that follow; empty if the range has no more.
	Next string
}

// Feed reads partitions of tables and watches tables for changes. Its fields are
// safe for concurrent use.
type Feed struct {
	// ReadPage reads the first rows of a range, as many as the service returns in one
	// call. Errors: ErrUnavailable.
	ReadPage func(ctx context.Context, r Range) (RangePage, error)
	// Partitions lists the partitions of a table. Errors: ErrUnavailable.
	Partitions func(ctx context.Context, table string) ([]string, error)
	// Follow waits for changes of a table after a revision. It returns as soon as
	// there is one, or an empty page after wait. Errors: ErrCompacted,
	// ErrUnavailable.
	Follow func(ctx context.Context, table string, after Revision, wait time.Duration) (Page, error)
}

// Read reads the rows of one partition whose keys, without the prefix of table and
// partition, are not less than from, page by page. Rows that are written meanwhile may be
// missing; Revision is that of the first page. Errors: ErrUnavailable.
func (f *Feed) Read(ctx context.Context, table, partition, from string) (Snapshot, error) {
	var snapshot Snapshot
	r := Range{Table: table, Partition: partition, From: from}
	for first := true; ; first = false {
		page, err := f.ReadPage(ctx, r)
		if err != nil {
			return Snapshot{}, err
		}
		if first {
			snapshot.Revision = page.Revision
		}
		snapshot.Rows = append(snapshot.Rows, page.Rows...)
		if page.Next == "" {
			return snapshot, nil
		}
		r.From = page.Next
	}
}
