package silljob

import (
	"cmp"
	"context"
	"errors"
	"slices"

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
	// OnUndecoded is called with the key of each list, or the position of each element, of a
	// job that can't be decoded. It may be nil.
	OnUndecoded func(key string, err error)

	indexes indexCache
}

// undecodableError is the error of rows that can't be decoded: a later read gets the same.
type undecodableError struct{ error }

func (e undecodableError) Unwrap() error { return e.error }

func undecodable(err error) error { return undecodableError{err} }

// isUndecodable returns whether an error does not pass: it is that of rows, not of a read.
func isUndecodable(err error) bool {
	var u undecodableError
	return errors.As(err, &u)
}

// Expire removes what is kept of jobs that were not read lately.
func (s *Store) Expire() { s.indexes.expire() }

// VersionedState is the state of a job with the revision of its row, on which a write
// can be conditional.
type VersionedState struct {
	State
	Revision silltable.Revision
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

// Results reads the results from a position on. That must be the first position of a
// batch that was written at once.
func (s *Store) Results(ctx context.Context, job ID, from int) ([]Result, error) {
	var all []Result
	for p := s.resultPager(job, from, 0); !p.done; {
		results, err := p.page(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, results...)
	}
	return all, nil
}

// SavedProgress reads the generations in progress that an owner saved. Those that can't be
// decoded are left out, and generated again.
func (s *Store) SavedProgress(ctx context.Context, job ID) ([]Progress, error) {
	rows, err := s.readRange(ctx, silltable.Range{Table: ProgressTable, Partition: partition(job), Large: true})
	if err != nil {
		return nil, err
	}
	lists, err := joinLists(rows)
	if err != nil {
		return nil, err
	}
	var saved []Progress
	for i := range lists {
		saved = append(saved, s.decodeProgress(job, &lists[i])...)
	}
	return saved, nil
}

func (s *Store) decodeProgress(job ID, l *elementList) []Progress {
	list, failures, err := decodeList[Progress](l)
	if err != nil {
		s.countUndecoded(ProgressTable, job, l.first, err)
		return nil
	}
	for position, err := range failures {
		s.countUndecoded(ProgressTable, job, position, err)
	}
	var saved []Progress
	for i, p := range list {
		switch {
		case p == nil:
		case !p.isValid():
			s.countUndecoded(ProgressTable, job, l.first+i, errNotUTF8)
		default:
			saved = append(saved, *p)
		}
	}
	return saved
}

// countUndecoded reports a row that can't be used.
func (s *Store) countUndecoded(table string, job ID, position int, err error) {
	if s.OnUndecoded != nil {
		s.OnUndecoded(rowKey(table, job, chunkKey(position, 0)), err)
	}
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
		lists, err := splitLists(held.Published, u.Results)
		if err != nil {
			return held, err
		}
		for i := range lists {
			writes = append(writes, lists[i].rows(ResultTable, job, "")...)
		}
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
		b, err := encoding.Marshal(progress)
		if err != nil {
			return held, eris.Wrap(err, "silljob.writeWithProgress")
		}
		// One list, so that parts of a longer one before it are not taken for others.
		l := elementList{data: b}
		writes = append(writes, l.rows(ProgressTable, job, "")...)
		next.HasProgress = true
	}
	return s.compareAndSet(ctx, job, held, next, writes)
}

// progressOverheadBytes is the size allowed for the fields of a Progress other than its events,
// versions and id.
const progressOverheadBytes = 128

// rowBytes returns what a generation takes in a row at most.
func (p *Progress) rowBytes() int {
	n := progressOverheadBytes + len(p.Item) + versionBytes*len(p.Versions)
	for _, e := range p.Events {
		n += cborHeadBytes(len(e)) + len(e)
	}
	return n
}

// longestFitting returns the longest generations that fit into a size in bytes. The
// shortest ones are the cheapest to generate again.
func longestFitting(progress []Progress, size int) []Progress {
	progress = slices.Clone(progress)
	var fitting []Progress
	slices.SortFunc(progress, func(a, b Progress) int { return cmp.Compare(len(b.Events), len(a.Events)) })
	for i := range progress {
		if n := progress[i].rowBytes(); n <= size {
			size -= n
			fitting = append(fitting, progress[i])
		}
	}
	return fitting
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
