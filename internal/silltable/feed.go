package silltable

import (
	"context"
	"errors"
	"time"
)

// Keys of one table begin with the table's name and a slash. A partitioned table
// has the partition's name and another slash after it; rows of one partition,
// whatever their table, can be written in one transaction.

// ErrCompacted is returned by a feed whose start is no longer kept.
var ErrCompacted = errors.New("the table's history does not reach back so far: read all its rows again")

// Change is one row of a feed in its newest state.
type Change struct {
	Row Row
	// Removed is whether the row was deleted; Row.Value is empty then.
	Removed bool
}

// Page is a part of a feed.
type Page struct {
	Changes []Change
	// Next is the revision from which the feed goes on.
	Next Revision
}

// Snapshot holds the rows of a partition as of one moment.
type Snapshot struct {
	Rows []Row
	// Revision is the newest revision of the service at that moment.
	Revision Revision
}

// Feed reads tables as a whole and follows their changes. Its fields are safe
// for concurrent use.
type Feed struct {
	// Read reads the rows of one partition whose keys, without table and
	// partition, are from the key from on. Tables without partitions have the
	// partition "". Errors: ErrUnavailable.
	Read func(ctx context.Context, table, partition, from string) (Snapshot, error)
	// Partitions lists the partitions of a table. Errors: ErrUnavailable.
	Partitions func(ctx context.Context, table string) ([]string, error)
	// Follow returns the changes of a table after a revision as soon as there
	// is one, or none after wait. Errors: ErrCompacted, ErrUnavailable.
	Follow func(ctx context.Context, table string, after Revision, wait time.Duration) (Page, error)
}
