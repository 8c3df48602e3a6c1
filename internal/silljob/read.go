package silljob

import (
	"context"
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ErrStateUnknown is returned if it can't be told what a job holds.
var ErrStateUnknown = errors.New("the job can't be read now: ask again, or ask another gateway")

// Reader answers questions about jobs, whoever runs them.
type Reader struct {
	Store *Store
	Board *Board
	Cache *Cache
	// BoardAge returns how old the board is, and false if it was never read.
	BoardAge func() (time.Duration, bool)
}

// maxBoardAge is the age up to which the board may be taken as complete.
const maxBoardAge = 700 * time.Millisecond

// maxPageBytes bounds the texts of one page of results, with room for their encoding.
const maxPageBytes = 600 << 10

// Page is a part of a job's results.
type Page struct {
	Total   int
	Results []Result
}

// Results returns the results of a job from a position on. If there are none it
// waits up to wait for one. Errors: ErrNoJob, ErrStateUnknown.
func (r *Reader) Results(ctx context.Context, job ID, organisation sillid.OrganisationID, after int, wait time.Duration) (Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed := r.Board.Changed()
		state, err := r.state(ctx, job, organisation)
		if err != nil {
			return Page{}, err
		}
		if state.Published > after {
			return r.page(ctx, job, state, after)
		}
		if wait <= 0 || state.Done() {
			return Page{Total: state.Total}, nil
		}
		select {
		case <-ctx.Done():
			return Page{}, ErrStateUnknown
		case <-timer.C:
			wait = 0
		case <-changed:
		}
	}
}

// state returns the state of a job: from the board if that is fresh, else from the table.
func (r *Reader) state(ctx context.Context, job ID, organisation sillid.OrganisationID) (VersionedState, error) {
	age, read := r.BoardAge()
	held, ok := r.Board.Get(job)
	if !ok || !read || age > maxBoardAge {
		now, err := r.Store.State(ctx, job)
		if errors.Is(err, ErrNoJob) {
			return VersionedState{}, ErrNoJob
		}
		if err != nil {
			return VersionedState{}, ErrStateUnknown
		}
		r.Board.UpdateIfNewer(job, now)
		held = now
	}
	if held.Organisation != organisation {
		return VersionedState{}, ErrNoJob
	}
	return held, nil
}

// page returns the results of a job that has some behind a position.
func (r *Reader) page(ctx context.Context, job ID, state VersionedState, after int) (Page, error) {
	list, kept := r.Cache.Get(job, after)
	if kept < state.Published && len(list) == 0 {
		results, err := r.Store.Results(ctx, job, kept)
		if err != nil {
			return Page{}, ErrStateUnknown
		}
		r.Cache.Add(job, kept, results)
		list, _ = r.Cache.Get(job, after)
	}
	if len(list) == 0 {
		return Page{}, ErrStateUnknown
	}
	size := 0
	for i := range list {
		size += len(list[i].Text)
		if size > maxPageBytes && i > 0 {
			list = list[:i]
			break
		}
	}
	return Page{Total: state.Total, Results: list}, nil
}

// Body returns the body of an item of a job that has not ended. Errors:
// ErrNoJob, ErrNoItem, ErrStateUnknown.
func (r *Reader) Body(ctx context.Context, job ID, organisation sillid.OrganisationID, item ItemID) ([]byte, error) {
	state, err := r.state(ctx, job, organisation)
	if err != nil {
		return nil, err
	}
	if state.Ended {
		return nil, ErrNoItem
	}
	sub, err := r.Store.Submission(ctx, job)
	if err != nil {
		return nil, ErrStateUnknown
	}
	for i := range sub.Items {
		if sub.Items[i].ID == item {
			return sub.Items[i].Body, nil
		}
	}
	return nil, ErrNoItem
}

// End ends a job. Errors: ErrNoJob, ErrStateUnknown.
func (r *Reader) End(ctx context.Context, job ID, organisation sillid.OrganisationID) error {
	after, err := r.Store.End(ctx, job, organisation)
	switch {
	case errors.Is(err, ErrNoJob):
		return ErrNoJob
	case err != nil:
		return errors.Join(ErrStateUnknown, err)
	}
	r.Board.UpdateIfNewer(job, after)
	return nil
}

// NotAccepted returns whether an error of Submit says that the job was not and
// will not be accepted by that call.
func NotAccepted(err error) bool { return errors.Is(err, silltable.ErrUnavailable) }
