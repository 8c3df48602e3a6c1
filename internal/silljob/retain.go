package silljob

import (
	"context"
	"net/url"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

const (
	// retentionInterval is the time between two deletions of expired jobs.
	retentionInterval = 10 * time.Second
	// clockSkewMargin is added to the retention period, as clocks may differ.
	clockSkewMargin = time.Minute
	// completeJobRetention is how long a job is kept that has all results but was
	// never ended.
	completeJobRetention = time.Hour
	// deleteTimeout bounds the deletion of one job.
	deleteTimeout = 5 * time.Second
	// orphanAge is how long rows without a state row are kept: longer than a submission, and
	// the late writes of one, take.
	orphanAge = time.Minute
	// orphanSearchInterval is the time between two searches for such rows.
	orphanSearchInterval = 30 * time.Second
)

// Retention deletes the rows of expired jobs, which it reads with their bodies. One process at
// a time deletes a job.
type Retention struct {
	Store *Store
	Board *Board
	// Period is how long an ended job stays readable after its submission.
	Period time.Duration
	// Deletes returns whether this process deletes a job; nil deletes all.
	Deletes func(p Placement) bool
	// OrphansLeft is whether rows of submissions that were never accepted are left to others.
	OrphansLeft bool
	Log         *zap.Logger

	// orphans holds since when each job is known to have rows but no state row.
	orphans map[ID]time.Time
	// searchedAt is the time of the last search for orphans.
	searchedAt time.Time
}

// Run deletes expired jobs until ctx ends.
func (r *Retention) Run(ctx context.Context) {
	sillgroup.Every(ctx, retentionInterval, func(now time.Time) {
		r.deleteExpired(ctx, now)
		if !r.OrphansLeft && now.Sub(r.searchedAt) >= orphanSearchInterval {
			r.searchedAt = now
			r.deleteOrphans(ctx, now)
		}
	})
}

// deleteExpired deletes expired jobs. One that can't be deleted keeps no other from that.
func (r *Retention) deleteExpired(ctx context.Context, now time.Time) {
	for job, placement := range r.Board.expired(now, r.Period+clockSkewMargin, completeJobRetention) {
		if r.Deletes != nil && !r.Deletes(placement) {
			continue
		}
		err := r.deleteJob(keepBodies(ctx, placement.Homes), job)
		r.Log.Info("Deleting an expired job.", zap.String("job", string(job)), silllog.Err(err))
		if ctx.Err() != nil {
			return
		}
	}
}

// deleteOrphans deletes the rows of submissions that were never accepted.
func (r *Retention) deleteOrphans(ctx context.Context, now time.Time) {
	jobs, err := r.Store.jobsWithContent(ctx)
	if err != nil {
		r.Log.Warn("Rows of jobs can't be listed.", silllog.Err(err))
		return
	}
	orphans := make(map[ID]time.Time)
	for _, job := range jobs {
		if _, ok := r.Board.Get(job); ok {
			continue
		}
		since, ok := r.orphans[job]
		if !ok {
			since = now
		}
		if now.Sub(since) < orphanAge {
			orphans[job] = since
			continue
		}
		err := r.Store.deleteOrphan(ctx, job)
		r.Log.Info("Deleting rows of a job that was never accepted.", zap.String("job", string(job)), silllog.Err(err))
	}
	r.orphans = orphans
}

func (r *Retention) deleteJob(ctx context.Context, job ID) error {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	if err := r.Store.Delete(ctx, job); err != nil {
		return err
	}
	r.Board.Remove(job)
	return nil
}

// expired returns the jobs whose rows may be deleted: ended jobs submitted longer
// than endedAge ago, and complete jobs submitted longer than completeAge ago.
func (b *Board) expired(now time.Time, endedAge, completeAge time.Duration) map[ID]Placement {
	b.mu.Lock()
	defer b.mu.Unlock()
	jobs := make(map[ID]Placement)
	for job, v := range b.states {
		age := now.Sub(time.UnixMilli(v.SubmittedMS))
		if (v.Ended && age > endedAge) || (v.Done() && age > completeAge) {
			jobs[job] = v.placement()
		}
	}
	return jobs
}

// Remove removes a job from the board.
func (b *Board) Remove(job ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, job)
}

// Delete deletes the rows of a job page by page; a later call goes on where an interrupted one
// stopped. It deletes the state row last, so that the job is found until then.
func (s *Store) Delete(ctx context.Context, job ID) error {
	for _, table := range []string{ResultTable, ProgressTable, ContentTable, StateTable} {
		if err := s.deleteAll(ctx, table, job, nil); err != nil {
			return err
		}
	}
	return nil
}

// jobsWithContent returns the jobs that have rows in ContentTable.
func (s *Store) jobsWithContent(ctx context.Context) ([]ID, error) {
	partitions, err := s.Feed.Partitions(ctx, ContentTable)
	if err != nil {
		return nil, err
	}
	jobs := make([]ID, 0, len(partitions))
	for _, p := range partitions {
		if id, err := url.PathUnescape(p); err == nil {
			jobs = append(jobs, ID(id))
		}
	}
	return jobs, nil
}

// deleteOrphan deletes the content of a job that does not exist. The check that it does not
// fails once the job is accepted; an attempt whose first row is gone can't be accepted.
func (s *Store) deleteOrphan(ctx context.Context, job ID) error {
	ctx, cancel := context.WithTimeout(ctx, deleteTimeout)
	defer cancel()
	absent := []silltable.Check{{Key: rowKey(StateTable, job, stateKey), Revision: silltable.Absent}}
	return s.deleteAll(ctx, ContentTable, job, absent)
}

// deleteAll deletes the rows of a job in a table if the checks hold.
func (s *Store) deleteAll(ctx context.Context, table string, job ID, checks []silltable.Check) error {
	r := silltable.Range{Table: table, Partition: partition(job), Large: true}
	for {
		page, err := s.Feed.ReadPage(ctx, r)
		if err != nil {
			return err
		}
		keys := make([]string, len(page.Rows))
		for i, row := range page.Rows {
			keys[i] = row.Key
		}
		for len(keys) > 0 {
			n := min(len(keys), maxTxnRows)
			if err := s.deleteKeys(ctx, keys[:n], checks); err != nil {
				return err
			}
			keys = keys[n:]
		}
		if page.Next == "" {
			return nil
		}
		r.From = page.Next
	}
}

// deleteKeys deletes rows in one transaction if the checks hold.
func (s *Store) deleteKeys(ctx context.Context, keys []string, checks []silltable.Check) error {
	txn := silltable.Txn{Checks: checks}
	for _, key := range keys {
		txn.Writes = append(txn.Writes, silltable.Write{Key: key, Delete: true})
	}
	_, err := s.Table.Commit(ctx, txn)
	return err
}
