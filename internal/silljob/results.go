package silljob

import (
	"context"
	"errors"
	"unicode/utf8"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

const (
	// resultOverheadBytes is what a result takes in a row beside its texts and versions: the
	// names of its fields and the heads of their values. minResultBytes is what it takes at least.
	resultOverheadBytes = 64
	minResultBytes      = 42
	// versionBytes is what a weight version takes at most.
	versionBytes = 9
	// maxListResults bounds the results of a list, by all builds: a list of more than one fits
	// into a row.
	maxListResults = maxRowBytes / minResultBytes
)

// rowBytes returns what a result takes in a row at most.
func (r *Result) rowBytes() int {
	return resultOverheadBytes + len(r.Item) + len(r.Text) + len(r.Score) + versionBytes*len(r.Versions)
}

// errNotUTF8 is the error of a text that is not UTF-8, which earlier builds took from targets.
var errNotUTF8 = errors.New("text is not UTF-8")

// resultPager reads the results of a job in the order of their positions. It goes on after a
// failed read where it stopped.
type resultPager struct {
	store  *Store
	job    ID
	next   silltable.Range
	joiner listJoiner
	// position is that of the next result.
	position int
	// unaligned is whether the range may begin within a list, so that the position is that of the
	// first list that is read, or wanted if that comes before it.
	unaligned bool
	wanted    int
	// published is the number of published results; 0 if unknown.
	published int
	done      bool
}

// resultPagerWith returns a pager that begins with a list before a position, or with the one that
// holds it.
func (s *Store) resultPagerWith(job ID, position, published int) *resultPager {
	p := s.resultPager(job, max(0, position-maxListResults), published)
	p.unaligned, p.wanted = true, position
	return p
}

// resultPager returns a pager from a position on, which must be the first one of a list.
// Published is the number of published results; 0 if unknown.
func (s *Store) resultPager(job ID, from, published int) *resultPager {
	return &resultPager{
		store: s, job: job, position: from, published: published,
		next: silltable.Range{Table: ResultTable, Partition: partition(job), From: chunkKey(from, 0), Large: true},
	}
}

// page returns the results of the next page, which may be none.
func (p *resultPager) page(ctx context.Context) ([]Result, error) {
	page, err := p.store.Feed.ReadPage(ctx, p.next)
	if err != nil {
		return nil, err
	}
	var results []Result
	for _, row := range page.Rows {
		l, err := p.joiner.add(row)
		if err != nil {
			p.store.countUndecoded(ResultTable, p.job, p.position, err)
		}
		results = append(results, p.decode(l)...)
	}
	if p.next.From = page.Next; page.Next == "" {
		results = append(results, p.decode(p.joiner.end())...)
		results = append(results, p.undecoded(p.published)...)
		p.done = true
	}
	return results, nil
}

// decode decodes a list; nil gives no results. Each position keeps its result: one that can't
// be used is not completed.
func (p *resultPager) decode(l *elementList) []Result {
	if l == nil {
		return nil
	}
	if p.unaligned {
		p.unaligned, p.position = false, min(l.first, p.wanted)
	}
	results := p.undecoded(l.first)
	list, failures, err := decodeList[Result](l)
	if err != nil {
		p.store.countUndecoded(ResultTable, p.job, l.first, err)
		return results
	}
	for i, r := range list {
		results = append(results, p.usable(l.first+i, r, failures[l.first+i]))
	}
	p.position = l.first + len(list)
	return results
}

// undecoded returns the results before a position that stand in a list that can't be decoded.
func (p *resultPager) undecoded(end int) []Result {
	var results []Result
	for ; p.position < end; p.position++ {
		results = append(results, Result{})
	}
	return results
}

// usable returns a result as it may be published, from one that may be nil after a failure.
func (p *resultPager) usable(position int, r *Result, failure error) Result {
	if failure == nil && !r.isValid() {
		failure = errNotUTF8
	}
	if failure == nil {
		return *r
	}
	p.store.countUndecoded(ResultTable, p.job, position, failure)
	if r == nil {
		return Result{}
	}
	return Result{Item: r.Item}
}

// isValid returns whether the texts of a result can be passed on.
func (r *Result) isValid() bool {
	return utf8.ValidString(r.Text) && utf8.ValidString(r.Score) && utf8.ValidString(string(r.Item))
}

// isValid returns whether the events of a generation can be continued.
func (p *Progress) isValid() bool {
	for _, e := range p.Events {
		if !utf8.ValidString(e) {
			return false
		}
	}
	return true
}
