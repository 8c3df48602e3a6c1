// Package sillmeter counts the requests that targets began, by organisation
// and window, and reports each window once.
//
// Each process writes its counts of a window to the platform's table. The
// reporter adds them up some time after the window's end, freezes the sum in a
// row and sends just that: a repeat after a lost answer, or by the next
// reporter, has the same figures.
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

// The tables of usage. The rows of a window begin with its number.
const (
	countTable  = "usage-count"
	reportTable = "usage-report"
)

const (
	// writeEvery is the time between two writes of counts that changed.
	writeEvery = time.Second
	// keepWindows is how many windows are kept in memory for late counts.
	keepWindows = 8
	// callTimeout bounds a call of the table.
	callTimeout = 1500 * time.Millisecond
)

// Window numbers the windows since 1970.
type Window int64

// Counts holds the requests of each organisation that began.
type Counts map[sillid.OrganisationID]int64

// Add adds other counts.
func (c Counts) Add(o Counts) {
	for id, n := range o {
		c[id] += n
	}
}

// MeterConfig holds what a Meter needs.
type MeterConfig struct {
	Table *silltable.Store
	// WindowLength is the length of a window.
	WindowLength time.Duration
	// RunID names this run of the process; no other one ever has the name.
	RunID string
	Log   *zap.Logger
}

// Meter counts the requests that began at this process. It is safe for
// concurrent use.
type Meter struct {
	cfg MeterConfig

	mu     sync.Mutex
	counts map[Window]Counts
	dirty  map[Window]bool
}

// NewMeter returns a meter without counts.
func NewMeter(cfg MeterConfig) *Meter {
	cfg.Log = cfg.Log.Named("usage")
	return &Meter{cfg: cfg, counts: make(map[Window]Counts), dirty: make(map[Window]bool)}
}

// windowOf returns the window of an instant.
func windowOf(at time.Time, length time.Duration) Window {
	return Window(at.UnixNano() / int64(length))
}

// endOf returns the end of a window.
func endOf(w Window, length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}

// RecordStarted counts one request. Requests of no organisation are not counted.
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

// Run writes counts until ctx ends, and then once more.
func (m *Meter) Run(ctx context.Context) {
	sillgroup.Every(ctx, writeEvery, func(now time.Time) {
		m.write(ctx)
		m.forget(now)
	})
	m.write(context.WithoutCancel(ctx))
}

// write stores the counts that changed.
func (m *Meter) write(ctx context.Context) {
	txn, windows, err := m.changed()
	if err != nil {
		m.cfg.Log.Error("Counts can't be encoded.", silllog.Err(err))
		return
	}
	if len(windows) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := m.cfg.Table.Commit(ctx, txn); err != nil {
		m.cfg.Log.Warn("Counts not written.", zap.Int("windows", len(windows)), silllog.Err(err))
		m.again(windows)
	}
}

// changed takes the counts that changed since the last write.
func (m *Meter) changed() (silltable.Txn, []Window, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var txn silltable.Txn
	var windows []Window
	for w := range m.dirty {
		b, err := cbor.Marshal(m.counts[w])
		if err != nil {
			return silltable.Txn{}, nil, eris.Wrap(err, "sillmeter.changed")
		}
		txn.Writes = append(txn.Writes, silltable.Write{Key: countKey(w) + m.cfg.RunID, Value: b})
		windows = append(windows, w)
	}
	clear(m.dirty)
	return txn, windows, nil
}

func (m *Meter) again(windows []Window) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range windows {
		m.dirty[w] = true
	}
}

// forget drops windows that were written and are long over.
func (m *Meter) forget(now time.Time) {
	oldest := windowOf(now, m.cfg.WindowLength) - keepWindows
	m.mu.Lock()
	defer m.mu.Unlock()
	for w := range m.counts {
		if w < oldest {
			delete(m.counts, w)
			delete(m.dirty, w)
		}
	}
}

// countKey returns what the keys of a window's counts begin with.
func countKey(w Window) string { return fmt.Sprintf("%s/%012d.", countTable, w) }

func reportKey(w Window) string { return fmt.Sprintf("%s/%012d", reportTable, w) }

// ReporterConfig holds what a Reporter needs.
type ReporterConfig struct {
	Table *silltable.Store
	// WindowLength is the length of a window.
	WindowLength time.Duration
	// SettleTime is how long after its end a window is added up.
	SettleTime time.Duration
	// MaxDelay is how long after its end a window is still worth a report.
	MaxDelay time.Duration
	// Send sends one report. It returns an error unless the report was taken.
	Send func(ctx context.Context, w Window, counts Counts) error
	Log  *zap.Logger
}

// Reporter reports the windows that are over. One process at a time runs it.
type Reporter struct {
	cfg  ReporterConfig
	sent map[Window]bool
}

// NewReporter returns a reporter that has reported nothing.
func NewReporter(cfg ReporterConfig) *Reporter {
	cfg.Log = cfg.Log.Named("usage")
	return &Reporter{cfg: cfg, sent: make(map[Window]bool)}
}

// reportEvery is the time between two looks for windows to report.
const reportEvery = 500 * time.Millisecond

// Run reports windows until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.reportDue(ctx, time.Now())
	sillgroup.Every(ctx, reportEvery, func(now time.Time) { r.reportDue(ctx, now) })
}

// reportDue reports the windows that are settled and not too old.
func (r *Reporter) reportDue(ctx context.Context, now time.Time) {
	first := windowOf(now.Add(-r.cfg.MaxDelay), r.cfg.WindowLength)
	for w := first; ctx.Err() == nil && !endOf(w, r.cfg.WindowLength).Add(r.cfg.SettleTime).After(now); w++ {
		if r.sent[w] {
			continue
		}
		if err := r.report(ctx, w); err != nil {
			r.cfg.Log.Warn("Window not reported.", zap.Int64("window", int64(w)), silllog.Err(err))
			return
		}
		r.sent[w] = true
		delete(r.sent, w-4*keepWindows)
	}
}

// report freezes a window and sends it.
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

// freeze returns the figures of a window, which never change once they were read here.
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
