package silllog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// Queue writes lines in the background, so that a reader of the log who stops
// reading stops nothing else. Lines that find the queue full are dropped.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	group   *sillgroup.Group
	closing sync.Once
}

func newQueue(out io.Writer, size int) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, size), group: sillgroup.New(context.Background())}
	q.group.Go(q.run)
	return q
}

// Write queues a copy of a line. It never fails and never waits.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- bytes.Clone(line):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: lines are written as fast as they are read.
func (q *Queue) Sync() error { return nil }

// Dropped returns the number of lines that were dropped.
func (q *Queue) Dropped() int64 { return q.dropped.Load() }

// run writes lines, several at once if they wait.
func (q *Queue) run(ctx context.Context) {
	for {
		select {
		case line := <-q.lines:
			q.write(line)
		case <-ctx.Done():
			q.flush()
			return
		}
	}
}

// maxWrite bounds the bytes that are written at once.
const maxWrite = 32 << 10

func (q *Queue) write(line []byte) {
	b := line
	for len(b) < maxWrite {
		select {
		case next := <-q.lines:
			b = append(b, next...)
			continue
		default:
		}
		break
	}
	// Nobody is left to be told of a log that can't be written.
	_, _ = q.out.Write(b)
}

func (q *Queue) flush() {
	for len(q.lines) > 0 {
		q.write(<-q.lines)
	}
	if n := q.Dropped(); n > 0 {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"warn\",\"message\":\"Dropped lines of the log.\",\"lines\":%d}\n", n)
	}
}

// Close writes the lines that wait and ends the queue.
func (q *Queue) Close() {
	q.closing.Do(q.group.Stop)
}
