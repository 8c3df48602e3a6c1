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

// flight is one call of a holder: it takes effect at the table, if ever, at some
// instant after it was sent, and its answer arrives later or is lost.
type flight struct {
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
	flights []*flight
	// late holds calls whose senders gave up on them and that may still take effect.
	late []Command
	// terms maps every epoch seen to its holder.
	terms map[sillid.Epoch]int
}

func newLeaseModel() *leaseModel {
	m := &leaseModel{now: time.Unix(1000, 0), terms: map[sillid.Epoch]int{}}
	m.store = m.table.Store()
	m.flights = make([]*flight, modelHolders)
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
	// Most runs of a term are long enough for renewals.
	if rapid.IntRange(0, 7).Draw(t, "freeze") != 0 {
		return
	}
	m.now = m.now.Add(time.Duration(rapid.Int64Range(5, 40).Draw(t, "seconds")) * time.Second)
}

func (m *leaseModel) tick(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	if c := m.holders[i].Tick(m.now); c.Kind != Wait {
		m.flights[i] = &flight{command: c}
	}
}

func (m *leaseModel) release(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	if m.flights[i] != nil {
		return
	}
	if c := m.holders[i].Release(m.now); c.Kind != Wait {
		m.flights[i] = &flight{command: c}
	}
}

func (m *leaseModel) takeEffect(t *rapid.T) {
	f := m.flights[rapid.IntRange(0, modelHolders-1).Draw(t, "holder")]
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
	f := m.flights[i]
	if f == nil {
		return
	}
	if !f.effective {
		m.giveUp(t, i)
		return
	}
	m.flights[i] = nil
	m.deliver(i, f)
}

// giveUp loses an answer, of a call that took effect or of one that may yet.
func (m *leaseModel) giveUp(t *rapid.T, i int) {
	f := m.flights[i]
	m.flights[i] = nil
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
	if m.flights[i] != nil {
		m.giveUp(t, i)
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

func (m *leaseModel) deliver(i int, f *flight) {
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

// run drives holder i through one call without faults, to reach terms often.
func (m *leaseModel) run(t *rapid.T) {
	i := rapid.IntRange(0, modelHolders-1).Draw(t, "holder")
	for range 3 {
		if m.flights[i] == nil {
			if c := m.holders[i].Tick(m.now); c.Kind != Wait {
				m.flights[i] = &flight{command: c}
			}
		}
		f := m.flights[i]
		if f == nil || f.effective {
			return
		}
		f.effective = true
		if f.command.Kind == ReadRow {
			f.row, f.err = m.store.GetOrAbsent(context.Background(), f.command.Key)
		} else {
			f.revisions, f.err = m.store.Commit(context.Background(), f.command.Txn)
		}
		m.flights[i] = nil
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
