package silljob

import (
	"context"
	"hash/crc32"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The content of a job is written in several transactions, by whoever accepts the job. Each
// attempt to accept it has an id of its own, which begins the keys of all its rows, so that
// attempts do not meet, however late a write takes effect. The state row names the attempt
// that was accepted. Its rows are lists of items, one list a row where the items allow it, and
// an index, which is written with the state row.
//
// Earlier builds wrote one list for all items, and the head, to keys without an id.

// ContentID identifies an attempt to accept a job. It is empty in jobs of earlier builds.
type ContentID string

// contentSeparator separates the id of the content from the rest of a key.
const contentSeparator = "~"

func newContentID() ContentID { return ContentID(sillid.Fresh("content")) }

func (c ContentID) prefix() string {
	if c == "" {
		return ""
	}
	return string(c) + contentSeparator
}

// indexPrefix begins the keys of the index of a content. It comes after all positions.
func (c ContentID) indexPrefix() string { return c.prefix() + "index" + contentSeparator }

// contentIndex is what is needed of a job before its items are read.
type contentIndex struct {
	Submission Submission `cbor:"submission"`
	// Firsts are the positions of the first items of the lists, ascending; Sums are the
	// checksums of the lists.
	Firsts []int    `cbor:"firsts"`
	Sums   []uint32 `cbor:"sums"`
	// Items are the ids of all items.
	Items itemIDs `cbor:"items"`
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, checksumTable) }

func (x *contentIndex) add(l *elementList) {
	x.Firsts = append(x.Firsts, l.first)
	x.Sums = append(x.Sums, checksum(l.data))
}

// rows returns the rows of the index.
func (x *contentIndex) rows(job ID, c ContentID) ([]silltable.Write, error) {
	b, err := encoding.Marshal(x)
	if err != nil {
		return nil, eris.Wrap(err, "silljob.contentIndex.rows")
	}
	l := elementList{data: b}
	return l.rows(ContentTable, job, c.indexPrefix()), nil
}

// list returns the list that holds a position.
func (x *contentIndex) list(position int) int {
	list := 0
	for list+1 < len(x.Firsts) && x.Firsts[list+1] <= position {
		list++
	}
	return list
}

// itemRange returns the range of a list.
func (x *contentIndex) itemRange(job ID, c ContentID, list int) silltable.Range {
	r := silltable.Range{Table: ContentTable, Partition: partition(job), Large: true}
	r.From, r.To = c.prefix()+chunkKey(x.Firsts[list], 0), c.prefix()+chunkKey(x.Firsts[list]+1, 0)
	return r
}

// readRange reads a whole range page by page. It retries nothing.
func (s *Store) readRange(ctx context.Context, r silltable.Range) ([]silltable.Row, error) {
	var rows []silltable.Row
	for {
		page, err := s.Feed.ReadPage(ctx, r)
		if err != nil {
			return nil, err
		}
		rows = append(rows, page.Rows...)
		if page.Next == "" {
			return rows, nil
		}
		r.From = page.Next
	}
}

// readIndex reads the index of a job. It returns ErrNoJob if there is none.
func (s *Store) readIndex(ctx context.Context, job ID, c ContentID) (*contentIndex, error) {
	if c == "" {
		return s.earlierIndex(ctx, job)
	}
	rows, err := s.readRange(ctx, silltable.Range{Table: ContentTable, Partition: partition(job), From: c.indexPrefix(), To: c.indexPrefix() + contentSeparator, Large: true})
	if err != nil {
		return nil, err
	}
	if len(rows) == 0 {
		return nil, ErrNoJob
	}
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	b := make([]byte, 0, size)
	for _, row := range rows {
		b = append(b, row.Value...)
	}
	x := &contentIndex{}
	if err := decoding.Unmarshal(b, x); err != nil {
		return nil, eris.Wrapf(undecodable(err), "silljob.readIndex: job %s", job)
	}
	return x, nil
}

// earlierIndex returns an index of a job that an earlier build accepted. It names no items.
func (s *Store) earlierIndex(ctx context.Context, job ID) (*contentIndex, error) {
	row, err := s.Table.GetOrAbsent(ctx, rowKey(ContentTable, job, headKey))
	if err != nil {
		return nil, err
	}
	if row.Revision == silltable.Absent {
		return nil, ErrNoJob
	}
	x := &contentIndex{}
	if err := decoding.Unmarshal(row.Value, &x.Submission); err != nil {
		return nil, eris.Wrapf(undecodable(err), "silljob.earlierIndex: job %s", job)
	}
	return x, nil
}

// loadedItem is an item as it was read. Item has only its id if the row can't be used, for
// which err tells the reason.
type loadedItem struct {
	item *Item
	err  error
}

// itemPager reads the items of a job in the order of their positions, list by list. It goes on
// after a failed read where it stopped.
type itemPager struct {
	store   *Store
	job     ID
	content ContentID
	index   *contentIndex
	next    silltable.Range
	joiner  listJoiner
	// rows are those of the page that was read last, as far as they are not joined yet. lastPage
	// is whether no page follows.
	rows     []silltable.Row
	lastPage bool
	// list is read and not decoded yet, since items before it are missing.
	list *elementList
	// read is the number of items that were returned.
	read int
	done bool
}

// maxMissing bounds the missing items that are returned at once.
const maxMissing = 1024

func (s *Store) itemPager(job ID, c ContentID, x *contentIndex) *itemPager {
	r := silltable.Range{Table: ContentTable, Partition: partition(job), From: c.prefix(), To: c.indexPrefix(), Large: true}
	if c == "" {
		r.To = ":"
	}
	return &itemPager{store: s, job: job, content: c, index: x, next: r}
}

// page returns the items of the next list, or items that are missing before it. It may return
// none.
func (p *itemPager) page(ctx context.Context) ([]loadedItem, error) {
	if p.list == nil {
		l, err := p.nextList(ctx)
		if err != nil {
			return nil, err
		}
		p.list = l
	}
	end := p.index.Items.len()
	if p.list != nil {
		end = min(end, p.list.first)
	}
	if p.read < end {
		return p.missing(end), nil
	}
	if p.list == nil {
		p.done = true
		return nil, nil
	}
	l := p.list
	p.list = nil
	return p.decode(l), nil
}

// nextList returns the next list; nil after the last one.
func (p *itemPager) nextList(ctx context.Context) (*elementList, error) {
	for {
		for len(p.rows) > 0 {
			row := p.rows[0]
			p.rows = p.rows[1:]
			l, err := p.joiner.add(row)
			if err != nil {
				p.store.countUndecoded(ContentTable, p.job, p.read, err)
			}
			if l != nil {
				return l, nil
			}
		}
		if p.lastPage {
			return p.joiner.end(), nil
		}
		page, err := p.store.Feed.ReadPage(ctx, p.next)
		if err != nil {
			return nil, err
		}
		p.rows, p.lastPage = page.Rows, page.Next == ""
		p.next.From = page.Next
	}
}

// errNotInIndex is the error of items whose rows differ from the index of the job.
var errNotInIndex = eris.New("row differs from the index of the job")

// decode decodes a list and checks it against the index.
func (p *itemPager) decode(l *elementList) []loadedItem {
	list, failures, err := decodeList[Item](l)
	if err == nil && p.content != "" && !p.index.matches(l) {
		err = errNotInIndex
	}
	if err != nil {
		p.store.countUndecoded(ContentTable, p.job, l.first, err)
		return nil
	}
	items := make([]loadedItem, 0, len(list))
	for i, item := range list {
		id := p.index.Items.at(l.first + i)
		switch {
		case item != nil && (p.content == "" || item.ID == id):
			items = append(items, loadedItem{item: item})
		default:
			err := failures[l.first+i]
			if err == nil {
				err = errNotInIndex
			}
			p.store.countUndecoded(ContentTable, p.job, l.first+i, err)
			items = append(items, loadedItem{item: &Item{ID: id}, err: err})
		}
	}
	p.read = l.first + len(list)
	return items
}

// missing returns items before a position that were not read, maxMissing at most.
func (p *itemPager) missing(end int) []loadedItem {
	var items []loadedItem
	for end = min(end, p.read+maxMissing); p.read < end; p.read++ {
		items = append(items, loadedItem{item: &Item{ID: p.index.Items.at(p.read)}, err: errNotInIndex})
	}
	return items
}

// matches returns whether a list is the one that was accepted.
func (x *contentIndex) matches(l *elementList) bool {
	for i, first := range x.Firsts {
		if first == l.first {
			return x.Sums[i] == checksum(l.data)
		}
	}
	return false
}

// Submission reads a job as it was submitted. It returns ErrNoJob if there is none.
func (s *Store) Submission(ctx context.Context, job ID) (*Submission, error) {
	state, err := s.State(ctx, job)
	if err != nil {
		return nil, err
	}
	x, err := s.index(ctx, job, state.Content)
	if err != nil {
		return nil, err
	}
	sub := x.Submission
	for p := s.itemPager(job, state.Content, x); !p.done; {
		items, err := p.page(ctx)
		if err != nil {
			return nil, err
		}
		for _, it := range items {
			sub.Items = append(sub.Items, *it.item)
		}
	}
	return &sub, nil
}

// ItemBody reads the request body of an item, without the other items where the index tells
// its place. It returns ErrNoItem if the job has no such item.
func (s *Store) ItemBody(ctx context.Context, job ID, c ContentID, item ItemID) ([]byte, error) {
	x, err := s.index(ctx, job, c)
	if err != nil {
		return nil, err
	}
	p := s.itemPager(job, c, x)
	if c != "" {
		position, ok := x.Items.position(item)
		if !ok {
			return nil, ErrNoItem
		}
		list := x.list(position)
		p.next, p.read = x.itemRange(job, c, list), x.Firsts[list]
	}
	for !p.done {
		items, err := p.page(ctx)
		if err != nil {
			return nil, err
		}
		for _, it := range items {
			if it.item.ID == item && it.err == nil {
				return it.item.Body, nil
			}
		}
	}
	if c != "" {
		return nil, eris.Wrapf(errNotInIndex, "silljob.ItemBody: job %s, item %s", job, item)
	}
	return nil, ErrNoItem
}
