package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// run is a request that a server began to work on.
type run struct {
	Request, Server, Path, Tenant string
	Last                          int
	// Headers are those that the client set.
	Headers string
}

// record writes what was sent, answered and run. It is safe for concurrent use.
type record struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	runs  []run
	// last is when the last run began.
	last time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{began: time.Now(), file: file}, err
}

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) addRun(a run) {
	r.mu.Lock()
	r.runs, r.last = append(r.runs, a), time.Now()
	r.mu.Unlock()
	r.note("run      %s at %s, path %s, tenant %q, after event %d", a.Request, a.Server, a.Path, a.Tenant, a.Last)
}

// allRuns returns the runs so far.
func (r *record) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// lastRun returns when the last run began.
func (r *record) lastRun() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last
}
