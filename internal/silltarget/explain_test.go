package silltarget

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestExplainNamesTheExclusion checks the reason for which each target is left out.
func TestExplainNamesTheExclusion(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		want    Exclusion
		query   Query
		prepare func(d *Directory, run Run)
	}{
		{want: NotExcluded},
		{want: NotReady, prepare: func(d *Directory, run Run) { d.ObserveNotice(now, run, Leaving) }},
		{want: AlreadyTried, query: Query{Exclude: map[sillid.TargetID]bool{"i-0": true}}},
		{want: InBackoff, prepare: func(d *Directory, _ Run) {
			g, _ := d.Pick(now, Query{Pool: "p"})
			d.Release(now, g, Unreachable)
		}},
		{want: AtLimit, prepare: func(d *Directory, run Run) {
			d.ObserveLimit(now, now, run, sillrate.Notice{Kind: sillrate.Named, Limit: 1}, true)
			d.Deny(now, run, sillrate.Interactive, time.Minute)
		}},
		{want: Full, query: Query{FreeOnly: true}, prepare: func(d *Directory, _ Run) {
			for range 2 {
				d.Pick(now, Query{Pool: "p"})
			}
		}},
		{want: TooSlow, query: Query{MaxResponseTime: time.Millisecond}, prepare: func(d *Directory, _ Run) {
			g, _ := d.Pick(now, Query{Pool: "p"})
			d.Observe(now, g, nil, time.Second)
		}},
		{want: NotFaster, query: Query{MaxUnitLatency: time.Millisecond}},
		{want: WrongVersion, query: Query{Model: "m", MinVersion: 4}},
		{want: WrongVersion, query: Query{Model: "m", ExactVersion: 2}},
	} {
		t.Run(string(tc.want), func(t *testing.T) {
			d := NewDirectory()
			e := Entry{ID: "i-0", Pool: "p", State: Ready, Slots: 2, StartedAt: now, Versions: map[sillid.ModelID]sillid.WeightVersion{"m": 3}}
			d.Apply(e)
			d.Apply(Entry{ID: "i-1", Pool: "other", State: Ready, Slots: 2})
			if tc.prepare != nil {
				tc.prepare(d, e.Run())
			}
			tc.query.Pool = "p"
			list := d.Explain(now, tc.query)
			if len(list) != 1 || list[0].ID != "i-0" || list[0].Exclusion != tc.want {
				t.Errorf("explanation %+v, want that i-0 is %q", list, tc.want)
			}
		})
	}
}

// TestExplainAgreesWithPick guards against explanations that differ from the decision or
// change it.
func TestExplainAgreesWithPick(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	d := NewDirectoryWith(Config{Seed: 7})
	for i := range 12 {
		d.Apply(Entry{
			ID: sillid.TargetID(fmt.Sprintf("i-%d", i)), Pool: sillid.PoolID(fmt.Sprintf("p-%d", i%2)), Zone: sillid.ZoneID(fmt.Sprintf("z-%d", i%3)),
			State: Ready, Slots: 1 + i%3, Versions: map[sillid.ModelID]sillid.WeightVersion{"m": sillid.WeightVersion(1 + i%2)},
		})
	}
	outcomes := []Outcome{Answered, Answered, Rejected, Unreachable, Broken, Abandoned}
	var grants []Grant
	picked := 0
	for range 2000 {
		now = now.Add(time.Duration(random.IntN(30)) * time.Millisecond)
		q := Query{
			Pool: sillid.PoolID(fmt.Sprintf("p-%d", random.IntN(2))), Zone: "z-1", FreeOnly: random.IntN(2) == 0,
			PreferNewest: random.IntN(2) == 0, IncludeBackingOff: random.IntN(4) == 0, Cached: "i-4", CachedSaving: 1,
		}
		if random.IntN(2) == 0 {
			q.Model, q.MinVersion = "m", sillid.WeightVersion(1+random.IntN(2))
		}
		if random.IntN(3) == 0 {
			q.MaxResponseTime = 40 * time.Millisecond
		}
		list := d.Explain(now, q)
		if again := d.Explain(now, q); !reflect.DeepEqual(list, again) {
			t.Fatalf("explanations of one moment differ: %+v and %+v", list, again)
		}
		eligible := slices.ContainsFunc(list, func(c Candidate) bool { return c.Exclusion == NotExcluded })
		g, ok := d.Pick(now, q)
		if ok != eligible || (ok && (g.ID != list[0].ID || list[0].Exclusion != NotExcluded)) {
			t.Fatalf("picked %q (%t), explained %+v", g.ID, ok, list)
		}
		if ok {
			picked++
			grants = append(grants, g)
		}
		if len(grants) > random.IntN(14) {
			last := len(grants) - 1
			d.Observe(now, grants[last], nil, time.Duration(1+random.IntN(40))*time.Millisecond)
			d.Release(now, grants[last], outcomes[random.IntN(len(outcomes))])
			grants = grants[:last]
		}
	}
	if picked < 500 || picked > 1900 {
		t.Errorf("%d of 2000 queries found a target, so the test shows little", picked)
	}
}
