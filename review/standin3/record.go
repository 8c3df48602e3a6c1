package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	must(err)
	return &record{began: time.Now(), file: file}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.file, format+"\n", args...)
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
		os.Exit(exitNotRun)
	}
}
