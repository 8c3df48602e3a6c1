package silljob

import (
	"math"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// encoding encodes equal values to equal bytes; the order of a map's keys does not matter.
var encoding = mustEncMode()

// decoding decodes all that encoding writes: the number of elements is bounded by the bytes of
// the rows alone, whose writers bound those. It decodes each element of a list for itself, also
// one with a text that is not UTF-8: earlier builds took such texts from targets.
var decoding = mustDecMode()

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid, MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// elementList is an encoded list of elements at consecutive positions.
type elementList struct {
	// first is the position of the first element.
	first int
	// data is the list, and possibly parts of a longer one that it replaced.
	data []byte
}

// listSplitter packs elements into lists that fit into a row each, but for lists of one
// element that is larger.
type listSplitter struct {
	first    int
	elements []cbor.RawMessage
	size     int
}

// elementOverheadBytes is the size allowed for the head of a list.
const elementOverheadBytes = 16

// add adds an element at the next position. It returns the list before it if the element
// does not fit into that.
func (s *listSplitter) add(element any) (full *elementList, err error) {
	b, err := encoding.Marshal(element)
	if err != nil {
		return nil, eris.Wrap(err, "silljob.listSplitter.add")
	}
	if len(s.elements) > 0 && s.size+len(b)+elementOverheadBytes > maxRowBytes {
		if full, err = s.flush(); err != nil {
			return nil, err
		}
	}
	s.elements = append(s.elements, b)
	s.size += len(b)
	return full, nil
}

// flush returns the list that is not full yet; nil if it is empty.
func (s *listSplitter) flush() (*elementList, error) {
	if len(s.elements) == 0 {
		return nil, nil
	}
	b, err := encoding.Marshal(s.elements)
	if err != nil {
		return nil, eris.Wrap(err, "silljob.listSplitter.flush")
	}
	l := &elementList{first: s.first, data: b}
	s.first += len(s.elements)
	s.elements, s.size = nil, 0
	return l, nil
}

// splitLists encodes elements from position first on as lists for a row each.
func splitLists[T any](first int, elements []T) ([]elementList, error) {
	s := listSplitter{first: first}
	var lists []elementList
	for i := range elements {
		full, err := s.add(&elements[i])
		if err != nil {
			return nil, err
		}
		if full != nil {
			lists = append(lists, *full)
		}
	}
	last, err := s.flush()
	if last != nil {
		lists = append(lists, *last)
	}
	return lists, err
}

// rows returns the rows of a list, whose parts must be written in one transaction. Prefix is
// put before their keys.
func (l *elementList) rows(table string, job ID, prefix string) []silltable.Write {
	var writes []silltable.Write
	b := l.data
	for part := 0; part == 0 || len(b) > 0; part++ {
		n := min(len(b), maxRowBytes)
		writes = append(writes, silltable.Write{Key: rowKey(table, job, prefix+chunkKey(l.first, part)), Value: b[:n]})
		b = b[n:]
	}
	return writes
}

// listJoiner joins rows, in the order of their keys, to lists.
type listJoiner struct {
	list *elementList
}

// add adds a row. It returns the list before it once the row begins another one.
func (j *listJoiner) add(row silltable.Row) (complete *elementList, err error) {
	first, err := chunkPosition(row.Key)
	if err != nil {
		return nil, eris.Wrapf(err, "silljob.listJoiner: key %q", row.Key)
	}
	if j.list == nil || j.list.first != first {
		complete = j.end()
		j.list = &elementList{first: first}
	}
	j.list.data = append(j.list.data, row.Value...)
	return complete, nil
}

// end returns the list that the rows so far end with; nil if there is none.
func (j *listJoiner) end() *elementList {
	l := j.list
	j.list = nil
	return l
}

// joinLists joins all rows of a table's partition to lists. Rows with other keys are errors.
func joinLists(rows []silltable.Row) ([]elementList, error) {
	var joiner listJoiner
	var lists []elementList
	for _, row := range rows {
		l, err := joiner.add(row)
		if err != nil {
			return nil, err
		}
		if l != nil {
			lists = append(lists, *l)
		}
	}
	if l := joiner.end(); l != nil {
		lists = append(lists, *l)
	}
	return lists, nil
}

// decodeList decodes the elements of a list. Elements that can't be decoded are nil; their
// errors are in failures by position. It returns an error if the list itself can't be.
func decodeList[T any](l *elementList) (elements []*T, failures map[int]error, err error) {
	var raw []cbor.RawMessage
	if _, err := decoding.UnmarshalFirst(l.data, &raw); err != nil {
		return nil, nil, eris.Wrapf(err, "silljob.decodeList: position %d", l.first)
	}
	failures = make(map[int]error)
	for i, b := range raw {
		element := new(T)
		if err := decoding.Unmarshal(b, element); err != nil {
			failures[l.first+i] = eris.Wrapf(err, "silljob.decodeList: position %d", l.first+i)
			element = nil
		}
		elements = append(elements, element)
	}
	return elements, failures, nil
}

// chunkPosition returns the position in a key of chunkKey.
func chunkPosition(key string) (int, error) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	if _, rest, ok := strings.Cut(name, contentSeparator); ok {
		name = rest
	}
	first, _, _ := strings.Cut(name, ".")
	return strconv.Atoi(first)
}
