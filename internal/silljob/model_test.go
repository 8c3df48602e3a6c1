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

// modelOwner is a gateway that uses the store. After a pause it continues with the
// state that it held before.
type modelOwner struct {
	run       GatewayRun
	held      *VersionedState
	published map[ItemID]bool
	writes    int
}

// model simulates gateways on a table that refuses calls, loses responses and applies
// transactions late.
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
	// seen holds the results that a reader has seen at each position.
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

// commit commits a transaction, refuses it, loses the response or delays it.
func (m *model) commit(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "refused", "lost", "late"}).Draw(m.t, "commit") {
	case "refused":
		return nil, silltable.ErrUnavailable
	case "lost":
		// The caller does not learn whether the transaction took effect.
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

// applyLate applies a delayed transaction if its checks still hold.
func (m *model) applyLate(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "transaction")
	txn := m.late[i]
	m.late = append(m.late[:i], m.late[i+1:]...)
	// A conflict is the expected way to reject an outdated transaction.
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

// own makes a node run the job if the state names it as the owner.
func (m *model) own(n *modelOwner, held VersionedState) {
	n.held, n.published = nil, nil
	if held.Owner != n.run {
		return
	}
	results, err := m.store.Results(m.ctx(), modelJob, 0)
	if err != nil {
		return
	}
	n.held, n.published = &held, make(map[ItemID]bool)
	for _, r := range results {
		n.published[r.Item] = true
	}
}

// reread reads the state again, as an owner does after a write of unknown outcome.
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
	list := n.newResults(t)
	after, err := m.store.Write(m.ctx(), modelJob, *n.held, Update{Results: list})
	switch {
	case err == nil:
		n.held = &after
		for _, r := range list {
			n.published[r.Item] = true
		}
	case errors.Is(err, silltable.ErrConflict), errors.Is(err, silltable.ErrUnknown):
		m.reread(n)
	}
}

// newResults returns results of some of the items that the node has not published.
func (n *modelOwner) newResults(t *rapid.T) []Result {
	n.writes++
	var list []Result
	for _, it := range submission(modelJob, modelItems).Items {
		if !n.published[it.ID] && rapid.Bool().Draw(t, "done") {
			list = append(list, Result{Item: it.ID, Completed: true, Text: fmt.Sprintf("%s %d", n.run, n.writes)})
		}
	}
	return list
}

func (m *model) release(t *rapid.T) {
	n := m.node()
	if n.held == nil {
		t.Skip()
	}
	// The node stops running the job whether or not the release succeeds.
	_, _ = m.store.Release(m.ctx(), modelJob, *n.held, Update{Results: n.newResults(t)})
	n.held = nil
}

func (m *model) end(*rapid.T) {
	if _, err := m.store.End(m.ctx(), modelJob, "org"); err == nil {
		m.ended = true
	}
}

// check reads the job and checks the invariants.
func (m *model) check(t *rapid.T) {
	held, err := m.store.State(m.ctx(), modelJob)
	if errors.Is(err, ErrNoJob) {
		if m.accepted {
			t.Fatal("an accepted job was lost")
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if !m.maybeAccepted {
		t.Fatal("a job exists although every submission was refused")
	}
	if m.ended && !held.Ended {
		t.Fatal("an ended job is open again")
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
		t.Fatalf("%d results, but the state counts %d and %d were seen before", len(results), listed, len(m.seen))
	}
	items := make(map[ItemID]bool)
	for i, r := range results {
		if i < len(m.seen) && !sameResult(m.seen[i], r) {
			t.Fatalf("position %d changed from %+v to %+v", i, m.seen[i], r)
		}
		if items[r.Item] {
			t.Fatalf("item %s has two positions", r.Item)
		}
		items[r.Item] = true
	}
	m.seen = results
}

// TestModel makes gateways accept, run, take over, release and end a job in any order,
// with stale owners among them. An accepted job must stay, a refused one must
// never appear, and the result at a position must never change.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"submit": m.submit, "claim": m.claim, "write": m.write, "hand back": m.release,
			"end": m.end, "late transaction": m.applyLate, "": m.check,
		})
	})
}
