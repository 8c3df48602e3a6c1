package silllog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// Queue writes lines in the background, so that a reader of the log that stops reading
// does not block the process. Lines are dropped while the queue is full.
type Queue struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	group   *sillgroup.Group
	closing sync.Once

	// mu guards leftOut: lines beyond the bound of their message since the last
	// summary, and total, those of the whole life.
	mu      sync.Mutex
	leftOut map[string]int64
	total   int64
}

// summaryEvery is the time between two lines with the numbers of lines left out.
const summaryEvery = 10 * time.Second

func newQueue(out io.Writer, size int) *Queue {
	q := &Queue{out: out, lines: make(chan []byte, size), group: sillgroup.New(context.Background()), leftOut: make(map[string]int64)}
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

// leaveOut counts a line that is not written because there are many like it.
func (q *Queue) leaveOut(message string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leftOut[message]++
	q.total++
}

// LeftOut returns the number of lines beyond the bounds of their messages.
func (q *Queue) LeftOut() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total
}

// run writes lines, several at once if they wait.
func (q *Queue) run(ctx context.Context) {
	summary := time.NewTicker(summaryEvery)
	defer summary.Stop()
	for {
		select {
		case <-summary.C:
			q.summarize()
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
	// There is no other place to report that the log can't be written.
	_, _ = q.out.Write(b)
}

func (q *Queue) flush() {
	for len(q.lines) > 0 {
		q.write(<-q.lines)
	}
	q.summarize()
	if n := q.Dropped(); n > 0 {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"warn\",\"message\":\"Dropped lines of the log.\",\"lines\":%d}\n", n)
	}
}

// summarize writes how many lines of each message were left out.
func (q *Queue) summarize() {
	q.mu.Lock()
	counts := q.leftOut
	q.leftOut = make(map[string]int64)
	q.mu.Unlock()
	for _, message := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(q.out, "{\"level\":\"info\",\"message\":\"Left lines out.\",\"alike\":%q,\"lines\":%d}\n", message, counts[message])
	}
}

// Close writes the lines that wait and ends the queue.
func (q *Queue) Close() {
	q.closing.Do(q.group.Stop)
}
