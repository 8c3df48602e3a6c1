package silljob

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var (
	// ErrNoJob is returned for a job that does not exist or that belongs to another
	// organisation.
	ErrNoJob = errors.New("no such job: check its id")
	// ErrNoItem is returned for an item that is not in the job, or whose job has ended.
	ErrNoItem = errors.New("no such item in the job, or the job has ended")
	// ErrIDTaken is returned for a new job whose id another organisation uses.
	ErrIDTaken = errors.New("job id is used by another organisation: choose another id")
)

// Store reads and writes the rows of jobs. It is safe for concurrent use.
type Store struct {
	Table *silltable.Store
	Feed  *silltable.Feed
}

// VersionedState is the state of a job with the revision of its row, on which a write
// can be conditional.
type VersionedState struct {
	State
	Revision silltable.Revision
}

// Accept writes a new job with the given owner and returns its state. It returns
// false if the job was accepted before. After silltable.ErrUnavailable the job is not
// accepted. After silltable.ErrUnknown it may have been accepted, or may be later.
func (s *Store) Accept(ctx context.Context, sub *Submission, owner GatewayRun) (VersionedState, bool, error) {
	state := State{
		Organisation: sub.Organisation, Model: sub.Model, Pool: sub.Pool, MinVersion: sub.MinVersion, SingleVersion: sub.SingleVersion,
		Total: len(sub.Items), Waiting: len(sub.Items), Owner: owner, Epoch: 1, SubmittedMS: sub.SubmittedMS,
	}
	writes, err := encodeSubmission(sub, &state)
	if err != nil {
		return VersionedState{}, false, err
	}
	absent := []silltable.Check{{Key: rowKey(StateTable, sub.Job, stateKey), Revision: silltable.Absent}}
	accepted := VersionedState{State: state}
	for _, part := range splitWrites(writes) {
		revisions, err := s.Table.Commit(ctx, silltable.Txn{Checks: absent, Writes: part})
		if err != nil {
			return s.resolveAccept(ctx, sub.Job, err)
		}
		accepted.Revision = revisions[len(revisions)-1]
	}
	return accepted, true, nil
}

// resolveAccept reads whether the job was accepted, after a conflict with an earlier
// call or a commit of unknown outcome. It returns other causes unchanged.
func (s *Store) resolveAccept(ctx context.Context, job ID, cause error) (VersionedState, bool, error) {
	if !errors.Is(cause, silltable.ErrUnknown) && !errors.Is(cause, silltable.ErrConflict) {
		return VersionedState{}, false, cause
	}
	held, err := s.State(ctx, job)
	if err == nil {
		return held, false, nil
	}
	return VersionedState{}, false, eris.Wrapf(silltable.ErrUnknown, "silljob.resolveAccept: job %s: %v", job, err)
}

// encodeSubmission returns the rows of a job. The state row is the last one, since a
// job is accepted once its state row is written.
func encodeSubmission(sub *Submission, state *State) ([]silltable.Write, error) {
	head, err := cbor.Marshal(sub)
	if err != nil {
		return nil, eris.Wrap(err, "silljob.encodeSubmission")
	}
	writes, err := encodeList(ContentTable, sub.Job, 0, sub.Items)
	if err != nil {
		return nil, err
	}
	writes = append(writes, silltable.Write{Key: rowKey(ContentTable, sub.Job, headKey), Value: head})
	row, err := encodeState(sub.Job, state)
	return append(writes, row), err
}

// splitWrites splits rows into transactions and keeps their order.
func splitWrites(writes []silltable.Write) [][]silltable.Write {
	var parts [][]silltable.Write
	start, size := 0, 0
	for i, w := range writes {
		n := len(w.Key) + len(w.Value)
		if i > start && (size+n > maxTxnBytes || i-start >= maxTxnRows) {
			parts = append(parts, writes[start:i])
			start, size = i, 0
		}
		size += n
	}
	return append(parts, writes[start:])
}

// State reads the state of a job. It returns ErrNoJob if there is none.
func (s *Store) State(ctx context.Context, job ID) (VersionedState, error) {
	row, err := s.Table.Get(ctx, rowKey(StateTable, job, stateKey))
	if errors.Is(err, silltable.ErrNotFound) {
		return VersionedState{}, ErrNoJob
	}
	if err != nil {
		return VersionedState{}, err
	}
	state, err := decodeState(row)
	return VersionedState{State: state, Revision: row.Revision}, err
}

// Submission reads a job as it was submitted. It returns ErrNoJob if there is none.
func (s *Store) Submission(ctx context.Context, job ID) (*Submission, error) {
	snapshot, err := s.Feed.Read(ctx, ContentTable, partition(job), "")
	if err != nil {
		return nil, err
	}
	last := len(snapshot.Rows) - 1
	if last < 0 || snapshot.Rows[last].Key != rowKey(ContentTable, job, headKey) {
		return nil, ErrNoJob
	}
	var sub Submission
	if err := cbor.Unmarshal(snapshot.Rows[last].Value, &sub); err != nil {
		return nil, eris.Wrapf(err, "silljob.Submission: job %s", job)
	}
	sub.Items, err = decodeLists[Item](snapshot.Rows[:last])
	return &sub, err
}

// Results reads the results from a position on. That must be the first position of a
// batch that was written at once.
func (s *Store) Results(ctx context.Context, job ID, from int) ([]Result, error) {
	snapshot, err := s.Feed.Read(ctx, ResultTable, partition(job), chunkKey(from, 0))
	if err != nil {
		return nil, err
	}
	return decodeLists[Result](snapshot.Rows)
}

// SavedProgress reads the generations in progress that an owner saved.
func (s *Store) SavedProgress(ctx context.Context, job ID) ([]Progress, error) {
	snapshot, err := s.Feed.Read(ctx, ProgressTable, partition(job), "")
	if err != nil {
		return nil, err
	}
	return decodeLists[Progress](snapshot.Rows)
}

// Update is what the owner writes to a job in one transaction.
type Update struct {
	// Results are appended to the published results.
	Results []Result
	// Progress replaces the saved generations in progress; nil keeps them.
	Progress []Progress
	// Waiting is the number of items that no target has started.
	Waiting int
}

// Write writes an update of a job if its state is still held, and returns the new
// state. After silltable.ErrConflict or silltable.ErrUnknown the caller must read the
// state before the next write.
func (s *Store) Write(ctx context.Context, job ID, held VersionedState, u Update) (VersionedState, error) {
	return s.update(ctx, job, held, held.Owner, u)
}

// Release writes an update as Write does and removes the owner of the job, so that
// another process can claim it.
func (s *Store) Release(ctx context.Context, job ID, held VersionedState, u Update) (VersionedState, error) {
	return s.update(ctx, job, held, "", u)
}

// update writes an update with the next owner of a job if its state is still held.
func (s *Store) update(ctx context.Context, job ID, held VersionedState, owner GatewayRun, u Update) (VersionedState, error) {
	var writes []silltable.Write
	if len(u.Results) > 0 {
		list, err := encodeList(ResultTable, job, held.Published, u.Results)
		if err != nil {
			return held, err
		}
		writes = list
	}
	next := held.State
	next.Owner = owner
	next.Published += len(u.Results)
	next.Waiting = u.Waiting
	return s.writeWithProgress(ctx, job, held, next, writes, u.Progress)
}

// Claim makes owner the owner of a job if the job's state is still held.
func (s *Store) Claim(ctx context.Context, job ID, held VersionedState, owner GatewayRun) (VersionedState, error) {
	next := held.State
	next.Owner = owner
	next.Epoch = held.Epoch + 1
	return s.compareAndSet(ctx, job, held, next, nil)
}

// writeWithProgress writes rows, the next state and as many of the generations in
// progress as fit into the same transaction.
func (s *Store) writeWithProgress(ctx context.Context, job ID, held VersionedState, next State, writes []silltable.Write, progress []Progress) (VersionedState, error) {
	progress = longestFitting(progress, maxTxnBytes-sizeOf(writes))
	if len(progress) > 0 {
		list, err := encodeList(ProgressTable, job, 0, progress)
		if err != nil {
			return held, err
		}
		writes = append(writes, list...)
		next.HasProgress = true
	}
	return s.compareAndSet(ctx, job, held, next, writes)
}

// progressOverheadBytes is the size allowed for the fields of a Progress other than
// its events.
const progressOverheadBytes = 128

// longestFitting returns the longest generations that fit into a size in bytes. The
// shortest ones are the cheapest to generate again.
func longestFitting(progress []Progress, size int) []Progress {
	progress = slices.Clone(progress)
	slices.SortFunc(progress, func(a, b Progress) int { return cmp.Compare(len(b.Events), len(a.Events)) })
	for i, p := range progress {
		for _, e := range p.Events {
			size -= len(e)
		}
		size -= progressOverheadBytes
		if size < 0 {
			return progress[:i]
		}
	}
	return progress
}

// compareAndSet writes rows of a job and its next state if the revision of its state
// row is still that of held.
func (s *Store) compareAndSet(ctx context.Context, job ID, held VersionedState, next State, writes []silltable.Write) (VersionedState, error) {
	row, err := encodeState(job, &next)
	if err != nil {
		return held, err
	}
	revisions, err := s.Table.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: row.Key, Revision: held.Revision}},
		Writes: append(writes, row),
	})
	if err != nil {
		return held, err
	}
	return VersionedState{State: next, Revision: revisions[len(revisions)-1]}, nil
}

// maxEndAttempts bounds the attempts to end a job whose owner writes concurrently.
const maxEndAttempts = 10

// End ends a job of an organisation. It is idempotent. It returns ErrNoJob for a job of
// another organisation and silltable.ErrUnavailable after maxEndAttempts.
func (s *Store) End(ctx context.Context, job ID, organisation sillid.OrganisationID) (VersionedState, error) {
	for range maxEndAttempts {
		held, err := s.State(ctx, job)
		if err != nil {
			return VersionedState{}, err
		}
		if held.Organisation != organisation {
			return VersionedState{}, ErrNoJob
		}
		if held.Ended {
			return held, nil
		}
		next := held.State
		next.Ended = true
		after, err := s.compareAndSet(ctx, job, held, next, nil)
		if err == nil {
			return after, nil
		}
		if !errors.Is(err, silltable.ErrConflict) && !errors.Is(err, silltable.ErrUnknown) {
			return VersionedState{}, err
		}
	}
	return VersionedState{}, silltable.ErrUnavailable
}
