package silltarget

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestSwitch checks each behaviour without and with its signal.
func TestSwitch(t *testing.T) {
	for signal, set := range map[Signal]func(*Directory){
		UnsoundTargets:   func(d *Directory) { d.cfg.UnsoundTargets = true },
		SpeedReported:    func(d *Directory) { report(d, start, "a", time.Millisecond, 100) },
		PrioritiesDiffer: func(d *Directory) { d.SetPrioritiesDiffer(map[sillid.PoolID]bool{"p": true}) },
	} {
		t.Run(string(signal), func(t *testing.T) {
			d := directory(entry("a", 4, 1))
			if s := d.Switch("p"); s != (Switch{}) {
				t.Errorf("switch %+v without signals", s)
			}
			set(d)
			for _, b := range Behaviours() {
				if got, want := d.Switch("p").On(b), b.Signal() == signal; got != want {
					t.Errorf("behaviour %s is on: %t, want %t", b, got, want)
				}
			}
			if s := d.Switch("other"); s.Has(SpeedReported) || s.Has(PrioritiesDiffer) {
				t.Errorf("switch %+v of another pool", s)
			}
		})
	}
}

// TestReportWithoutDurationSwitchesNothing guards against behaviours that are switched on by the
// other figures of a load report.
func TestReportWithoutDurationSwitchesNothing(t *testing.T) {
	d := directory(entry("a", 4, 1))
	d.Observe(start, Grant{ID: "a", target: d.targets["a"]}, &Load{Running: 1, Slots: 4}, time.Millisecond)
	if s := d.Switch("p"); s != (Switch{}) {
		t.Errorf("switch %+v", s)
	}
}

// TestSwitchStaysOn guards against a pool whose behaviour changes whenever a target starts
// again.
func TestSwitchStaysOn(t *testing.T) {
	d := directory(entry("a", 4, 1))
	report(d, start, "a", time.Millisecond, 100)
	again := entry("a", 4, 1)
	again.StartedAt = start.Add(time.Minute)
	d.Apply(again)
	if !d.ReportsSpeed("p") {
		t.Error("the pool lost its behaviour with a new run of the target")
	}
	d.Remove("a")
	if !d.ReportsSpeed("p") {
		t.Error("the pool lost its behaviour with its targets")
	}
}

// TestSwitchIsReportedOnce guards against a log line for each report or configuration.
func TestSwitchIsReportedOnce(t *testing.T) {
	var changes []SwitchChange
	d := NewDirectoryWith(Config{UnsoundTargets: true, OnSwitch: func(c SwitchChange) { changes = append(changes, c) }})
	expect := func(on bool, want ...Behaviour) {
		t.Helper()
		var got []Behaviour
		for _, c := range changes {
			if c.Pool != "p" || c.On != on {
				t.Errorf("change %+v, want the pool p and on: %t", c, on)
			}
			got = append(got, c.Behaviour)
		}
		if !slices.Equal(got, want) {
			t.Errorf("behaviours %v, want %v", got, want)
		}
		changes = nil
	}
	differ := map[sillid.PoolID]bool{"p": true}
	d.SetPrioritiesDiffer(differ)
	expect(true)
	d.Apply(entry("a", 4, 1))
	expect(true, OutlierEjection, QueueByPriority)
	d.Apply(entry("b", 4, 1))
	d.SetPrioritiesDiffer(differ)
	expect(true)
	report(d, start, "a", time.Millisecond, 100)
	expect(true, FinishTimes, CachedPrompts, ScoresBesideCallers, OrderOfGroups)
	report(d, start, "b", time.Millisecond, 100)
	expect(true)
	d.SetPrioritiesDiffer(nil)
	expect(false, QueueByPriority)
}

// TestErrorsWithoutTheSettingChangeNothing guards against targets that are left out, or cost more
// or less, for their errors where the settings don't say that targets may be unsound.
func TestErrorsWithoutTheSettingChangeNothing(t *testing.T) {
	d := directory(entry("a", 4, 1), entry("b", 4, 1))
	before := d.Explain(start, Query{Pool: "p"})
	respond(d, start, "a", repeat(Errored, 20)...)
	checkEjected(t, d, start, "a", false)
	if d.targets["a"].errors != (errorRecord{}) {
		t.Errorf("errors are recorded: %+v", d.targets["a"].errors)
	}
	if after := d.Explain(start, Query{Pool: "p"}); !slices.Equal(after, before) {
		t.Errorf("after 20 errors %+v, before %+v", after, before)
	}
	checkPick(t, d, start, Query{Class: sillrate.Interactive}, "a")
}

// TestChoiceWithoutSignalsIsAsBefore compares the choice with that of the build before, in
// random states of a pool without signals.
func TestChoiceWithoutSignalsIsAsBefore(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	now := start
	d := NewDirectoryWith(Config{Seed: 9, Connected: func(address string) bool { return address < "t3" }})
	for i := range 8 {
		e := entry(sillid.TargetID(fmt.Sprintf("t%d", i)), 1+i%3, sillid.WeightVersion(1+i%2))
		e.Zone = sillid.ZoneID(fmt.Sprintf("z%d", i%2))
		d.Apply(e)
	}
	outcomes := []Outcome{Answered, Answered, Errored, ErroredAgain, Errored, Abandoned}
	var grants []Grant
	preferred := 0
	for range 4000 {
		now = now.Add(time.Duration(random.IntN(20)) * time.Millisecond)
		q := Query{
			Pool: "p", Zone: "z1", Model: "m", FreeOnly: random.IntN(2) == 0, PreferNewest: random.IntN(4) == 0, Batched: random.IntN(2) == 0,
			CachedSaving: 0.03, WorkTime: time.Duration(random.IntN(400)) * time.Millisecond, DueIn: time.Duration(random.IntN(200)) * time.Millisecond,
			MovingCost: 100 * time.Millisecond, Class: sillrate.Class(random.IntN(2)),
		}
		if random.IntN(2) == 0 {
			q.Cached = sillid.TargetID(fmt.Sprintf("t%d", random.IntN(8)))
		}
		want := d.pickBefore(now, q)
		g, ok := d.Pick(now, q)
		if g.ID != want || ok != (want != "") {
			t.Fatalf("picked %q, the build before %q, for %+v", g.ID, want, q)
		}
		if ok {
			grants = append(grants, g)
			if g.ID == q.Cached {
				preferred++
			}
		}
		if len(grants) > random.IntN(16) {
			last := len(grants) - 1
			g, o := grants[last], outcomes[random.IntN(len(outcomes))]
			d.Observe(now, g, &Load{Running: 1 + random.IntN(4), Slots: 1 + random.IntN(3)}, time.Duration(random.IntN(200))*time.Millisecond)
			d.Release(now, g, o)
			grants = grants[:last]
		}
	}
	if preferred < 500 {
		t.Errorf("the target with the cached prompt was picked %d times, so the test shows little", preferred)
	}
}

// pickBefore returns the choice of the build before the behaviours were added.
func (d *Directory) pickBefore(now time.Time, q Query) sillid.TargetID {
	meanLatency := d.meanUnitLatency(q.Pool)
	var best *target
	bestCost := 0.0
	for _, t := range d.targets {
		if q.FreeOnly && t.load(now) >= max(t.entry.Slots, 1) {
			continue
		}
		cost := (float64(t.load(now)) + 1) / float64(max(t.entry.Slots, 1))
		if latency := t.unitLatency; latency > 0 {
			cost *= latency.Seconds()
		} else if meanLatency > 0 {
			cost *= meanLatency.Seconds()
		}
		factor := 1.0
		if t.entry.Zone != q.Zone {
			factor *= 1 + crossZoneCost
		}
		if !d.cfg.Connected(t.entry.Address) {
			factor *= 1 + connectCost
		}
		cost *= factor
		if best == nil || isBetterBefore(&q, t, cost, best, bestCost) {
			best, bestCost = t, cost
		}
	}
	if best == nil {
		return ""
	}
	return best.entry.ID
}

func isBetterBefore(q *Query, t *target, cost float64, o *target, otherCost float64) bool {
	version, other := t.entry.Versions[q.Model], o.entry.Versions[q.Model]
	switch {
	case q.PreferNewest && version != other:
		return version > other
	case (t.entry.ID == q.Cached) != (o.entry.ID == q.Cached):
		return t.entry.ID == q.Cached
	case cost != otherCost:
		return cost < otherCost
	}
	return t.tieBreak < o.tieBreak
}
