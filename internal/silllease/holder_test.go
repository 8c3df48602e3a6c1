package silllease

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

var testStart = time.Unix(1000, 0)

func at(seconds int) time.Time { return testStart.Add(time.Duration(seconds) * time.Second) }

func wantCommand(t *testing.T, c Command, kind CommandKind) {
	t.Helper()
	if c.Kind != kind {
		t.Fatalf("command %v, want %v", c.Kind, kind)
	}
}

func wantHeldUntil(t *testing.T, h *Holder, end time.Time) {
	t.Helper()
	if _, held := h.Term(end.Add(-time.Nanosecond)); !held {
		t.Errorf("lease not held right before %v", end)
	}
	if _, held := h.Term(end); held {
		t.Errorf("lease held at %v", end)
	}
}

// holding returns a holder that sent its acquisition at second 0 and received the
// response at second 3.
func holding(t *testing.T) *Holder {
	t.Helper()
	h := NewHolder(Config{Name: "task", Owner: "me", Random: rand.New(rand.NewPCG(1, 1))}, 0, testStart)
	wantCommand(t, h.Tick(testStart), ReadRow)
	h.HandleRead(testStart, silltable.Row{}, nil)
	wantCommand(t, h.Tick(testStart), TryAcquire)
	h.HandleCommit(at(3), []silltable.Revision{1, 2}, nil)
	return h
}

func ownRow(revision silltable.Revision) silltable.Row {
	value := encode(leaseRow{Holder: "me", Epoch: 1, DurationMS: DefaultDuration.Milliseconds()})
	return silltable.Row{Value: value, Revision: revision}
}

const actSeconds = 10 // DefaultDuration less DefaultMargin.

func TestTermCountsFromTheSending(t *testing.T) {
	wantHeldUntil(t, holding(t), at(actSeconds))
}

func TestRenewalCountsFromTheSending(t *testing.T) {
	h := holding(t)
	wantCommand(t, h.Tick(at(4)), Renew)
	h.HandleCommit(at(7), []silltable.Revision{3}, nil)
	wantHeldUntil(t, h, at(4+actSeconds))
}

func TestUnknownRenewalCountsOnlyAfterAProof(t *testing.T) {
	h := holding(t)
	wantCommand(t, h.Tick(at(4)), Renew)
	h.HandleCommit(at(5), nil, silltable.ErrUnknown)
	wantHeldUntil(t, h, at(actSeconds))
	wantCommand(t, h.Tick(at(8)), ReadRow)
	h.HandleRead(at(9), ownRow(3), nil)
	wantHeldUntil(t, h, at(4+actSeconds))
}

func TestLateRenewalCountsFromTheReadBeforeIt(t *testing.T) {
	h := holding(t)
	wantCommand(t, h.Tick(at(4)), Renew)
	h.HandleCommit(at(5), nil, silltable.ErrUnknown)
	wantCommand(t, h.Tick(at(6)), ReadRow)
	h.HandleRead(at(8), ownRow(1), nil)
	wantHeldUntil(t, h, at(actSeconds))
	wantCommand(t, h.Tick(at(8)), Renew)
	// The first renewal took effect between the read and the second renewal.
	h.HandleCommit(at(8), nil, silltable.ErrUnknown)
	wantCommand(t, h.Tick(at(9)), ReadRow)
	h.HandleRead(at(9), ownRow(3), nil)
	wantHeldUntil(t, h, at(6+actSeconds))
}

func TestChallengerWaitsDurationAndMargin(t *testing.T) {
	h := NewHolder(Config{Name: "task", Owner: "other", Random: rand.New(rand.NewPCG(1, 1))}, 0, testStart)
	wantCommand(t, h.Tick(testStart), ReadRow)
	h.HandleRead(at(1), ownRow(1), nil)
	first := at(1).Add(DefaultDuration + DefaultMargin)
	for now := at(2); now.Before(first.Add(DefaultPollEvery * 2)); now = now.Add(time.Second) {
		c := h.Tick(now)
		if c.Kind == TryAcquire {
			if now.Before(first) {
				t.Fatalf("takeover at %v, before %v", now, first)
			}
			return
		}
		if c.Kind == ReadRow {
			h.HandleRead(now, ownRow(1), nil)
		}
	}
	t.Fatal("no takeover")
}

// TestRestartedHolderAcquiresAtOnce guards against control tasks that stand still for a lease's
// duration after their holder is killed and started again.
func TestRestartedHolderAcquiresAtOnce(t *testing.T) {
	h := NewHolder(Config{Name: "task", Owner: "again", Former: "me", Random: rand.New(rand.NewPCG(1, 1))}, 3, testStart)
	if h.NextTick().Sub(testStart) > maxFormerReadDelay {
		t.Errorf("first read after %v", h.NextTick().Sub(testStart))
	}
	wantCommand(t, h.Tick(at(1)), ReadRow)
	h.HandleRead(at(1), ownRow(1), nil)
	wantCommand(t, h.Tick(h.NextTick()), TryAcquire)
	h.HandleCommit(at(2), []silltable.Revision{2, 3}, nil)
	if term, held := h.Term(at(2)); !held || !term.FormerEnd.Equal(at(1)) {
		t.Errorf("held: %t, former end %v, want %v", held, term.FormerEnd, at(1))
	}
}

// TestFormerRunThatLostTheLease guards against a restarted process that acquires a lease which
// another process has taken over meanwhile.
func TestFormerRunThatLostTheLease(t *testing.T) {
	h := NewHolder(Config{Name: "task", Owner: "again", Former: "before", Random: rand.New(rand.NewPCG(1, 1))}, 0, testStart)
	wantCommand(t, h.Tick(at(1)), ReadRow)
	h.HandleRead(at(1), ownRow(1), nil)
	if c := h.Tick(h.NextTick()); c.Kind == TryAcquire {
		t.Error("the lease of a live holder is acquired")
	}
}
