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

// fleet is a set of engines that carry out orders immediately.
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

func (f *fleet) next(desired map[sillid.ModelID]DesiredVersion) []LoadOrder {
	return f.planner.Next(f.now, f.engines, desired)
}

// round carries out the orders that are due now and returns them.
func (f *fleet) round(desired map[sillid.ModelID]DesiredVersion) []LoadOrder {
	loads := f.next(desired)
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

// settle carries out rounds until no order is due, and returns all orders.
func (f *fleet) settle(t *testing.T, desired map[sillid.ModelID]DesiredVersion) []LoadOrder {
	t.Helper()
	var all []LoadOrder
	for range 100 {
		loads := f.round(desired)
		if len(loads) == 0 {
			return all
		}
		all = append(all, loads...)
	}
	t.Fatal("the planner still returns orders after 100 rounds")
	return nil
}

func (f *fleet) serving(model sillid.ModelID, least sillid.WeightVersion) int {
	n := 0
	for _, e := range f.engines {
		if f.planner.states[e.ID].model == model && e.Versions[model] >= least {
			n++
		}
	}
	return n
}

func TestModelsShareEngines(t *testing.T) {
	f := newFleet(9, versions{"a": 1, "b": 1})
	desired := map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 1}, "b": {Version: 2, MinVersion: 1}}
	f.settle(t, desired)
	if a, b := f.serving("a", 1), f.serving("b", 1); a+b != 9 || a < 4 || b < 4 {
		t.Errorf("%d engines for a and %d for b of 9", a, b)
	}
}

// TestHalfLoadsEachVersion announces versions in a row. After each of them half of
// the engines have the newest version and all can serve the open jobs; each engine
// loads every second version.
func TestHalfLoadsEachVersion(t *testing.T) {
	f := newFleet(10, versions{"a": 1})
	total := 0
	for v := sillid.WeightVersion(2); v <= 9; v++ {
		desired := map[sillid.ModelID]DesiredVersion{"a": {Version: v, MinVersion: v - 1}}
		total += len(f.settle(t, desired))
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

// TestRunsFinishFirst has the engines of model a finish their running generations
// before they load, and those of model b load immediately.
func TestRunsFinishFirst(t *testing.T) {
	desired := map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2, FinishRuns: true}, "b": {Version: 2, MinVersion: 2}}
	// accept records that the engines accepted the orders and counts them by kind.
	accept := func(f *fleet, loads []LoadOrder) (finishing, other int) {
		for _, l := range loads {
			f.planner.OrderSent(f.now, l)
			f.planner.OrderAccepted(f.now, l)
			if l.FinishRuns != desired[l.Model].FinishRuns {
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
	finishing, other := accept(f, f.next(desired))
	if finishing != 5 || other != 4 {
		t.Errorf("%d orders that finish runs first and %d others, want half of 10 engines and a fifth of 20", finishing, other)
	}
	f.now = f.now.Add(loadTimeout)
	finishing, other = accept(f, f.next(desired))
	if finishing != 0 || other != 4 {
		t.Errorf("%d orders that finish runs first and %d others while engines finish runs, want 0 and 4", finishing, other)
	}
	f.now = f.now.Add(finishTimeout)
	if finishing, _ = accept(f, f.next(desired)); finishing != 5 {
		t.Errorf("%d orders that finish runs first after the earlier ones expired, want 5", finishing)
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
	desired := map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2}}
	t.Run("no reply", func(t *testing.T) {
		f := newFleet(1, versions{"a": 1})
		f.planner.OrderSent(f.now, f.next(desired)[0])
		f.now = f.now.Add(unconfirmedTimeout - time.Millisecond)
		if loads := f.next(desired); len(loads) != 0 {
			t.Error("an order without a reply is repeated before it has expired")
		}
		f.now = f.now.Add(time.Millisecond)
		if loads := f.next(desired); len(loads) != 1 {
			t.Error("an order without a reply is not repeated after it has expired")
		}
	})
	t.Run("refused", func(t *testing.T) {
		f := newFleet(1, versions{"a": 1})
		l := f.next(desired)[0]
		f.planner.OrderSent(f.now, l)
		f.planner.ObserveReport(l.Target.ID, 7, nil)
		f.planner.OrderRefused(f.now, l)
		f.now = f.now.Add(refusedBackoff)
		loads := f.next(desired)
		if len(loads) != 1 || loads[0].OrderCount != 7 {
			t.Errorf("next orders %v, want one with order count 7", loads)
		}
	})
	t.Run("engine restarts", func(t *testing.T) {
		f := newFleet(1, versions{"a": 1})
		l := f.next(desired)[0]
		f.planner.OrderSent(f.now, l)
		f.planner.OrderAccepted(f.now, l)
		f.engines[0].StartedAt = start.Add(time.Second)
		loads := f.next(desired)
		if len(loads) != 1 || loads[0].OrderCount != 0 {
			t.Errorf("next orders %v, want one with order count 0", loads)
		}
	})
}

func TestDrainingEnginesGetNoOrders(t *testing.T) {
	f := newFleet(1, versions{"a": 1})
	f.engines[0].State = silltarget.Draining
	if loads := f.next(map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2}}); len(loads) != 0 {
		t.Errorf("orders %v for a draining engine", loads)
	}
}

func TestNewLeaseHolderKeepsAssignments(t *testing.T) {
	f := newFleet(8, versions{"a": 1, "b": 1})
	desired := map[sillid.ModelID]DesiredVersion{"a": {Version: 5, MinVersion: 5}, "b": {Version: 5, MinVersion: 5}}
	f.settle(t, desired)
	f.planner = NewPlanner()
	if loads := f.next(desired); len(loads) != 0 {
		t.Errorf("a new lease holder orders %d loads although every engine has the version of its model", len(loads))
	}
}

// TestEnginesWithOldestVersionLoadFirst announces version 3 while the open jobs
// still accept version 1: the engines with version 1 load before those with version 2.
func TestEnginesWithOldestVersionLoadFirst(t *testing.T) {
	f := newFleet(5, versions{"a": 2})
	f.engines[3].Versions["a"] = 1
	f.engines[4].Versions["a"] = 1
	loads := f.settle(t, map[sillid.ModelID]DesiredVersion{"a": {Version: 3, MinVersion: 1}})
	if len(loads) != 3 || loads[0].Target.ID != "e03" || loads[1].Target.ID != "e04" {
		t.Errorf("loads %+v, want e03 and e04 first of 3", loads)
	}
}
