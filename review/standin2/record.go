package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// record writes down what is sent, answered and run, and remembers what servers saw.
type record struct {
	started time.Time

	mu  sync.Mutex
	out io.Writer
	// runs holds what servers saw of each request.
	runs map[string]*runs
	// quiet is a prefix of requests that servers run without a line in the record.
	quiet string
}

// runs is what servers saw of one request.
type runs struct {
	count, now int
	// leftAt is when the last server that ran it stopped.
	leftAt   time.Time
	finished bool
}

func newRecord(out io.Writer) *record {
	return &record{started: time.Now(), out: out, runs: make(map[string]*runs)}
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) isQuiet(id string) bool { return r.quiet != "" && strings.Contains(id, r.quiet) }

// began records that a server began to run a request.
func (r *record) began(server, id string, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id] == nil {
		r.runs[id] = &runs{}
	}
	seen := r.runs[id]
	seen.count++
	seen.now++
	if !r.isQuiet(id) {
		r.line("server %s begins %s (run %d, body of %d bytes)", server, id, seen.count, bytes)
	}
}

// left records that a server no longer works on a request.
func (r *record) left(server, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.runs[id]
	seen.now--
	seen.leftAt = time.Now()
	if !r.isQuiet(id) {
		r.line("server %s leaves %s (finished: %v)", server, id, seen.finished)
	}
}

// finished records that a server has sent the last event of a request.
func (r *record) finished(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id].finished = true
}

// of returns what servers saw of a request.
func (r *record) of(id string) runs {
	r.mu.Lock()
	defer r.mu.Unlock()
	if seen := r.runs[id]; seen != nil {
		return *seen
	}
	return runs{}
}
