package silllease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const modelHolders = 3

// tableCall is one table call of a holder. It takes effect some time after it was
// sent, if at all, and its response arrives later or is lost.
type tableCall struct {
	command   Command
	effective bool
	row       silltable.Row
	revisions []silltable.Revision
	err       error
}

type leaseModel struct {
	now     time.Time
	table   sillmemtable.Table
	store   *silltable.Store
	holders []*Holder
	calls   []*tableCall
	// late holds calls that their senders abandoned and that may still take effect.
	late []Command
	// terms maps every observed epoch to the index of its holder.
	terms map[sillid.Epoch]int
}

func newLeaseModel() *leaseModel {
	m := &leaseModel{now: time.Unix(1000, 0), terms: map[sillid.Epoch]int{}}
	m.store = m.table.Store()
	m.calls = make([]*tableCall, modelHolders)
	for i := range modelHolders {
		m.holders = append(m.holders, NewHolder(Config{
			Name:   "task",
			Owner:  Owner(fmt.Sprint("owner-", i)),
			Random: rand.New(rand.NewPCG(1, uint64(i))),
		}, i, m.now))
	}
	return m
}

func (m *leaseModel) pass(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.Int64Range(1, 2500).Draw(t, "milliseconds")) * time.Millisecond)
}

func (m *leaseModel) freeze(t *rapid.T) {
	// Freezes are rare, so that most terms last long enough for renewals.
	if rapid.IntRange(0, 7).Draw(t, "freeze") != 0 {
		return
	}
	m.now = m.now.Add(time.Duration(rapid.Int64Range(5, 40).Draw(t, "seconds")) * time.Second)
}

func (m *leaseModel) tick(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	if c := m.holders[i].Tick(m.now); c.Kind != Wait {
		m.calls[i] = &tableCall{command: c}
	}
}

func (m *leaseModel) release(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	if m.calls[i] != nil {
		return
	}
	if c := m.holders[i].Release(m.now); c.Kind != Wait {
		m.calls[i] = &tableCall{command: c}
	}
}

func (m *leaseModel) takeEffect(t *rapid.T) {
	f := m.calls[rapid.IntRange(0, modelHolders-1).Draw(t, "holder")]
	if f == nil || f.effective {
		return
	}
	f.effective = true
	if f.command.Kind == ReadRow {
		f.row, f.err = m.store.GetOrAbsent(context.Background(), f.command.Key)
		return
	}
	f.revisions, f.err = m.store.Commit(context.Background(), f.command.Txn)
}

func (m *leaseModel) answer(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	f := m.calls[i]
	if f == nil {
		return
	}
	if !f.effective {
		m.abandonCall(t, i)
		return
	}
	m.calls[i] = nil
	m.deliver(i, f)
}

// abandonCall ends a call without its response. The call may have taken effect, may
// still take effect, or was refused.
func (m *leaseModel) abandonCall(t *rapid.T, i int) {
	f := m.calls[i]
	m.calls[i] = nil
	f.err = silltable.ErrUnknown
	if f.command.Kind == ReadRow || rapid.Bool().Draw(t, "refused") && !f.effective {
		f.err = silltable.ErrUnavailable
	} else if !f.effective {
		m.late = append(m.late, f.command)
	}
	m.deliver(i, f)
}

func (m *leaseModel) loseAnswer(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	if m.calls[i] != nil {
		m.abandonCall(t, i)
	}
}

func (m *leaseModel) lateEffect(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "late")
	_, _ = m.store.Commit(context.Background(), m.late[i].Txn)
	m.late = append(m.late[:i], m.late[i+1:]...)
}

func (m *leaseModel) deliver(i int, f *tableCall) {
	if f.command.Kind == ReadRow {
		m.holders[i].HandleRead(m.now, f.row, f.err)
		return
	}
	m.holders[i].HandleCommit(m.now, f.revisions, f.err)
}

func (m *leaseModel) check(t *rapid.T) {
	acting := -1
	for i, h := range m.holders {
		term, held := h.Term(m.now)
		if !held {
			continue
		}
		if acting >= 0 {
			t.Fatalf("holders %d and %d may both act", acting, i)
		}
		acting = i
		if other, seen := m.terms[term.Epoch]; seen && other != i {
			t.Fatalf("epoch %d held by %d and %d", term.Epoch, other, i)
		}
		m.terms[term.Epoch] = i
		row, err := m.store.GetOrAbsent(context.Background(), EpochKey("task"))
		if err != nil || row.Revision != term.EpochRow {
			t.Fatalf("holder %d may act, but its epoch row is at %d, not %d", i, row.Revision, term.EpochRow)
		}
	}
}

// run executes up to three calls of one holder without faults, so that terms are
// reached often.
func (m *leaseModel) run(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	for range 3 {
		if m.calls[i] == nil {
			if c := m.holders[i].Tick(m.now); c.Kind != Wait {
				m.calls[i] = &tableCall{command: c}
			}
		}
		f := m.calls[i]
		if f == nil || f.effective {
			return
		}
		f.effective = true
		if f.command.Kind == ReadRow {
			f.row, f.err = m.store.GetOrAbsent(context.Background(), f.command.Key)
		} else {
			f.revisions, f.err = m.store.Commit(context.Background(), f.command.Txn)
		}
		m.calls[i] = nil
		m.deliver(i, f)
	}
}

func TestModelNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel()
		t.Repeat(map[string]func(*rapid.T){
			"":           m.check,
			"pass":       m.pass,
			"freeze":     m.freeze,
			"tick":       m.tick,
			"run":        m.run,
			"run again":  m.run,
			"release":    m.release,
			"takeEffect": m.takeEffect,
			"answer":     m.answer,
			"loseAnswer": m.loseAnswer,
			"lateEffect": m.lateEffect,
		})
	})
}
