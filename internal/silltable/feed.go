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

// Feed reads partitions of tables and watches tables for changes. Its fields are
// safe for concurrent use.
type Feed struct {
	// Read reads the rows of one partition whose keys, without the prefix of
	// table and partition, are not less than from. Tables without partitions
	// have the partition "". Errors: ErrUnavailable.
	Read func(ctx context.Context, table, partition, from string) (Snapshot, error)
	// Partitions lists the partitions of a table. Errors: ErrUnavailable.
	Partitions func(ctx context.Context, table string) ([]string, error)
	// Follow waits for changes of a table after a revision. It returns as soon as
	// there is one, or an empty page after wait. Errors: ErrCompacted,
	// ErrUnavailable.
	Follow func(ctx context.Context, table string, after Revision, wait time.Duration) (Page, error)
}
