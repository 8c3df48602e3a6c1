package sillmeter

import (
	"context"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// A process closes a window once it has written all of its counts of it. A window that all
// processes have closed is reported at once. The others are reported after SettleTime. An
// outage of the table that begins between the two would delay a report beyond its due time.

// closedTable holds a row for each process with the newest window that it closed. Builds
// that don't know the table neither write nor read it.
const closedTable = "usage-closed"

// closeDelay is the time from the end of a window until a process closes it. Requests that
// were sent before the end are nearly all answered, and so counted, within that time.
const closeDelay = time.Second

// closedPrefix is the key prefix of the rows of closedTable.
const closedPrefix = closedTable + "/"

// lastClosable returns the newest window that may be closed at a time.
func lastClosable(now time.Time, length time.Duration) Window {
	return windowOf(now.Add(-closeDelay), length) - 1
}

// closeWindow returns a row that closes the newest window that may be closed.
func (m *Meter) closeWindow(now time.Time) (silltable.Write, Window, error) {
	w := lastClosable(now, m.cfg.WindowLength)
	b, err := cbor.Marshal(w)
	return silltable.Write{Key: closedPrefix + m.cfg.RunID, Value: b}, w, eris.Wrap(err, "sillmeter.closeWindow")
}

// untilNextWrite returns the time until the next write: writeInterval at most, or less if a
// window can be closed before.
func (m *Meter) untilNextWrite(now time.Time) time.Duration {
	length := m.cfg.WindowLength
	closable := endOf(lastClosable(now, length)+1, length).Add(closeDelay)
	return min(writeInterval, closable.Sub(now))
}

// isClosed returns whether all processes that may have counts of a window have closed it:
// those that run, and those that wrote counts of it or of the window before.
func (r *Reporter) isClosed(ctx context.Context, w Window) (bool, error) {
	if r.cfg.LiveRuns == nil {
		return false, nil
	}
	live, ok := r.cfg.LiveRuns()
	if !ok {
		return false, nil
	}
	closed, err := r.closedRuns(ctx, w)
	if err != nil || !containsAll(closed, live) {
		return false, err
	}
	for _, counted := range [...]Window{w - 1, w} {
		runs, err := r.countedRuns(ctx, counted)
		if err != nil || !containsAll(closed, runs) {
			return false, err
		}
	}
	return true, nil
}

// closedRuns returns the processes that closed a window or a later one.
func (r *Reporter) closedRuns(ctx context.Context, w Window) (map[string]bool, error) {
	rows, err := r.cfg.Table.ListAll(ctx, closedPrefix)
	if err != nil {
		return nil, err
	}
	runs := make(map[string]bool, len(rows))
	for _, row := range rows {
		var closed Window
		if err := cbor.Unmarshal(row.Value, &closed); err != nil {
			return nil, eris.Wrapf(err, "sillmeter.closedRuns: row %s", row.Key)
		}
		if closed >= w {
			runs[strings.TrimPrefix(row.Key, closedPrefix)] = true
		}
	}
	return runs, nil
}

// countedRuns returns the processes that wrote counts of a window.
func (r *Reporter) countedRuns(ctx context.Context, w Window) ([]string, error) {
	rows, err := r.cfg.Table.ListAll(ctx, countKey(w))
	if err != nil {
		return nil, err
	}
	runs := make([]string, 0, len(rows))
	for _, row := range rows {
		runs = append(runs, strings.TrimPrefix(row.Key, countKey(w)))
	}
	return runs, nil
}

// containsAll returns whether a set holds all of the wanted runs.
func containsAll(known map[string]bool, wanted []string) bool {
	for _, run := range wanted {
		if !known[run] {
			return false
		}
	}
	return true
}
