// Package sillwatch follows tables of the platform through outages, lost
// history and connections that went silent.
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

// Config holds what a Follower needs.
type Config struct {
	Feed *silltable.Feed
	// Table is followed; Partitioned is whether its rows stand in many partitions.
	Table       string
	Partitioned bool
	// Wait is how long one call waits for a change. It bounds the time after
	// which a silent connection is found.
	Wait time.Duration
	// ResponseTimeout bounds the time of a call beyond Wait.
	ResponseTimeout time.Duration
	// Pause is the time between two calls, in which changes gather.
	Pause time.Duration
	// Reset takes all rows of the table, at the start and after the history was
	// lost. Outage is how long the feed was away before.
	Reset func(rows []silltable.Row, outage time.Duration)
	// Apply takes changes in their order. A change may come twice.
	Apply func(changes []silltable.Change, outage time.Duration)
	Log   *zap.Logger
	// Now reads the clock.
	Now func() time.Time
}

// Follower keeps a view of one table up to date.
type Follower struct {
	cfg Config

	mu sync.Mutex
	// current is when the view was last known to be up to date; zero before the first reading.
	current time.Time
	// away is when the first call of a row of failed ones was made; zero if the last one worked.
	away time.Time
}

// retryEvery is the time between two calls to a table service that is away.
const retryEvery = 200 * time.Millisecond

// readsAtOnce bounds the partitions that are read at the same time.
const readsAtOnce = 8

// New returns a follower; Run starts it.
func New(cfg Config) *Follower {
	cfg.Log = cfg.Log.Named("watch").With(zap.String("table", cfg.Table))
	return &Follower{cfg: cfg}
}

// Age returns how long ago the view was known to be up to date, and false
// before the first reading.
func (f *Follower) Age(now time.Time) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.current), !f.current.IsZero()
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		after, err := f.readAll(ctx)
		if err == nil {
			err = f.follow(ctx, after)
		}
		f.failed(ctx, err)
	}
}

// follow returns nil when the history was lost, so that all is read again.
func (f *Follower) follow(ctx context.Context, after silltable.Revision) error {
	for ctx.Err() == nil {
		started := f.cfg.Now()
		page, err := f.page(ctx, after)
		switch {
		case errors.Is(err, silltable.ErrCompacted):
			f.cfg.Log.Info("History lost; reading all rows again.", zap.Uint64("after", uint64(after)))
			return nil
		case err != nil:
			f.failed(ctx, err)
			continue
		}
		outage := f.worked(started)
		if len(page.Changes) > 0 {
			f.cfg.Apply(page.Changes, outage)
		}
		after = page.Next
		if len(page.Changes) > 0 {
			sleep(ctx, f.cfg.Pause)
		}
	}
	return nil
}

func (f *Follower) page(ctx context.Context, after silltable.Revision) (silltable.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.Wait+f.cfg.ResponseTimeout)
	defer cancel()
	return f.cfg.Feed.Follow(ctx, f.cfg.Table, after, f.cfg.Wait)
}

// readAll reads every row and returns the revision from which to follow.
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
	f.cfg.Reset(rows, f.worked(started))
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
	slots := make(chan struct{}, readsAtOnce)
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

// worked notes a call that worked and returns how long the table was away before.
func (f *Follower) worked(started time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = started
	if f.away.IsZero() {
		return 0
	}
	outage := f.cfg.Now().Sub(f.away)
	f.away = time.Time{}
	f.cfg.Log.Info("Table is back.", zap.Duration("outage", outage))
	return outage
}

func (f *Follower) failed(ctx context.Context, err error) {
	if err == nil || ctx.Err() != nil {
		return
	}
	f.mu.Lock()
	if f.away.IsZero() {
		f.away = f.cfg.Now()
		f.cfg.Log.Warn("Table is away.", silllog.Err(err))
	}
	f.mu.Unlock()
	sleep(ctx, retryEvery)
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
