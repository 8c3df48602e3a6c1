package silljob

import (
	"bytes"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// The tables of jobs. They are partitioned by job; the partition's name is the
// escaped id of the job.
const (
	// StateTable holds the state row of each job, which every process follows.
	StateTable = "job-state"
	// ContentTable holds the submission and its items.
	ContentTable = "job-content"
	// ResultTable holds the results by their positions.
	ResultTable = "job-results"
	// ProgressTable holds texts that are not whole yet.
	ProgressTable = "job-progress"
)

// Tables returns the partitioned tables of jobs.
func Tables() []string {
	return []string{StateTable, ContentTable, ResultTable, ProgressTable}
}

// The rows of a job.
const (
	stateKey = "state"
	headKey  = "head"
)

// Bounds of the table service's transactions, with room for names and encoding.
const (
	// maxRowBytes bounds the value of a row.
	maxRowBytes = 44 << 10
	// maxTxnBytes bounds the values of a transaction, which grow by a third on their way.
	maxTxnBytes = 640 << 10
	// maxTxnRows bounds the rows of a transaction.
	maxTxnRows = 90
)

func partition(job ID) string { return url.PathEscape(string(job)) }

// JobOf returns the job that a row of the table belongs to.
func JobOf(key string) (ID, bool) {
	parts := strings.SplitN(key, "/", 3)
	if len(parts) < 3 {
		return "", false
	}
	id, err := url.PathUnescape(parts[1])
	return ID(id), err == nil
}

func rowKey(table string, job ID, key string) string {
	return table + "/" + partition(job) + "/" + key
}

// chunkKey names a part of a list: its first position and the number of the part.
func chunkKey(first, part int) string { return fmt.Sprintf("%08d.%03d", first, part) }

func chunkPosition(key string) (int, error) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	first, _, _ := strings.Cut(name, ".")
	return strconv.Atoi(first)
}

// encodeList returns the rows of a list that begins at a position. A list that
// is too long for one row is cut into parts, which are written in one transaction.
func encodeList(table string, job ID, first int, list any) ([]silltable.Write, error) {
	b, err := cbor.Marshal(list)
	if err != nil {
		return nil, eris.Wrap(err, "silljob.encodeList")
	}
	var writes []silltable.Write
	for part := 0; part == 0 || len(b) > 0; part++ {
		n := min(len(b), maxRowBytes)
		writes = append(writes, silltable.Write{Key: rowKey(table, job, chunkKey(first, part)), Value: b[:n]})
		b = b[n:]
	}
	return writes, nil
}

// decodeLists reads lists from their rows, in the order of their keys. A list
// whose last parts are missing is left out.
func decodeLists[T any](rows []silltable.Row) ([]T, error) {
	var all []T
	for len(rows) > 0 {
		first, err := chunkPosition(rows[0].Key)
		if err != nil {
			return nil, eris.Wrapf(err, "silljob.decodeLists: key %q", rows[0].Key)
		}
		var b bytes.Buffer
		n := 0
		for n < len(rows) && samePosition(rows[n].Key, first) {
			b.Write(rows[n].Value)
			n++
		}
		var list []T
		// A shorter list that replaced a longer one leaves parts of the old one behind.
		if _, err := cbor.UnmarshalFirst(b.Bytes(), &list); err != nil {
			return nil, eris.Wrapf(err, "silljob.decodeLists: position %d", first)
		}
		all = append(all, list...)
		rows = rows[n:]
	}
	return all, nil
}

func samePosition(key string, first int) bool {
	other, err := chunkPosition(key)
	return err == nil && other == first
}

func encodeState(job ID, s *State) (silltable.Write, error) {
	b, err := cbor.Marshal(s)
	return silltable.Write{Key: rowKey(StateTable, job, stateKey), Value: b}, eris.Wrap(err, "silljob.encodeState")
}

func decodeState(row silltable.Row) (State, error) {
	var s State
	err := cbor.Unmarshal(row.Value, &s)
	return s, eris.Wrap(err, "silljob.decodeState")
}

func sizeOf(writes []silltable.Write) int {
	n := 0
	for _, w := range writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}
