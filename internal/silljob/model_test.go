package silljob

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

const (
	modelJob   ID  = "job"
	modelItems int = 12
)

// modelOwner is a gateway as far as the store knows it. One that was paused goes
// on with what it held.
type modelOwner struct {
	run    GatewayRun
	held   *VersionedState
	listed map[ItemID]bool
	writes int
}

// model plays gateways against a table that refuses calls, loses answers and
// applies transactions late.
type model struct {
	t     *rapid.T
	inner *silltable.Store
	store *Store
	late  []silltable.Txn
	nodes []*modelOwner

	// accepted is set once a submission was accepted, maybeAccepted once one may have been.
	accepted, maybeAccepted bool
	ended                   bool
	epoch                   uint64
	// seen is what a reader has seen at each position.
	seen []Result
}

func newModel(t *rapid.T) *model {
	table := &sillmemtable.Table{}
	m := &model{t: t, inner: table.Store()}
	faulty := *m.inner
	faulty.Commit = m.commit
	m.store = &Store{Table: &faulty, Feed: table.Feed()}
	for _, run := range []GatewayRun{"a", "b", "c"} {
		m.nodes = append(m.nodes, &modelOwner{run: run})
	}
	return m
}

// commit carries a transaction out, or part of what that means.
func (m *model) commit(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "refused", "lost", "late"}).Draw(m.t, "commit") {
	case "refused":
		return nil, silltable.ErrUnavailable
	case "lost":
		// Whether it took effect is what its caller is not told.
		_, _ = m.inner.Commit(ctx, txn)
		return nil, silltable.ErrUnknown
	case "late":
		m.late = append(m.late, txn)
		return nil, silltable.ErrUnknown
	}
	return m.inner.Commit(ctx, txn)
}

func (m *model) ctx() context.Context { return m.t.Context() }

func (m *model) node() *modelOwner { return rapid.SampledFrom(m.nodes).Draw(m.t, "node") }

// applyLate applies a transaction whose answer was lost long ago, if its conditions hold.
func (m *model) applyLate(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "transaction")
	txn := m.late[i]
	m.late = append(m.late[:i], m.late[i+1:]...)
	// A conflict is what keeps it from doing harm.
	_, _ = m.inner.Commit(m.ctx(), txn)
}

func (m *model) submit(*rapid.T) {
	n := m.node()
	held, _, err := m.store.Accept(m.ctx(), submission(modelJob, modelItems), n.run)
	switch {
	case err == nil:
		m.accepted, m.maybeAccepted = true, true
		m.own(n, held)
	case !NotAccepted(err):
		m.maybeAccepted = true
	}
}

// own has a node own the job if the state says so.
func (m *model) own(n *modelOwner, held VersionedState) {
	n.held, n.listed = nil, nil
	if held.Owner != n.run {
		return
	}
	results, err := m.store.Results(m.ctx(), modelJob, 0)
	if err != nil {
		return
	}
	n.held, n.listed = &held, make(map[ItemID]bool)
	for _, r := range results {
		n.listed[r.Item] = true
	}
}

// reread is what an owner does after a write without a clear outcome.
func (m *model) reread(n *modelOwner) {
	held, err := m.store.State(m.ctx(), modelJob)
	if err != nil {
		n.held = nil
		return
	}
	m.own(n, held)
}

func (m *model) claim(t *rapid.T) {
	n := m.node()
	held, err := m.store.State(m.ctx(), modelJob)
	if err != nil || held.Owner == n.run || held.Done() {
		t.Skip()
	}
	claimed, err := m.store.Claim(m.ctx(), modelJob, held, n.run)
	if err != nil {
		m.reread(n)
		return
	}
	m.own(n, claimed)
}

func (m *model) write(t *rapid.T) {
	n := m.node()
	if n.held == nil || n.held.Done() {
		t.Skip()
	}
	n.writes++
	var list []Result
	for _, it := range submission(modelJob, modelItems).Items {
		if !n.listed[it.ID] && rapid.Bool().Draw(t, "done") {
			list = append(list, Result{Item: it.ID, Completed: true, Text: fmt.Sprintf("%s %d", n.run, n.writes)})
		}
	}
	after, err := m.store.Write(m.ctx(), modelJob, *n.held, Update{Results: list})
	switch {
	case err == nil:
		n.held = &after
		for _, r := range list {
			n.listed[r.Item] = true
		}
	case errors.Is(err, silltable.ErrConflict), errors.Is(err, silltable.ErrUnknown):
		m.reread(n)
	}
}

func (m *model) handBack(t *rapid.T) {
	n := m.node()
	if n.held == nil {
		t.Skip()
	}
	// Whatever became of it, the node stops.
	_ = m.store.Release(m.ctx(), modelJob, *n.held, nil)
	n.held = nil
}

func (m *model) end(*rapid.T) {
	if _, err := m.store.End(m.ctx(), modelJob, "org"); err == nil {
		m.ended = true
	}
}

// check reads the job as a trainer does.
func (m *model) check(t *rapid.T) {
	held, err := m.store.State(m.ctx(), modelJob)
	if errors.Is(err, ErrNoJob) {
		if m.accepted {
			t.Fatal("an accepted job is gone")
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !m.maybeAccepted {
		t.Fatal("a job is there that was refused each time")
	}
	if m.ended && !held.Ended {
		t.Fatal("an ended job goes on")
	}
	if uint64(held.Epoch) < m.epoch {
		t.Fatalf("epoch %d after %d", held.Epoch, m.epoch)
	}
	m.epoch = uint64(held.Epoch)
	results, err := m.store.Results(m.ctx(), modelJob, 0)
	if err != nil {
		t.Fatal(err)
	}
	m.checkResults(t, held.Published, results)
}

func (m *model) checkResults(t *rapid.T, listed int, results []Result) {
	if len(results) != listed || listed < len(m.seen) {
		t.Fatalf("%d results, the state counts %d, %d were seen", len(results), listed, len(m.seen))
	}
	items := make(map[ItemID]bool)
	for i, r := range results {
		if i < len(m.seen) && !sameResult(m.seen[i], r) {
			t.Fatalf("position %d changed from %+v to %+v", i, m.seen[i], r)
		}
		if items[r.Item] {
			t.Fatalf("item %s stands at two positions", r.Item)
		}
		items[r.Item] = true
	}
	m.seen = results
}

// TestModel lets gateways accept, run, take over, hand back and end a job in any
// order, with stale owners among them. An accepted job stays, a refused one never
// appears, and no position ever changes.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "claim": m.claim, "write": m.write, "hand back": m.handBack,
			"end": m.end, "late transaction": m.applyLate, "": m.check,
		})
	})
}
