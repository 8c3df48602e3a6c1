package sillmeter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

const length = 5 * time.Second

// commitTo returns a function that commits writes to a table.
func commitTo(table *sillmemtable.Table) func(context.Context, []silltable.Write) error {
	return func(ctx context.Context, writes []silltable.Write) error {
		_, err := table.Store().Commit(ctx, silltable.Txn{Writes: writes})
		return err
	}
}

func newTestMeter(table *sillmemtable.Table, run string) *Meter {
	return NewMeter(MeterConfig{Commit: commitTo(table), WindowLength: length, RunID: run, Log: zap.NewNop()})
}

// fakeReceiver records the reports that it receives.
type fakeReceiver struct {
	sent []string
	err  error
}

func (s *fakeReceiver) send(_ context.Context, w Window, counts Counts) error {
	s.sent = append(s.sent, fmt.Sprint(w, counts))
	return s.err
}

func newTestReporter(table *sillmemtable.Table, s *fakeReceiver) *Reporter {
	return NewReporter(ReporterConfig{
		Table: table.Store(), WindowLength: length, SettleTime: 4 * time.Second, MaxDelay: 10 * time.Second, Send: s.send, Log: zap.NewNop(),
	})
}

func TestWindowsOfAllProcessesAddUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &sillmemtable.Table{}
		group := sillgroup.New(t.Context())
		meters := []*Meter{newTestMeter(table, "a"), newTestMeter(table, "b")}
		for _, m := range meters {
			group.Go(m.Run)
		}
		started := time.Now()
		first := windowOf(started, length)
		at := endOf(first, length)
		for i, m := range meters {
			m.RecordStarted("one", at.Add(time.Second))
			m.RecordStarted("one", at.Add(2*time.Second))
			m.RecordStarted("two", at.Add(time.Second))
			m.RecordStarted("", at.Add(time.Second))
			if i == 0 {
				m.RecordStarted("one", at.Add(length))
			}
		}
		time.Sleep(2 * time.Second)
		group.Stop()
		s := &fakeReceiver{}
		newTestReporter(table, s).reportDue(t.Context(), at.Add(length+4*time.Second))
		want := fmt.Sprint(first+1, Counts{"one": 4, "two": 2})
		if len(s.sent) == 0 || s.sent[len(s.sent)-1] != want {
			t.Errorf("reports %v, want the last to be %s", s.sent, want)
		}
	})
}

func TestWindowsSettle(t *testing.T) {
	table := &sillmemtable.Table{}
	s := &fakeReceiver{}
	r := newTestReporter(table, s)
	end := endOf(100, length)
	r.reportDue(t.Context(), end.Add(4*time.Second-time.Millisecond))
	before := len(s.sent)
	r.reportDue(t.Context(), end.Add(4*time.Second))
	if len(s.sent) != before+1 {
		t.Errorf("%d reports before the window settled and %d after", before, len(s.sent))
	}
	r.reportDue(t.Context(), end.Add(4*time.Second))
	if len(s.sent) != before+1 {
		t.Error("a window is reported twice by one reporter")
	}
}

// TestRepeatsAreExact loses the response to a report. Counts change before another
// process repeats the report, which must have the same figures.
func TestRepeatsAreExact(t *testing.T) {
	table := &sillmemtable.Table{}
	m := newTestMeter(table, "a")
	m.RecordStarted("one", endOf(99, length))
	m.write(t.Context(), time.Now())
	now := endOf(100, length).Add(4 * time.Second)
	first := &fakeReceiver{err: errors.New("no response")}
	if err := newTestReporter(table, first).report(t.Context(), 100); err == nil {
		t.Error("a report without a response counts as accepted")
	}
	m.RecordStarted("one", endOf(99, length))
	m.write(t.Context(), time.Now())
	second := &fakeReceiver{}
	newTestReporter(table, second).reportDue(t.Context(), now)
	if len(first.sent) != 1 || second.sent[len(second.sent)-1] != first.sent[0] {
		t.Errorf("reports %v and %v", first.sent, second.sent)
	}
}

// TestRacingReporters has another process freeze the window while a reporter adds it
// up: both must report the figures that were stored first.
func TestRacingReporters(t *testing.T) {
	table := &sillmemtable.Table{}
	var once atomic.Bool
	other := &fakeReceiver{}
	m := newTestMeter(table, "a")
	table.Fault = func(ctx context.Context, call string) error {
		if call != "list" || once.Swap(true) {
			return nil
		}
		err := newTestReporter(table, other).report(ctx, 100)
		m.RecordStarted("one", endOf(99, length))
		m.write(ctx, time.Now())
		return err
	}
	m.RecordStarted("one", endOf(99, length))
	m.write(t.Context(), time.Now())
	mine := &fakeReceiver{}
	if err := newTestReporter(table, mine).report(t.Context(), 100); err != nil {
		t.Fatal(err)
	}
	if mine.sent[0] != other.sent[0] {
		t.Errorf("reports %v and %v", mine.sent, other.sent)
	}
}

func TestFailedWritesAreRetried(t *testing.T) {
	table := &sillmemtable.Table{}
	var unavailable atomic.Bool
	table.Fault = func(context.Context, string) error {
		if unavailable.Load() {
			return silltable.ErrUnavailable
		}
		return nil
	}
	m := newTestMeter(table, "a")
	unavailable.Store(true)
	m.RecordStarted("one", endOf(99, length))
	m.write(t.Context(), time.Now())
	unavailable.Store(false)
	m.write(t.Context(), time.Now())
	s := &fakeReceiver{}
	if err := newTestReporter(table, s).report(t.Context(), 100); err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprint(Window(100), Counts{"one": 1}); s.sent[0] != want {
		t.Errorf("report %s, want %s", s.sent[0], want)
	}
}

// TestStopOutlastsRefusedWrites guards against the loss of a process's last counts when the
// table refuses a write at its stop.
func TestStopOutlastsRefusedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusals := 3
		table := &sillmemtable.Table{Fault: func(_ context.Context, call string) error {
			if call == "commit" && refusals > 0 {
				refusals--
				return silltable.ErrUnavailable
			}
			return nil
		}}
		m := newTestMeter(table, "a")
		group := sillgroup.New(t.Context())
		group.Go(m.Run)
		w := windowOf(time.Now(), length)
		m.RecordStarted("org", endOf(w, length).Add(-time.Second))
		group.Stop()
		rows, err := table.Store().ListAll(t.Context(), countKey(w))
		if err != nil || len(rows) != 1 {
			t.Errorf("%d rows with counts, %v, want 1", len(rows), err)
		}
	})
}

// TestStopGivesWritesUp guards against a stop that waits for a table which stays away.
func TestStopGivesWritesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &sillmemtable.Table{Fault: func(context.Context, string) error { return silltable.ErrUnavailable }}
		m := newTestMeter(table, "a")
		group := sillgroup.New(t.Context())
		group.Go(m.Run)
		m.RecordStarted("org", time.Now())
		stopped := time.Now()
		group.Stop()
		if waited := time.Since(stopped); waited > callTimeout {
			t.Errorf("the stop waited for %v, want %v at most", waited, callTimeout)
		}
	})
}
