package silljob

import (
	"fmt"
	"net/url"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// The tables of jobs. They are partitioned by job; the name of a partition is the
// escaped id of the job.
const (
	// StateTable holds the state row of each job. Every gateway watches it.
	StateTable = "job-state"
	// ContentTable holds the submission and its items.
	ContentTable = "job-content"
	// ResultTable holds the published results by position.
	ResultTable = "job-results"
	// ProgressTable holds generations in progress.
	ProgressTable = "job-progress"
)

// Tables returns the partitioned tables of jobs.
func Tables() []string {
	return []string{StateTable, ContentTable, ResultTable, ProgressTable}
}

// Keys of a job's rows within its partition.
const (
	stateKey = "state"
	headKey  = "head"
)

// Bounds of rows and transactions. They are below the limits of the table service
// to leave room for names and encoding.
const (
	// maxRowBytes bounds the value of a row.
	maxRowBytes = 44 << 10
	// maxTxnBytes bounds the values of a transaction. Encoded for the transport they
	// are a third larger.
	maxTxnBytes = 640 << 10
	// maxTxnRows bounds the rows of a transaction.
	maxTxnRows = 90
)

func partition(job ID) string { return url.PathEscape(string(job)) }

// JobOf returns the job that the row with the given key belongs to, and false if the
// key is not one of a job's rows.
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

// chunkKey returns the key of one part of a list: the position of the list's first
// element and the number of the part.
func chunkKey(first, part int) string { return fmt.Sprintf("%08d.%03d", first, part) }

func encodeState(job ID, s *State) (silltable.Write, error) {
	b, err := encoding.Marshal(s)
	return silltable.Write{Key: rowKey(StateTable, job, stateKey), Value: b}, eris.Wrap(err, "silljob.encodeState")
}

func decodeState(row silltable.Row) (State, error) {
	var s State
	if err := decoding.Unmarshal(row.Value, &s); err != nil {
		return s, eris.Wrap(undecodable(err), "silljob.decodeState")
	}
	return s, nil
}

func sizeOf(writes []silltable.Write) int {
	n := 0
	for _, w := range writes {
		n += len(w.Key) + len(w.Value)
	}
	return n
}
