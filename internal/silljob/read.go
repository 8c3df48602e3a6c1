package silljob

import (
	"context"
	"errors"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ErrStateUnknown is returned if the state or the results of a job can't be read.
var ErrStateUnknown = errors.New("job state can't be read: retry, or use another gateway")

// Reader reads and ends jobs of any owner. It is safe for concurrent use.
type Reader struct {
	Store *Store
	Board *Board
	Cache *Cache
	// BoardAge returns how long ago the board was known to be current, and false if
	// it has never been read.
	BoardAge func() (time.Duration, bool)
}

// maxBoardAge is the age up to which the board's states are used without a read of
// the table.
const maxBoardAge = 700 * time.Millisecond

// maxPageBytes bounds the size of the texts in one page of results. It leaves room
// for their encoding.
const maxPageBytes = 600 << 10

// Page is a range of a job's results. Total is the number of items of the job.
type Page struct {
	Total   int
	Results []Result
}

// Results returns the results of a job from position after on, as far as they fit
// into one page. If there are none, it waits for one for at most wait. Errors:
// ErrNoJob, ErrStateUnknown.
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

// state returns the state of a job from the board if that is recent and knows the
// job, else from the table. It returns ErrNoJob for a job of another organisation.
func (r *Reader) state(ctx context.Context, job ID, organisation sillid.OrganisationID) (VersionedState, error) {
	age, read := r.BoardAge()
	held, ok := r.Board.Get(job)
	if !ok || !read || age > maxBoardAge {
		current, err := r.Store.State(ctx, job)
		if errors.Is(err, ErrNoJob) {
			return VersionedState{}, ErrNoJob
		}
		if err != nil {
			return VersionedState{}, ErrStateUnknown
		}
		r.Board.UpdateIfNewer(job, current)
		held = current
	}
	if held.Organisation != organisation {
		return VersionedState{}, ErrNoJob
	}
	return held, nil
}

// page returns results of a job that has published more than after, from the cache or
// the table.
func (r *Reader) page(ctx context.Context, job ID, state VersionedState, after int) (Page, error) {
	list, cached := r.Cache.Get(job, after)
	if cached < state.Published && len(list) == 0 {
		if err := r.fillCache(ctx, job, state, cached, after); err != nil {
			return Page{}, errors.Join(ErrStateUnknown, err)
		}
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

// fillCache reads results into the cache, from the first position that is not cached, until it
// holds a page of them from position after on or there are no more. What it has read stays
// cached if a read fails, so that the next call goes on there.
func (r *Reader) fillCache(ctx context.Context, job ID, state VersionedState, cached, after int) error {
	size := 0
	for p := r.Store.resultPager(job, cached, state.Published); !p.done && size <= maxPageBytes; {
		results, err := p.page(ctx)
		if err != nil {
			return err
		}
		r.Cache.Add(job, cached, results)
		for i := range results {
			if cached+i >= after {
				size += len(results[i].Text)
			}
		}
		cached += len(results)
	}
	return nil
}

// Body returns the request body of an item of a job that has not ended. Errors:
// ErrNoJob, ErrNoItem, ErrStateUnknown.
func (r *Reader) Body(ctx context.Context, job ID, organisation sillid.OrganisationID, item ItemID) ([]byte, error) {
	state, err := r.state(ctx, job, organisation)
	if err != nil {
		return nil, err
	}
	if state.Ended {
		return nil, ErrNoItem
	}
	b, err := r.Store.ItemBody(keepBodies(ctx, state.Homes), job, state.Content, item)
	switch {
	case errors.Is(err, ErrNoItem):
		return nil, ErrNoItem
	case err != nil:
		return nil, errors.Join(ErrStateUnknown, err)
	}
	return b, nil
}

// End ends a job of the organisation. Errors: ErrNoJob, ErrStateUnknown.
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

// NotAccepted returns whether an error of Runner.Submit means that the call did not
// accept the job and will not do so later.
func NotAccepted(err error) bool { return errors.Is(err, silltable.ErrUnavailable) }
