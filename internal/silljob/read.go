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

// maxPageBytes bounds the size of one page of results as JSON. Beyond it is one result alone.
const maxPageBytes = 900 << 10

const (
	// pageOverheadBytes is what a result takes in a page beside its texts and versions.
	pageOverheadBytes = 96
	// pageVersionBytes is what a weight version takes in a page at most.
	pageVersionBytes = 21
	// escapedBytes is what a byte takes at most that JSON escapes.
	escapedBytes = 6
)

// pageBytes returns what a result takes in a page of JSON at most.
func (r *Result) pageBytes() int {
	return pageOverheadBytes + jsonBytes(string(r.Item)) + jsonBytes(r.Text) + jsonBytes(r.Score) + pageVersionBytes*len(r.Versions)
}

// jsonBytes returns what a text takes in JSON at most. The separators U+2028 and U+2029 are
// escaped, too: \u2028 takes twice their bytes.
func jsonBytes(text string) int {
	n := len(text)
	for i := range len(text) {
		switch c := text[i]; {
		case c == '"' || c == '\\' || c == '\n':
			n++
		case c < ' ' || c == 0x7f:
			n += escapedBytes - 1
		case c == 0xe2:
			n += escapedBytes / 2
		}
	}
	return n
}

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
	list, end := r.Cache.Get(job, after)
	if len(list) == 0 {
		var err error
		if list, err = r.read(ctx, job, state, end, after); err != nil {
			return Page{}, errors.Join(ErrStateUnknown, err)
		}
	}
	if len(list) == 0 {
		return Page{}, ErrStateUnknown
	}
	return Page{Total: state.Total, Results: firstPage(list)}, nil
}

// firstPage returns the first results that fit into a page, but at least one.
func firstPage(list []Result) []Result {
	size := 0
	for i := range list {
		if size += list[i].pageBytes(); size > maxPageBytes && i > 0 {
			return list[:i]
		}
	}
	return list
}

// read reads results from position after on, until there is a page of them or there are no more.
// It goes on at the end of the cached positions if that is near. What it has read is cached, also if
// a read fails, so that the next call goes on there.
func (r *Reader) read(ctx context.Context, job ID, state VersionedState, end, after int) ([]Result, error) {
	p := r.Store.resultPagerWith(job, after, state.Published)
	if end <= after && after-end <= maxListResults {
		p = r.Store.resultPager(job, end, state.Published)
	}
	var list []Result
	for size := 0; !p.done && size <= maxPageBytes; {
		results, err := p.page(ctx)
		if err != nil {
			return nil, err
		}
		begin := p.position - len(results)
		r.Cache.Add(job, begin, results)
		for i := range results {
			if begin+i >= after {
				list = append(list, results[i])
				size += results[i].pageBytes()
			}
		}
	}
	return list, nil
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
