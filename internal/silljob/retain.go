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
	// retentionInterval is the time between two looks for jobs whose rows may go.
	retentionInterval = 10 * time.Second
	// clockSkewMargin is kept beyond the promised time, for clocks that differ.
	clockSkewMargin = time.Minute
	// completeJobRetention is how long a job is kept whose items all have results and
	// that nobody ended.
	completeJobRetention = time.Hour
	// deleteTimeout bounds the removal of one job.
	deleteTimeout = 5 * time.Second
)

// Retention removes the rows of jobs that nobody may ask for any more. One
// process at a time runs it.
type Retention struct {
	Store *Store
	Board *Board
	// Period is how long after its submission an ended job can be read.
	Period time.Duration
	Log    *zap.Logger
}

// Run removes old jobs until ctx ends.
func (r *Retention) Run(ctx context.Context) {
	sillgroup.Every(ctx, retentionInterval, func(now time.Time) { r.deleteExpired(ctx, now) })
}

func (r *Retention) deleteExpired(ctx context.Context, now time.Time) {
	for _, job := range r.Board.expired(now, r.Period+clockSkewMargin, completeJobRetention) {
		err := r.deleteJob(ctx, job)
		r.Log.Info("Removed an old job.", zap.String("job", string(job)), silllog.Err(err))
		if err != nil {
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

// expired returns the jobs whose rows may go: ended ones submitted longer than
// ended ago, and whole ones submitted longer than whole ago.
func (b *Board) expired(now time.Time, ended, complete time.Duration) []ID {
	b.mu.Lock()
	defer b.mu.Unlock()
	var jobs []ID
	for job, v := range b.states {
		age := now.Sub(time.UnixMilli(v.SubmittedMS))
		if (v.Ended && age > ended) || (v.Done() && age > complete) {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// Remove forgets a job.
func (b *Board) Remove(job ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.states, job)
}

// Delete deletes the rows of a job, the state row last, so that a removal that
// broke off is found again.
func (s *Store) Delete(ctx context.Context, job ID) error {
	for _, table := range []string{ResultTable, ProgressTable, ContentTable, StateTable} {
		snapshot, err := s.Feed.Read(ctx, table, partition(job), "")
		if err != nil {
			return err
		}
		rows := snapshot.Rows
		for len(rows) > 0 {
			n := min(len(rows), maxTxnRows)
			if err := s.deleteRows(ctx, rows[:n]); err != nil {
				return err
			}
			rows = rows[n:]
		}
	}
	return nil
}

func (s *Store) deleteRows(ctx context.Context, rows []silltable.Row) error {
	txn := silltable.Txn{}
	for _, row := range rows {
		txn.Writes = append(txn.Writes, silltable.Write{Key: row.Key, Delete: true})
	}
	_, err := s.Table.Commit(ctx, txn)
	return err
}
