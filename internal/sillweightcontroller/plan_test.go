package sillweightcontroller

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var start = time.Unix(1000, 0)

type versions = map[sillid.ModelID]sillid.WeightVersion

// fleet is a set of engines that take orders at once or not at all.
type fleet struct {
	planner *Planner
	engines []silltarget.Entry
	now     time.Time
}

func newFleet(count int, v versions) *fleet {
	f := &fleet{planner: NewPlanner(), now: start}
	for i := range count {
		held := versions{}
		for m, n := range v {
			held[m] = n
		}
		f.engines = append(f.engines, silltarget.Entry{
			ID: sillid.TargetID(fmt.Sprintf("e%02d", i)), Pool: "p", State: silltarget.Ready, StartedAt: start, Versions: held,
		})
	}
	return f
}

func (f *fleet) next(wanted map[sillid.ModelID]DesiredVersion) []LoadOrder {
	return f.planner.Next(f.now, f.engines, wanted)
}

// round carries out the loads that are due now and returns them.
func (f *fleet) round(wanted map[sillid.ModelID]DesiredVersion) []LoadOrder {
	loads := f.next(wanted)
	for _, l := range loads {
		f.planner.OrderSent(f.now, l)
		f.planner.OrderAccepted(f.now, l)
		for i := range f.engines {
			if f.engines[i].ID == l.Target.ID {
				f.engines[i].Versions[l.Model] = l.Version
			}
		}
	}
	f.now = f.now.Add(time.Second)
	return loads
}

// settle carries out rounds until nothing is due.
func (f *fleet) settle(t *testing.T, wanted map[sillid.ModelID]DesiredVersion) []LoadOrder {
	t.Helper()
	var all []LoadOrder
	for range 100 {
		loads := f.round(wanted)
		if len(loads) == 0 {
			return all
		}
		all = append(all, loads...)
	}
	t.Fatal("the planner finds no end")
	return nil
}

func (f *fleet) serving(model sillid.ModelID, least sillid.WeightVersion) int {
	n := 0
	for _, e := range f.engines {
		if f.planner.records[e.ID].home == model && e.Versions[model] >= least {
			n++
		}
	}
	return n
}

func TestModelsShareEngines(t *testing.T) {
	f := newFleet(9, versions{"a": 1, "b": 1})
	wanted := map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 1}, "b": {Version: 2, MinVersion: 1}}
	f.settle(t, wanted)
	if a, b := f.serving("a", 1), f.serving("b", 1); a+b != 9 || a < 4 || b < 4 {
		t.Errorf("%d engines for a and %d for b of 9", a, b)
	}
}

// TestHalfLoadsEachVersion names versions in a row: after each one half of the
// engines serve the newest, all serve the open jobs, and each engine loads every
// second version.
func TestHalfLoadsEachVersion(t *testing.T) {
	f := newFleet(10, versions{"a": 1})
	total := 0
	for v := sillid.WeightVersion(2); v <= 9; v++ {
		wanted := map[sillid.ModelID]DesiredVersion{"a": {Version: v, MinVersion: v - 1}}
		total += len(f.settle(t, wanted))
		if n := f.serving("a", v-1); n != 10 {
			t.Fatalf("version %d: %d of 10 engines serve the open jobs", v, n)
		}
		if n := f.serving("a", v); n < 5 {
			t.Fatalf("version %d: %d of 10 engines have it", v, n)
		}
	}
	if total > 8*5+5 {
		t.Errorf("%d loads for 8 versions and 10 engines, want 45 at most", total)
	}
}

func TestLoadsAtOnce(t *testing.T) {
	for _, tc := range []struct{ engines, want int }{{1, 1}, {4, 1}, {9, 2}, {11, 2}, {39, 8}, {50, 10}} {
		f := newFleet(tc.engines, versions{"a": 1})
		loads := f.next(map[sillid.ModelID]DesiredVersion{"a": {Version: 3, MinVersion: 2}})
		if len(loads) != tc.want {
			t.Errorf("%d of %d engines load at once, want %d", len(loads), tc.engines, tc.want)
		}
	}
}

// TestRunsFinishFirst lets engines finish texts of one version before they load.
func TestRunsFinishFirst(t *testing.T) {
	wanted := map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2, FinishRuns: true}, "b": {Version: 2, MinVersion: 2}}
	// give notes that the engines took the orders and now finish their runs.
	give := func(f *fleet, loads []LoadOrder) (finishing, other int) {
		for _, l := range loads {
			f.planner.OrderSent(f.now, l)
			f.planner.OrderAccepted(f.now, l)
			if l.FinishRuns != wanted[l.Model].FinishRuns {
				t.Errorf("load %+v", l)
			}
			if l.FinishRuns {
				finishing++
			} else {
				other++
			}
		}
		return finishing, other
	}
	f := newFleet(20, versions{"a": 1, "b": 1})
	finishing, other := give(f, f.next(wanted))
	if finishing != 5 || other != 4 {
		t.Errorf("%d loads after runs and %d others, want half of 10 engines and a fifth of 20", finishing, other)
	}
	f.now = f.now.Add(loadLimit)
	finishing, other = give(f, f.next(wanted))
	if finishing != 0 || other != 4 {
		t.Errorf("%d loads after runs and %d others while engines finish runs, want 0 and 4", finishing, other)
	}
	f.now = f.now.Add(finishLimit)
	if finishing, _ = give(f, f.next(wanted)); finishing != 5 {
		t.Errorf("%d loads after runs once the orders have run out, want 5", finishing)
	}
}

func TestLoadsWaitForItems(t *testing.T) {
	f := newFleet(4, versions{"a": 1})
	if loads := f.next(map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 1, WaitingItems: 7}}); len(loads) != 0 {
		t.Errorf("engines that serve the open jobs load while items wait: %v", loads)
	}
	if loads := f.next(map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2, WaitingItems: 7}}); len(loads) != 1 {
		t.Error("engines that can't serve the open jobs don't load")
	}
}

func TestOrdersUnderWay(t *testing.T) {
	wanted := map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2}}
	t.Run("no answer", func(t *testing.T) {
		f := newFleet(1, versions{"a": 1})
		f.planner.OrderSent(f.now, f.next(wanted)[0])
		f.now = f.now.Add(unknownLimit - time.Millisecond)
		if loads := f.next(wanted); len(loads) != 0 {
			t.Error("an order whose fate is unknown is given again at once")
		}
		f.now = f.now.Add(time.Millisecond)
		if loads := f.next(wanted); len(loads) != 1 {
			t.Error("an order without an answer is never given again")
		}
	})
	t.Run("refused", func(t *testing.T) {
		f := newFleet(1, versions{"a": 1})
		l := f.next(wanted)[0]
		f.planner.OrderSent(f.now, l)
		f.planner.ObserveReport(l.Target.ID, 7, nil)
		f.planner.OrderRefused(f.now, l)
		f.now = f.now.Add(refusedPause)
		loads := f.next(wanted)
		if len(loads) != 1 || loads[0].OrderCount != 7 {
			t.Errorf("next loads %v, want one that expects 7 orders", loads)
		}
	})
	t.Run("engine starts anew", func(t *testing.T) {
		f := newFleet(1, versions{"a": 1})
		l := f.next(wanted)[0]
		f.planner.OrderSent(f.now, l)
		f.planner.OrderAccepted(f.now, l)
		f.engines[0].StartedAt = start.Add(time.Second)
		loads := f.next(wanted)
		if len(loads) != 1 || loads[0].OrderCount != 0 {
			t.Errorf("next loads %v, want one that expects no orders", loads)
		}
	})
}

func TestDrainingEnginesGetNoOrders(t *testing.T) {
	f := newFleet(1, versions{"a": 1})
	f.engines[0].State = silltarget.Draining
	if loads := f.next(map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2}}); len(loads) != 0 {
		t.Errorf("loads %v", loads)
	}
}

func TestANewHolderKeepsTheShares(t *testing.T) {
	f := newFleet(8, versions{"a": 1, "b": 1})
	wanted := map[sillid.ModelID]DesiredVersion{"a": {Version: 5, MinVersion: 5}, "b": {Version: 5, MinVersion: 5}}
	f.settle(t, wanted)
	f.planner = NewPlanner()
	if loads := f.next(wanted); len(loads) != 0 {
		t.Errorf("a new holder orders %d loads though every engine serves its model", len(loads))
	}
}

// TestLaggardsLoadFirst names the next version before a job asks for more than
// the first one: the engines that already have the second one go on serving.
func TestLaggardsLoadFirst(t *testing.T) {
	f := newFleet(5, versions{"a": 2})
	f.engines[3].Versions["a"] = 1
	f.engines[4].Versions["a"] = 1
	loads := f.settle(t, map[sillid.ModelID]DesiredVersion{"a": {Version: 3, MinVersion: 1}})
	if len(loads) != 3 || loads[0].Target.ID != "e03" || loads[1].Target.ID != "e04" {
		t.Errorf("loads %+v, want e03 and e04 first of 3", loads)
	}
}
