package sillforwarder

import (
	"context"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// fill uses all free slots of a fixture and returns the grants.
func (f *fixture) fill(t *testing.T) []silltarget.Grant {
	t.Helper()
	var grants []silltarget.Grant
	for {
		g, ok := f.directory.Pick(time.Now(), silltarget.Query{Pool: "p", FreeOnly: true})
		if !ok {
			return grants
		}
		grants = append(grants, g)
	}
}

func (f *fixture) newWait(p sillschedule.Priority, owed bool) *wait {
	req := &Request{
		Route: route(sillcatalog.Idempotent, 1), Pool: "p", Priority: p, Owed: owed, AllowLate: owed,
		Arrived: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
	return newWait(&picker{Forwarder: f.forwarder, request: req, query: silltarget.Query{Pool: "p", FreeOnly: true}})
}

func checkTake(t *testing.T, f *fixture, w *wait, want bool) {
	t.Helper()
	if _, ok := w.take(f.directory.Changed()); ok != want {
		t.Errorf("a request of the class %v and priority %d got a target: %t, want %t", w.waiter.Class, w.waiter.Priority, ok, want)
	}
}

// TestFreeTargetGoesToTheMostUrgent guards against a free target that goes to whichever waiting
// request wakes first.
func TestFreeTargetGoesToTheMostUrgent(t *testing.T) {
	f := newFixture(t, behaviour{})
	f.directory.SetPrioritiesDiffer(map[sillid.PoolID]bool{"p": true})
	score, low, high := f.newWait(0, true), f.newWait(1, false), f.newWait(0, false)
	checkOrder(t, f, []*wait{score, low, high}, []*wait{high, low, score})
}

// TestFreeTargetGoesToTheFirst guards against requests that overtake each other in a pool whose
// requests all have one priority in the configuration.
func TestFreeTargetGoesToTheFirst(t *testing.T) {
	f := newFixture(t, behaviour{})
	f.directory.SetPrioritiesDiffer(map[sillid.PoolID]bool{"other": true})
	score, low, high := f.newWait(0, true), f.newWait(1, false), f.newWait(0, false)
	checkOrder(t, f, []*wait{score, low, high}, []*wait{score, low, high})
}

// checkOrder lets requests wait in one order and checks that they get targets in another.
func checkOrder(t *testing.T, f *fixture, waits, inOrder []*wait) {
	t.Helper()
	grants := f.fill(t)
	for _, w := range waits {
		checkTake(t, f, w, false)
	}
	for served := range inOrder {
		f.directory.Release(time.Now(), grants[served], silltarget.Answered)
		for i := len(inOrder) - 1; i > served; i-- {
			checkTake(t, f, inOrder[i], false)
		}
		checkTake(t, f, inOrder[served], true)
	}
}

// TestTargetOfStoppedWaitIsReturned guards against a slot that is lost when a request stops
// waiting in the moment in which it gets a target.
func TestTargetOfStoppedWaitIsReturned(t *testing.T) {
	f := newFixture(t, behaviour{})
	grants := f.fill(t)
	w := f.newWait(0, false)
	checkTake(t, f, w, false)
	f.directory.Release(time.Now(), grants[0], silltarget.Answered)
	f.forwarder.queues.of("p").Serve(f.directory.Changed())
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, ok := w.stop(ctx, waitCancelled); ok {
		t.Error("a cancelled request got a target")
	}
	if free := f.directory.FreeSlots(time.Now(), silltarget.Query{Pool: "p"}); free != 1 {
		t.Errorf("%d free slots, want 1", free)
	}
}
