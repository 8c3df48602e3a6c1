// Package sillmeter counts the requests that targets started, by organisation and
// window, and reports each window once.
//
// Each process writes its counts of a window to the platform's table. Some time
// after the window's end the reporter adds them up, stores the sum in a row that
// never changes, and sends that sum: a report that is repeated after a lost
// response, or by the next reporter, has the same figures.
package sillmeter

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Names of the usage tables. The row keys of a window start with its number.
const (
	countTable  = "usage-count"
	reportTable = "usage-report"
)

const (
	// writeInterval is the time between two writes of changed counts.
	writeInterval = time.Second
	// retainedWindows is the number of past windows that are kept in memory for late
	// counts.
	retainedWindows = 8
	// callTimeout is the time limit of the table calls of one write or report.
	callTimeout = 1500 * time.Millisecond
	// lastRetryDelay is the time until the last write of a process is retried.
	lastRetryDelay = 100 * time.Millisecond
)

// Window is the number of a window since the Unix epoch.
type Window int64

// Counts holds the number of started requests of each organisation.
type Counts map[sillid.OrganisationID]int64

// Add adds the counts of o to c.
func (c Counts) Add(o Counts) {
	for id, n := range o {
		c[id] += n
	}
}

// MeterConfig holds the dependencies of a Meter.
type MeterConfig struct {
	// Commit writes rows that no other process writes.
	Commit func(ctx context.Context, writes []silltable.Write) error
	// WindowLength is the length of a window.
	WindowLength time.Duration
	// RunID identifies this run of the process. It is unique among all runs.
	RunID string
	Log   *zap.Logger
}

// Meter counts the requests that were started through this process. It is safe for
// concurrent use.
type Meter struct {
	cfg MeterConfig

	mu     sync.Mutex
	counts map[Window]Counts
	// dirty holds the windows whose counts changed since they were last written.
	dirty map[Window]bool
	// closed is the newest window that this process closed. Run alone uses it.
	closed Window
}

// NewMeter returns a meter without counts.
func NewMeter(cfg MeterConfig) *Meter {
	cfg.Log = cfg.Log.Named("usage")
	return &Meter{cfg: cfg, counts: make(map[Window]Counts), dirty: make(map[Window]bool)}
}

// windowOf returns the window that contains a time.
func windowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// endOf returns the end of a window.
func endOf(w Window, length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// RecordStarted counts one request. Requests without an organisation are not counted.
func (m *Meter) RecordStarted(organisation sillid.OrganisationID, at time.Time) {
	if organisation == "" {
		return
	}
	w := windowOf(at, m.cfg.WindowLength)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.counts[w] == nil {
		m.counts[w] = make(Counts)
	}
	m.counts[w][organisation]++
	m.dirty[w] = true
}

// Run writes changed counts periodically until ctx ends, and then once more, for which it
// takes callTimeout at most.
func (m *Meter) Run(ctx context.Context) {
	timer := time.NewTimer(m.untilNextWrite(time.Now()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			m.writeLast(context.WithoutCancel(ctx))
			return
		case now := <-timer.C:
			m.write(ctx, now)
			m.evictWindows(now)
			timer.Reset(m.untilNextWrite(time.Now()))
		}
	}
}

// writeLast stores the changed counts. It tries again if the table refuses them.
func (m *Meter) writeLast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for !m.write(ctx, time.Now()) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lastRetryDelay):
		}
	}
}

// write stores the changed counts, and closes the window that may be closed. It returns
// false if that must be tried again.
func (m *Meter) write(ctx context.Context, now time.Time) bool {
	writes, windows, err := m.takeDirty()
	if err != nil {
		m.cfg.Log.Error("Counts can't be encoded.", silllog.Err(err))
		return true
	}
	closing, w, err := m.closeWindow(now)
	if err != nil {
		m.cfg.Log.Error("End of a window can't be encoded.", silllog.Err(err))
		return true
	}
	if w > m.closed {
		// All rows are written or none, so a closed window has its counts.
		writes = append(writes, closing)
	}
	if len(writes) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := m.cfg.Commit(ctx, writes); err != nil {
		m.cfg.Log.Warn("Counts not written.", zap.Int("windows", len(windows)), silllog.Err(err))
		m.markDirty(windows)
		return false
	}
	m.closed = max(m.closed, w)
	return true
}

// takeDirty returns the rows with the counts of the dirty windows, with these windows,
// and marks them as clean.
func (m *Meter) takeDirty() ([]silltable.Write, []Window, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var writes []silltable.Write
	var windows []Window
	for w := range m.dirty {
		b, err := cbor.Marshal(m.counts[w])
		if err != nil {
			return nil, nil, eris.Wrap(err, "sillmeter.takeDirty")
		}
		writes = append(writes, silltable.Write{Key: countKey(w) + m.cfg.RunID, Value: b})
		windows = append(windows, w)
	}
	clear(m.dirty)
	return writes, windows, nil
}

// markDirty marks windows to be written again after a failed write.
func (m *Meter) markDirty(windows []Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range windows {
		m.dirty[w] = true
	}
}

// evictWindows removes the windows that are older than retainedWindows.
func (m *Meter) evictWindows(now time.Time) {
	oldest := windowOf(now, m.cfg.WindowLength) - retainedWindows
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.counts {
		if w < oldest {
			delete(m.counts, w)
			delete(m.dirty, w)
		}
	}
}

// countKey returns the key prefix of a window's counts.
func countKey(w Window) string { return fmt.Sprintf("%s/%012d.", countTable, w) }

func reportKey(w Window) string { return fmt.Sprintf("%s/%012d", reportTable, w) }

// ReporterConfig holds the dependencies of a Reporter.
type ReporterConfig struct {
	Table *silltable.Store
	// WindowLength is the length of a window.
	WindowLength time.Duration
	// SettleTime is the time from the end of a window until its counts are added up, unless
	// all processes closed the window before.
	SettleTime time.Duration
	// LiveRuns returns the processes that run, and false if they are not known for certain;
	// a nil LiveRuns knows none.
	LiveRuns func() ([]string, bool)
	// MaxDelay is the time after the end of a window beyond which it is no longer reported.
	MaxDelay time.Duration
	// Send sends one report. It returns nil only if the report was accepted.
	Send func(ctx context.Context, w Window, counts Counts) error
	Log  *zap.Logger
}

// Reporter reports past windows. Only one process at a time may run it.
type Reporter struct {
	cfg      ReporterConfig
	reported map[Window]bool
}

// NewReporter returns a reporter. Run starts it.
func NewReporter(cfg ReporterConfig) *Reporter {
	cfg.Log = cfg.Log.Named("usage")
	return &Reporter{cfg: cfg, reported: make(map[Window]bool)}
}

// reportInterval is the time between two checks for windows to report.
const reportInterval = 250 * time.Millisecond

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.reportDue(ctx, time.Now())
	sillgroup.Every(ctx, reportInterval, func(now time.Time) { r.reportDue(ctx, now) })
}

// reportDue reports the windows that are settled and that are not older than MaxDelay. It
// stops at the first failure; the next check tries again.
func (r *Reporter) reportDue(ctx context.Context, now time.Time) {
	first := windowOf(now.Add(-r.cfg.MaxDelay), r.cfg.WindowLength)
	for w := first; ctx.Err() == nil && w <= lastClosable(now, r.cfg.WindowLength); w++ {
		if r.reported[w] {
			continue
		}
		if !r.isSettled(ctx, now, w) {
			return
		}
		if err := r.report(ctx, w); err != nil {
			r.cfg.Log.Warn("Window not reported.", zap.Int64("window", int64(w)), silllog.Err(err))
			return
		}
		r.reported[w] = true
		delete(r.reported, w-4*retainedWindows)
	}
}

// isSettled returns whether the counts of a window can be added up.
func (r *Reporter) isSettled(ctx context.Context, now time.Time, w Window) bool {
	if !endOf(w, r.cfg.WindowLength).Add(r.cfg.SettleTime).After(now) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	closed, err := r.isClosed(ctx, w)
	if err != nil {
		r.cfg.Log.Warn("Not known whether a window is closed; waiting for it to settle.", zap.Int64("window", int64(w)), silllog.Err(err))
	}
	return closed
}

// report freezes the counts of a window and sends them.
func (r *Reporter) report(ctx context.Context, w Window) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	counts, err := r.freeze(callCtx, w)
	if err != nil {
		return err
	}
	if err := r.cfg.Send(ctx, w, counts); err != nil {
		return err
	}
	r.cfg.Log.Info("Window reported.", zap.Int64("window", int64(w)), zap.Int("organisations", len(counts)))
	return nil
}

// freeze returns the counts of a window. The first call stores their sum, and every
// later call, also by another process, returns the stored sum.
func (r *Reporter) freeze(ctx context.Context, w Window) (Counts, error) {
	row, err := r.cfg.Table.GetOrAbsent(ctx, reportKey(w))
	if err != nil {
		return nil, err
	}
	if row.Revision != silltable.Absent {
		return decodeCounts(row.Value)
	}
	counts, err := r.sum(ctx, w)
	if err != nil {
		return nil, err
	}
	b, err := cbor.Marshal(counts)
	if err != nil {
		return nil, eris.Wrap(err, "sillmeter.freeze")
	}
	_, err = r.cfg.Table.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: row.Key, Revision: silltable.Absent}},
		Writes: []silltable.Write{{Key: row.Key, Value: b}},
	})
	if errors.Is(err, silltable.ErrConflict) {
		return r.freeze(ctx, w)
	}
	return counts, err
}

func (r *Reporter) sum(ctx context.Context, w Window) (Counts, error) {
	rows, err := r.cfg.Table.ListAll(ctx, countKey(w))
	if err != nil {
		return nil, err
	}
	sum := make(Counts)
	for _, row := range rows {
		counts, err := decodeCounts(row.Value)
		if err != nil {
			return nil, err
		}
		sum.Add(counts)
	}
	return sum, nil
}

func decodeCounts(b []byte) (Counts, error) {
	counts := make(Counts)
	err := cbor.Unmarshal(b, &counts)
	return counts, eris.Wrap(err, "sillmeter.decodeCounts")
}
