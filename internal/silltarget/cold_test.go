package silltarget

import (
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// coldDirectory is a directory whose pool "p" has targets that may be cold, with a clock.
type coldDirectory struct {
	*Directory
	now time.Time
}

const coldStart = 8 * time.Second

// newColdDirectory returns a directory that read the whole registry long ago.
func newColdDirectory(entries ...Entry) *coldDirectory {
	c := &coldDirectory{now: start}
	c.Directory = NewDirectoryWith(Config{ColdOvershoot: 1.5, ColdSlack: 5, Now: func() time.Time { return c.now }})
	c.SetColdRules(map[sillid.PoolID]ColdRule{"p": {PerSecond: 9.1, StartTime: coldStart}})
	for _, e := range entries {
		c.Apply(e)
	}
	c.Settle()
	c.now = start.Add(entryDelay)
	return c
}

// coldEntry returns an entry of a run that started long ago.
func coldEntry(id sillid.TargetID, n ColdNotice, revision uint64) Entry {
	return Entry{
		ID: id, Pool: "p", Zone: "a", Address: "127.0.0.1:1", State: Ready, Slots: 8, StartedAt: start.Add(-time.Hour), Cold: n, Revision: revision,
	}
}

func coldFor(left time.Duration) ColdNotice { return ColdNotice{Kind: Cold, Left: left} }

var warm = ColdNotice{Kind: Warm}

func (c *coldDirectory) check(t *testing.T, want bool) {
	t.Helper()
	if got := c.CountCold(c.now) > 0; got != want {
		t.Errorf("after %v the target may be cold: %t, want %t", c.now.Sub(start), got, want)
	}
}

func (c *coldDirectory) attempt(o Outcome) {
	g, _ := c.Pick(c.now, Query{Pool: "p", IncludeBackingOff: true})
	c.Release(c.now, g, o)
}

// TestMayBeCold checks each sign of a target that may be cold, and what refutes it.
func TestMayBeCold(t *testing.T) {
	run := func(name string, n ColdNotice, f func(t *testing.T, c *coldDirectory)) {
		t.Run(name, func(t *testing.T) { f(t, newColdDirectory(coldEntry("t", n, 1))) })
	}
	run("warm by its entry", warm, func(t *testing.T, c *coldDirectory) { c.check(t, false) })
	run("cold by its entry, until the time has passed", coldFor(5*time.Second), func(t *testing.T, c *coldDirectory) {
		c.check(t, true)
		c.now = start.Add(5 * time.Second)
		c.check(t, false)
	})
	run("a newer entry says that it is warm", coldFor(5*time.Second), func(t *testing.T, c *coldDirectory) {
		c.Apply(coldEntry("t", warm, 2))
		c.check(t, false)
	})
	run("the same entry read again is no news", warm, func(t *testing.T, c *coldDirectory) {
		c.ObserveCold(c.now, c.now, Run{Target: "t", StartedAtMS: start.Add(-time.Hour).UnixMilli()}, coldFor(time.Minute), true)
		c.now = c.now.Add(2 * entryDelay)
		c.Apply(coldEntry("t", warm, 1))
		c.check(t, true)
	})
	run("cold by an answer, which an entry as old does not refute", warm, func(t *testing.T, c *coldDirectory) {
		e := coldEntry("t", warm, 2)
		c.ObserveCold(c.now, c.now, e.Run(), coldFor(time.Minute), false)
		c.check(t, true)
		c.Apply(e)
		c.check(t, true)
		c.now = c.now.Add(entryDelay + time.Millisecond)
		e.Revision = 3
		c.Apply(e)
		c.check(t, false)
	})
	run("warm by an answer counts if it is signed and newer", coldFor(time.Minute), func(t *testing.T, c *coldDirectory) {
		e := coldEntry("t", warm, 1)
		c.ObserveCold(c.now, c.now, e.Run(), coldFor(time.Minute), true)
		c.ObserveCold(c.now.Add(-time.Millisecond), c.now, e.Run(), warm, true)
		c.check(t, true)
		c.ObserveCold(c.now.Add(time.Millisecond), c.now, e.Run(), warm, false)
		c.check(t, true)
		c.ObserveCold(c.now.Add(time.Millisecond), c.now, e.Run(), warm, true)
		c.check(t, false)
	})
	run("a new run that says nothing", warm, func(t *testing.T, c *coldDirectory) {
		e := coldEntry("t", ColdNotice{}, 2)
		e.StartedAt = start.Add(-time.Minute)
		c.Apply(e)
		c.check(t, true)
		c.now = c.now.Add(coldStart)
		c.check(t, false)
	})
	run("unreachable, and for a time after", warm, func(t *testing.T, c *coldDirectory) {
		c.attempt(Unreachable)
		c.now = c.now.Add(2 * coldStart)
		c.check(t, true)
		c.attempt(Answered)
		c.check(t, true)
		c.now = c.now.Add(coldStart)
		c.check(t, false)
	})
	run("unreachable until it answers an error", warm, func(t *testing.T, c *coldDirectory) {
		c.attempt(Unreachable)
		c.attempt(Errored)
		c.now = c.now.Add(coldStart)
		c.check(t, false)
	})
	run("two lost answers in a row", warm, func(t *testing.T, c *coldDirectory) {
		c.attempt(TimedOut)
		c.check(t, false)
		c.attempt(TimedOut)
		c.check(t, true)
	})
	run("missing and back without a word", warm, func(t *testing.T, c *coldDirectory) {
		c.MarkMissing(c.now, "t")
		c.Apply(coldEntry("t", ColdNotice{}, 2))
		c.check(t, true)
	})
	run("missing and back, warm", warm, func(t *testing.T, c *coldDirectory) {
		c.MarkMissing(c.now, "t")
		c.Apply(coldEntry("t", warm, 2))
		c.check(t, false)
	})
	run("after an evacuation", warm, func(t *testing.T, c *coldDirectory) {
		c.SetEvacuated(c.now, []sillid.ZoneID{"a"})
		c.SetEvacuated(c.now, nil)
		c.now = c.now.Add(time.Second)
		c.Apply(coldEntry("t", warm, 2))
		c.check(t, true)
		c.now = c.now.Add(coldStart)
		c.check(t, false)
	})
	run("in a pool that is never cold", coldFor(time.Minute), func(t *testing.T, c *coldDirectory) {
		c.SetColdRules(nil)
		c.attempt(Unreachable)
		c.check(t, false)
	})
}

// TestJustStarted guards against a process that starts right after targets turned cold and
// trusts entries that are older.
func TestJustStarted(t *testing.T) {
	c := newColdDirectory(coldEntry("t", warm, 1))
	c.now = start
	c.check(t, true)
	if g, known := c.ColdGrant(c.now, Run{Target: "t", StartedAtMS: start.Add(-time.Hour).UnixMilli()}); known || !g.Unsure {
		t.Errorf("known %t, %+v; want an assumption", known, g)
	}
	c.now = start.Add(entryDelay)
	c.check(t, false)
}

func (c *coldDirectory) checkSend(t *testing.T, g Grant, want error) {
	t.Helper()
	if got := c.CheckSend(c.now, g); !errors.Is(got, want) || (want != nil && !errors.Is(got, ErrWithdrawn)) {
		t.Errorf("check of a send: %v, want %v", got, want)
	}
}

// TestCheckSend guards against requests that are sent after waits in which their target was
// evacuated or turned cold, or in which their permit became old.
func TestCheckSend(t *testing.T) {
	c := newColdDirectory(coldEntry("t", warm, 1))
	g, _ := c.Pick(c.now, Query{Pool: "p"})
	c.checkSend(t, g, nil)
	c.Apply(coldEntry("t", coldFor(time.Minute), 2))
	c.checkSend(t, g, ErrNoColdPermit)
	g, _ = c.Pick(c.now, Query{Pool: "p"})
	if !g.Limited || g.Cold == nil {
		t.Errorf("grant %+v of a cold target needs no permit", g)
	}
	c.checkSend(t, g, ErrNoColdPermit)
	g = g.WithPermit(c.now)
	c.checkSend(t, g, nil)
	c.now = c.now.Add(sillrate.PermitValidity + time.Millisecond)
	c.checkSend(t, g, ErrNoColdPermit)
	c.SetEvacuated(c.now, []sillid.ZoneID{"a"})
	c.checkSend(t, g.WithPermit(c.now), ErrEvacuated)
	c.Remove("t")
	c.checkSend(t, g.WithPermit(c.now), ErrEvacuated)
}

// TestFill guards against several owners of jobs that fill the free slots of one target at
// once, which turned cold unnoticed.
func TestFill(t *testing.T) {
	fill := func(c *coldDirectory) int {
		n := 0
		for {
			if _, ok := c.Pick(c.now, Query{Pool: "p", FreeOnly: true, Fills: true, Class: sillrate.Background}); !ok {
				return n
			}
			n++
		}
	}
	c := newColdDirectory(coldEntry("t", warm, 1))
	if n := fill(c); n != 6 {
		t.Errorf("%d of 8 slots filled at once, want 6", n)
	}
	c.now = c.now.Add(fillSpan)
	if n := fill(c); n != 2 {
		t.Errorf("%d slots filled a second later, want 2", n)
	}
	c = newColdDirectory(coldEntry("t", warm, 1))
	c.SetColdRules(nil)
	if n := fill(c); n != 8 {
		t.Errorf("%d of 8 slots filled in a pool that is never cold, want 8", n)
	}
}

// TestEvacuated checks that no selection has targets of an evacuated zone.
func TestEvacuated(t *testing.T) {
	c := newColdDirectory(coldEntry("t", warm, 1))
	began, ended := c.SetEvacuated(c.now, []sillid.ZoneID{"a", "b"})
	if len(began) != 2 || len(ended) != 0 {
		t.Errorf("began %v, ended %v", began, ended)
	}
	q := Query{Pool: "p"}
	if _, ok := c.Pick(c.now, q); ok {
		t.Error("a target of an evacuated zone was picked")
	}
	if c.FreeSlots(c.now, q) != 0 || c.AnyEligible(c.now, q) || c.EarliestResponse(c.now, q) != 0 {
		t.Error("a target of an evacuated zone counts")
	}
	if _, limited := c.LimitedUntil(c.now, q); limited || !c.AllLeaving("p", "") {
		t.Error("requests wait for a target of an evacuated zone")
	}
	c.Remove("t")
	c.Apply(coldEntry("t", warm, 2))
	if _, ok := c.Pick(c.now, q); ok {
		t.Error("a target that registered in an evacuated zone was picked")
	}
	if _, ended = c.SetEvacuated(c.now, []sillid.ZoneID{"b"}); len(ended) != 1 {
		t.Errorf("ended %v, want a", ended)
	}
	if _, ok := c.Pick(c.now, q); !ok {
		t.Error("no target after the evacuation")
	}
}

// TestInvalidEntryIsReportedOnce guards against a log line for each heartbeat of a target with
// an invalid entry, and against none.
func TestInvalidEntryIsReportedOnce(t *testing.T) {
	reported := 0
	d := NewDirectoryWith(Config{Cold: ColdHooks{OnInvalidEntry: func(Run) { reported++ }}})
	check := func(want int) {
		t.Helper()
		if reported != want {
			t.Errorf("reported %d times, want %d", reported, want)
		}
	}
	invalid := ColdNotice{Invalid: true}
	e := coldEntry("t", warm, 1)
	d.Apply(e)
	check(0)
	for revision := range uint64(3) {
		e.Cold, e.Revision = invalid, revision+2
		d.Apply(e)
		check(1)
	}
	e.Address = "127.0.0.1:2"
	d.Apply(e)
	check(1)
	e.StartedAt = e.StartedAt.Add(time.Second)
	d.Apply(e)
	check(2)
}
