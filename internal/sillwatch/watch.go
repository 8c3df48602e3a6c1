// Package sillwatch keeps views of the platform's tables up to date through outages,
// compacted history and connections that stop delivering data.
package sillwatch

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Config holds the dependencies of a Follower.
type Config struct {
	Feed *silltable.Feed
	// Table is the table to follow. Partitioned is whether its rows are spread over
	// several partitions.
	Table       string
	Partitioned bool
	// Wait is how long one call waits for a change. A connection that delivers no
	// data is detected after Wait and ResponseTimeout at the latest.
	Wait time.Duration
	// ResponseTimeout is the time limit of a call in addition to Wait.
	ResponseTimeout time.Duration
	// Pause is the time between two calls after changes arrived, so that further
	// changes are collected into one page.
	Pause time.Duration
	// Reset receives all rows of the table, at the start and after the history was
	// compacted. Outage is how long the feed was unavailable before; 0 for no outage.
	Reset func(rows []silltable.Row, outage time.Duration)
	// Apply receives changes in their order. A change may be delivered twice.
	Apply func(changes []silltable.Change, outage time.Duration)
	Log   *zap.Logger
	Now   func() time.Time
}

// Follower keeps a view of one table up to date.
type Follower struct {
	cfg Config

	mu sync.Mutex
	// upToDateAt is when the view was last known to be up to date; zero before the
	// first read.
	upToDateAt time.Time
	// revision is the revision of the service up to which changes were delivered.
	revision silltable.Revision
	// outageStart is when the first of consecutive calls failed; zero if the last
	// call succeeded.
	outageStart time.Time
}

// retryInterval is the time between two calls while the table service is unavailable.
const retryInterval = 200 * time.Millisecond

// maxParallelReads is the number of partitions that are read at the same time.
const maxParallelReads = 8

// New returns a follower; Run starts it.
func New(cfg Config) *Follower {
	cfg.Log = cfg.Log.Named("watch").With(zap.String("table", cfg.Table))
	return &Follower{cfg: cfg}
}

// Revision returns a revision of the service up to which all changes of the table were
// delivered; 0 before the first read.
func (f *Follower) Revision() silltable.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

// recordDelivery records up to which revision changes were delivered. It is called after
// their delivery, so that a view with Revision holds them.
func (f *Follower) recordDelivery(revision silltable.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision = max(f.revision, revision)
}

// Age returns the time since the view was last known to be up to date, and false
// before the first read.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.upToDateAt), !f.upToDateAt.IsZero()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := f.readAll(ctx)
		if err == nil {
			err = f.follow(ctx, after)
		}
		f.recordFailure(ctx, err)
	}
}

// follow applies changes after a revision until ctx ends. It also returns nil when
// the history was compacted, so that Run reads all rows again.
func (f *Follower) follow(ctx context.Context, after silltable.Revision) error {
	for ctx.Err() == nil {
		started := f.cfg.Now()
		page, err := f.fetchPage(ctx, after)
		switch {
		case errors.Is(err, silltable.ErrCompacted):
			f.cfg.Log.Info("History lost; reading all rows again.", zap.Uint64("after", uint64(after)))
			return nil
		case err != nil:
			f.recordFailure(ctx, err)
			continue
		}
		outage := f.recordSuccess(started)
		if len(page.Changes) > 0 {
			f.cfg.Apply(page.Changes, outage)
		}
		after = page.Next
		f.recordDelivery(after)
		if len(page.Changes) > 0 {
			sleep(ctx, f.cfg.Pause)
		}
	}
	return nil
}

func (f *Follower) fetchPage(ctx context.Context, after silltable.Revision) (silltable.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.ResponseTimeout)
	defer cancel()
	return f.cfg.Feed.Follow(ctx, f.cfg.Table, after, f.cfg.Wait)
}

// readAll reads all rows and returns the revision after which to follow changes.
func (f *Follower) readAll(ctx context.Context) (silltable.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.ResponseTimeout)
	defer cancel()
	started := f.cfg.Now()
	first, err := f.cfg.Feed.Read(ctx, f.cfg.Table, "", "")
	if err != nil {
		return 0, err
	}
	rows := first.Rows
	if f.cfg.Partitioned {
		rows, err = f.readPartitions(ctx)
		if err != nil {
			return 0, err
		}
	}
	f.cfg.Reset(rows, f.recordSuccess(started))
	f.recordDelivery(first.Revision)
	return first.Revision, nil
}

func (f *Follower) readPartitions(ctx context.Context) ([]silltable.Row, error) {
	names, err := f.cfg.Feed.Partitions(ctx, f.cfg.Table)
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var rows []silltable.Row
	var failure error
	slots := make(chan struct{}, maxParallelReads)
	group := sillgroup.New(ctx)
	defer group.Stop()
	for _, name := range names {
		slots <- struct{}{}
		group.Go(func(ctx context.Context) {
			defer func() { <-slots }()
			snapshot, err := f.cfg.Feed.Read(ctx, f.cfg.Table, name, "")
			mu.Lock()
			defer mu.Unlock()
			rows = append(rows, snapshot.Rows...)
			if err != nil {
				failure = err
			}
		})
	}
	group.Wait()
	return rows, failure
}

// recordSuccess records a successful call and returns the length of the outage that
// it ends, or 0.
func (f *Follower) recordSuccess(started time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upToDateAt = started
	if f.outageStart.IsZero() {
		return 0
	}
	outage := f.cfg.Now().Sub(f.outageStart)
	f.outageStart = time.Time{}
	f.cfg.Log.Info("Table is back.", zap.Duration("outage", outage))
	return outage
}

// recordFailure records a failed call and waits for retryInterval. It does nothing
// if err is nil or ctx has ended.
func (f *Follower) recordFailure(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	if f.outageStart.IsZero() {
		f.outageStart = f.cfg.Now()
		f.cfg.Log.Warn("Table is away.", silllog.Err(err))
	}
	f.mu.Unlock()
	sleep(ctx, retryInterval)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
