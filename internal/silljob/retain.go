package silljob

import (
	"context"
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
)

// Retention deletes the rows of expired jobs. One process at a time runs it.
type Retention struct {
	Store *Store
	Board *Board
	// Period is how long an ended job stays readable after its submission.
	Period time.Duration
	Log    *zap.Logger
}

// Run deletes expired jobs until ctx ends.
func (r *Retention) Run(ctx context.Context) {
	sillgroup.Every(ctx, retentionInterval, func(now time.Time) { r.deleteExpired(ctx, now) })
}

// deleteExpired deletes expired jobs. One that can't be deleted keeps no other from that.
func (r *Retention) deleteExpired(ctx context.Context, now time.Time) {
	for _, job := range r.Board.expired(now, r.Period+clockSkewMargin, completeJobRetention) {
		err := r.deleteJob(ctx, job)
		r.Log.Info("Deleting an expired job.", zap.String("job", string(job)), silllog.Err(err))
		if ctx.Err() != nil {
			return
		}
	}
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
func (b *Board) expired(now time.Time, endedAge, completeAge time.Duration) []ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var jobs []ID
	for job, v := range b.states {
		age := now.Sub(time.UnixMilli(v.SubmittedMS))
		if (v.Ended && age > endedAge) || (v.Done() && age > completeAge) {
			jobs = append(jobs, job)
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
