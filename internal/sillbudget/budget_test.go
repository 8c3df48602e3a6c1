package sillbudget

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

const testSize = 64 * Step

// client is an account of a test and whether it was evicted.
type client struct {
	*Account
	evicted atomic.Bool
}

func open(b *Budget) *client {
	c := &client{}
	c.Account = b.Open(func() { c.evicted.Store(true) })
	return c
}

func checkTake(t *testing.T, c *client, now time.Time, n int64, want Outcome) {
	t.Helper()
	if got := c.TryTake(now, n); got != want {
		t.Errorf("take of %d bytes: %v, want %v", n, got, want)
	}
}

func checkTaken(t *testing.T, b *Budget, want int64) {
	t.Helper()
	if got := b.Taken(); got != want {
		t.Errorf("%d bytes taken, want %d", got, want)
	}
}

// TestStalledGiveWay guards against a short budget that evicts a client that progresses, or
// more clients than are needed.
func TestStalledGiveWay(t *testing.T) {
	b, now := New(testSize, nil), time.Unix(100, 0)
	stalled, small, moving := open(b), open(b), open(b)
	checkTake(t, stalled, now, 20*Step, Taken)
	checkTake(t, small, now, 4*Step, Taken)
	now = now.Add(time.Second)
	checkTake(t, moving, now, 30*Step, Taken)
	checkTake(t, moving, now, 10*Step, Wait)
	checkTake(t, moving, now, 10*Step, Wait)
	if !stalled.evicted.Load() || small.evicted.Load() || moving.evicted.Load() {
		t.Errorf("evicted: stalled %v, small %v, moving %v; want the stalled one only", stalled.evicted.Load(), small.evicted.Load(), moving.evicted.Load())
	}
	stalled.Close()
	checkTake(t, moving, now, 10*Step, Taken)
	checkTake(t, stalled, now, 1, Refused)
	checkTaken(t, b, 44*Step)
	moving.Close()
	small.Close()
	checkTaken(t, b, 0)
}

// TestSettledStay guards against the eviction of a request that may have run.
func TestSettledStay(t *testing.T) {
	b, now := New(testSize, nil), time.Unix(100, 0)
	complete, late, ordinary := open(b), open(b), open(b)
	checkTake(t, complete, now, 50*Step, Taken)
	complete.Settle()
	now = now.Add(time.Minute)
	checkTake(t, late, now, 10*Step, Refused)
	if complete.evicted.Load() {
		t.Error("a request whose body was complete was evicted")
	}
	// The reserve is for small requests.
	checkTake(t, ordinary, now, Step, Taken)
}

// TestLargestAloneIsServed guards against a body of legal size that is never served because
// it is larger than the budget of a small process.
func TestLargestAloneIsServed(t *testing.T) {
	b, now := New(testSize, nil), time.Unix(100, 0)
	large, other, small := open(b), open(b), open(b)
	checkTake(t, small, now, Step, Taken)
	for range 80 {
		checkTake(t, large, now, Step, Taken)
	}
	checkTake(t, other, now, 2*Step, Wait)
	if !large.evicted.Load() {
		t.Error("the largest was not evicted for another")
	}
}

// TestUnreadAnswers guards against answers that fill the memory because nobody reads them.
func TestUnreadAnswers(t *testing.T) {
	b, now := New(testSize, nil), time.Unix(100, 0)
	idle, read := open(b), open(b)
	idle.Deliver(now, 40*Step)
	now = now.Add(time.Second)
	read.Deliver(now, 40*Step)
	if !idle.evicted.Load() || read.evicted.Load() {
		t.Errorf("evicted: idle %v, read %v; want the idle one", idle.evicted.Load(), read.evicted.Load())
	}
}

// TestAnswersTakeMemoryOnce guards against an answer that counts twice, and against one that is
// evicted before its client could read it.
func TestAnswersTakeMemoryOnce(t *testing.T) {
	b, now := New(testSize, nil), time.Now()
	slow, other := open(b), open(b)
	if !slow.TakeAnswer(40*Step, 0) {
		t.Fatal("not taken")
	}
	checkTake(t, other, now, 30*Step, Refused)
	slow.Deliver(now, 40*Step)
	checkTaken(t, b, 40*Step)
	checkTake(t, other, now.Add(time.Second), 30*Step, Wait)
	if !slow.evicted.Load() {
		t.Error("an answer that is not read was kept")
	}
	slow.Close()
	checkTaken(t, b, 0)
}

// TestTakeWaits guards against a request that is refused although bytes become free for it,
// and against one that waits without end.
func TestTakeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testSize, nil)
		stalled := open(b)
		checkTake(t, stalled, time.Now(), 50*Step, Taken)
		time.Sleep(time.Second)
		time.AfterFunc(100*time.Millisecond, stalled.Close)
		if c := open(b); !c.Take(20*Step, time.Second) {
			t.Error("refused although bytes became free")
		}
		held := open(b)
		checkTake(t, held, time.Now(), 30*Step, Taken)
		time.Sleep(time.Second)
		begun := time.Now()
		if c := open(b); c.Take(20*Step, time.Second) || time.Since(begun) != time.Second {
			t.Errorf("not refused after 1 s without free bytes but after %v", time.Since(begun))
		}
	})
}

// TestFewWait guards against a flood of requests that wait for memory and take the processor
// from those that have it.
func TestFewWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testSize, nil)
		stalled := open(b)
		checkTake(t, stalled, time.Now(), testSize, Taken)
		time.Sleep(time.Second)
		var refused atomic.Int32
		group := sillgroup.New(t.Context())
		for range 3 * maxWaiting {
			group.Go(func(context.Context) {
				if !open(b).Take(20*Step, time.Second) {
					refused.Add(1)
				}
			})
		}
		synctest.Wait()
		if n := refused.Load(); n != 2*maxWaiting {
			t.Errorf("%d were refused at once, want %d", n, 2*maxWaiting)
		}
		stalled.Close()
		group.Wait()
	})
}

// TestNoBudget guards against a process without a limit of memory that refuses requests.
func TestNoBudget(t *testing.T) {
	var b *Budget
	a := b.Open(func() {})
	if !a.Take(1<<40, 0) {
		t.Error("refused without a bound")
	}
	a.Settle()
	a.Close()
	checkTaken(t, b, 0)
}
