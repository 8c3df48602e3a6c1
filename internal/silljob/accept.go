package silljob

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

const (
	// maxCommitAttempts bounds the attempts at one transaction of a new job.
	maxCommitAttempts = 3
	// commitRetryDelay is the time until a transaction is tried again.
	commitRetryDelay = 50 * time.Millisecond
	// discardTimeout bounds the deletion of the rows of an attempt that lost.
	discardTimeout = time.Second
)

// Accept writes a new job with the given owner and returns its state. It returns
// false if the job was accepted before. After silltable.ErrUnavailable the job is not
// accepted. After silltable.ErrUnknown it may have been accepted, or may be later.
func (s *Store) Accept(ctx context.Context, sub *Submission, owner GatewayRun) (VersionedState, bool, error) {
	packed, err := sub.pack()
	if err != nil {
		return VersionedState{}, false, err
	}
	return s.accept(ctx, sub, packed, owner)
}

func (s *Store) accept(ctx context.Context, sub *Submission, packed *PackedItems, owner GatewayRun) (VersionedState, bool, error) {
	w := contentWriter{store: s, job: sub.Job, content: newContentID()}
	if err := w.writeItems(ctx, sub, packed); err != nil {
		return w.resolve(ctx, err)
	}
	held, accepted, err := w.commitState(ctx, State{
		Organisation: sub.Organisation, Model: sub.Model, Pool: sub.Pool, MinVersion: sub.MinVersion, SingleVersion: sub.SingleVersion,
		Total: packed.Len(), Waiting: packed.Len(), Owner: owner, Epoch: 1, SubmittedMS: sub.SubmittedMS, Content: w.content,
		Homes: sub.Homes, AcceptedIn: sub.acceptedIn,
	})
	if accepted {
		s.indexes.put(w.content, &w.index)
	}
	return held, accepted, err
}

// contentWriter writes the rows of one attempt to accept a job. All but the last transaction
// hold items only; the last one makes the job exist.
type contentWriter struct {
	store   *Store
	job     ID
	content ContentID
	index   contentIndex
	// batch holds the rows that are not written yet, which take size bytes.
	batch []silltable.Write
	size  int
	// written are the keys of the rows of earlier transactions.
	written []string
	// guard is the state of the first row that was written. The last transaction checks it,
	// so that no job comes to be whose rows were deleted meanwhile.
	guard silltable.Check
}

// writeItems writes the items of a job, but for the last ones, which stay in the batch.
func (w *contentWriter) writeItems(ctx context.Context, sub *Submission, packed *PackedItems) error {
	w.index.Submission, w.index.Items = *sub, packed.ids
	w.index.Submission.Items, w.index.Submission.Packed = nil, nil
	for i := range packed.lists {
		l := &packed.lists[i]
		w.index.add(l)
		if err := w.addRows(ctx, l.rows(ContentTable, w.job, w.content.prefix())); err != nil {
			return err
		}
	}
	return nil
}

// addRows adds rows to the batch, which it writes whenever the next row does not fit.
func (w *contentWriter) addRows(ctx context.Context, rows []silltable.Write) error {
	for _, row := range rows {
		n := len(row.Key) + len(row.Value)
		if len(w.batch) > 0 && (w.size+n > maxTxnBytes || len(w.batch) >= maxTxnRows) {
			if err := w.flush(ctx); err != nil {
				return err
			}
		}
		w.batch = append(w.batch, row)
		w.size += n
	}
	return nil
}

// absent is the check that the job does not exist.
func (w *contentWriter) absent() silltable.Check {
	return silltable.Check{Key: rowKey(StateTable, w.job, stateKey), Revision: silltable.Absent}
}

// flush writes the batch. It repeats a write without an answer, whose rows are the same each
// time, and one that was refused after the job's first write.
func (w *contentWriter) flush(ctx context.Context) error {
	var err error
	for range maxCommitAttempts {
		var revisions []silltable.Revision
		revisions, err = w.store.Table.Commit(ctx, silltable.Txn{Checks: []silltable.Check{w.absent()}, Writes: w.batch})
		if err == nil {
			w.recordBatch(revisions)
			return nil
		}
		if errors.Is(err, silltable.ErrConflict) || (errors.Is(err, silltable.ErrUnavailable) && len(w.written) == 0) {
			return err
		}
		sleep(ctx, commitRetryDelay)
	}
	// Without a state row there is no job, whatever became of these rows.
	return eris.Wrapf(silltable.ErrUnavailable, "silljob.flush: job %s: %v", w.job, err)
}

func (w *contentWriter) recordBatch(revisions []silltable.Revision) {
	if len(w.written) == 0 {
		w.guard = silltable.Check{Key: w.batch[0].Key, Revision: revisions[0]}
	}
	for _, row := range w.batch {
		w.written = append(w.written, row.Key)
	}
	w.batch, w.size = nil, 0
}

// commitState writes the rows that are left, the index and the state row, in one transaction.
func (w *contentWriter) commitState(ctx context.Context, state State) (VersionedState, bool, error) {
	rows, err := w.lastRows(ctx, state)
	if err != nil {
		return w.resolve(ctx, err)
	}
	inDoubt := false
	for range maxCommitAttempts {
		revisions, commitErr := w.store.Table.Commit(ctx, silltable.Txn{Checks: w.checks(), Writes: rows})
		switch {
		case commitErr == nil:
			return VersionedState{State: state, Revision: revisions[len(revisions)-1]}, true, nil
		case errors.Is(commitErr, silltable.ErrConflict):
			held, accepted, resolveErr := w.resolveConflict(ctx)
			if held != nil || resolveErr != nil {
				return w.conclude(ctx, held, accepted, resolveErr)
			}
			err = commitErr
		case errors.Is(commitErr, silltable.ErrUnavailable) && !inDoubt:
			w.discard(ctx)
			return VersionedState{}, false, commitErr
		default:
			inDoubt, err = true, commitErr
		}
		sleep(ctx, commitRetryDelay)
	}
	return VersionedState{}, false, eris.Wrapf(silltable.ErrUnknown, "silljob.commitState: job %s: %v", w.job, err)
}

// lastRows returns the rows of the last transaction, the state row last. It writes others if
// the index does not fit beside them.
func (w *contentWriter) lastRows(ctx context.Context, state State) ([]silltable.Write, error) {
	index, err := w.index.rows(w.job, w.content)
	if err != nil {
		return nil, err
	}
	row, err := encodeState(w.job, &state)
	if err != nil {
		return nil, err
	}
	if err := w.addRows(ctx, append(index, row)); err != nil {
		return nil, err
	}
	if len(w.written) > 0 && len(w.batch) == 0 {
		return nil, eris.New("silljob.lastRows: no state row")
	}
	return w.batch, nil
}

func (w *contentWriter) checks() []silltable.Check {
	checks := []silltable.Check{w.absent()}
	if w.guard.Key != "" {
		checks = append(checks, w.guard)
	}
	return checks
}

// resolveConflict returns the state of the job if it exists, and whether this attempt made it.
// If it does not exist, the guard is read again: a write without an answer was carried out
// once more. A guard that is gone is an error.
func (w *contentWriter) resolveConflict(ctx context.Context) (*VersionedState, bool, error) {
	held, err := w.store.State(ctx, w.job)
	if err == nil {
		return &held, held.Content == w.content, nil
	}
	if !errors.Is(err, ErrNoJob) || w.guard.Key == "" {
		return nil, false, eris.Wrapf(silltable.ErrUnknown, "silljob.resolveConflict: job %s: %v", w.job, err)
	}
	row, err := w.store.Table.GetOrAbsent(ctx, w.guard.Key)
	if err != nil || row.Revision == silltable.Absent {
		return nil, false, eris.Wrapf(silltable.ErrUnknown, "silljob.resolveConflict: rows of job %s are gone: %v", w.job, err)
	}
	w.guard.Revision = row.Revision
	return nil, false, nil
}

// resolve reads whether the job exists after a conflict. It returns other causes unchanged.
func (w *contentWriter) resolve(ctx context.Context, cause error) (VersionedState, bool, error) {
	if !errors.Is(cause, silltable.ErrConflict) {
		w.discard(ctx)
		return VersionedState{}, false, cause
	}
	held, accepted, err := w.resolveConflict(ctx)
	if held == nil && err == nil {
		err = eris.Wrapf(silltable.ErrUnknown, "silljob.resolve: job %s: %v", w.job, cause)
	}
	return w.conclude(ctx, held, accepted, err)
}

// conclude returns the outcome of an attempt after a conflict. It deletes the attempt's rows
// if the job exists by another one.
func (w *contentWriter) conclude(ctx context.Context, held *VersionedState, accepted bool, err error) (VersionedState, bool, error) {
	if err != nil {
		return VersionedState{}, false, err
	}
	if !accepted {
		w.discard(ctx)
	}
	return *held, accepted, nil
}

// discard deletes the rows that the attempt has written. What it leaves is deleted with the
// job, or by Retention if there is none.
func (w *contentWriter) discard(ctx context.Context) {
	if len(w.written) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), discardTimeout)
	defer cancel()
	for keys := w.written; len(keys) > 0; {
		n := min(len(keys), maxTxnRows)
		if w.store.deleteKeys(ctx, keys[:n], nil) != nil {
			return
		}
		keys = keys[n:]
	}
}
