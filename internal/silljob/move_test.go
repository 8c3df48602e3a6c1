package silljob

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// moves plays the migrations of the items of one job at engines of unlike speed, without a network.
type moves struct {
	runner *Runner
	job    *ownedJob
	now    time.Time
	moved  []ItemID
}

// newMoves starts engines of speed 0.6, 1 and 1.6 with 4 slots each, and a job with one item of mean length
// and one of 4 times that length for every three of a fifth.
func newMoves() *moves {
	m := &moves{now: time.Unix(1000, 0)}
	directory := silltarget.NewDirectory()
	for id, unit := range map[sillid.TargetID]time.Duration{"slow": 167, "mean": 100, "fast": 63} {
		directory.Apply(silltarget.Entry{ID: id, Pool: "p", Address: string(id), State: silltarget.Ready, Slots: 4, StartedAt: time.Unix(1, 0)})
		others := silltarget.Excluding(nil, "")
		for _, other := range []sillid.TargetID{"slow", "mean", "fast"} {
			others[other] = other != id
		}
		for range 30 {
			g, _ := directory.Pick(m.now, silltarget.Query{Pool: "p", Exclude: others})
			directory.Observe(m.now, g, &silltarget.Load{Running: 1, Slots: 4, Duration: 100}, unit*time.Millisecond)
			directory.Release(m.now, g, silltarget.Answered)
		}
	}
	m.runner = NewRunner(RunnerConfig{Directory: directory, Catalog: &sillcatalog.Holder{}, Metrics: NewMetrics(nil), Log: zap.NewNop()})
	m.runner.attemptTime = 2 * time.Second
	m.job = newOwnedJob(context.Background(), &Submission{Job: "job", Pool: "p"}, VersionedState{})
	for i, tokens := range []int{100, 400, 20, 20, 20} {
		m.job.addItem(&Item{ID: ItemID(fmt.Sprint("i", i)), Group: "g", ExpectedTokens: tokens})
	}
	m.runner.jobs["job"] = m.job
	return m
}

// run makes an item run at an engine. Its attempt has sent an event.
func (m *moves) run(item int, at sillid.TargetID) {
	it := m.job.items[item]
	it.phase, it.target, it.events = running, at, []string{"event"}
	it.cancelAttempt = func() { m.moved = append(m.moved, it.item.ID) }
}

// TestMovesAreDecidedByWhatTheySave guards against a long item that stays at an engine of speed
// 0.6 beside faster ones with free slots, and against moves of items that are nearly done.
func TestMovesAreDecidedByWhatTheySave(t *testing.T) {
	for _, tc := range []struct {
		name string
		item int
		at   sillid.TargetID
		want []ItemID
	}{
		{"long at a slow engine", 1, "slow", []ItemID{"i1"}},
		{"long at an engine of mean speed", 1, "mean", []ItemID{"i1"}},
		{"long at a fast engine", 1, "fast", nil},
		{"short at a slow engine", 2, "slow", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMoves()
			m.run(tc.item, tc.at)
			m.runner.migrateSlowItems(m.now)
			if !slices.Equal(m.moved, tc.want) {
				t.Errorf("moved items %v, want %v", m.moved, tc.want)
			}
		})
	}
}

// TestMovesCostTheFirstEvent guards against moves that take longer than they save, since first
// events take long.
func TestMovesCostTheFirstEvent(t *testing.T) {
	m := newMoves()
	m.runner.recordFirstEvent(5 * time.Second)
	m.run(1, "slow")
	m.runner.migrateSlowItems(m.now)
	if len(m.moved) > 0 {
		t.Errorf("moved items %v, want none", m.moved)
	}
}

// TestItemsStayWhereTheyAreSent guards against items that move right after their first event.
func TestItemsStayWhereTheyAreSent(t *testing.T) {
	m := newMoves()
	m.job.sub.SubmittedMS, m.job.sub.DueAfterMS = m.now.UnixMilli(), time.Hour.Milliseconds()
	for i, it := range m.job.items {
		g, ok := m.runner.cfg.Directory.Pick(m.now, m.runner.query(m.now, it))
		if !ok {
			t.Fatal("no free slot")
		}
		m.run(i, g.ID)
	}
	m.runner.migrateSlowItems(m.now)
	if len(m.moved) > 0 {
		t.Errorf("moved items %v, want none", m.moved)
	}
}
