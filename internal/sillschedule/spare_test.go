package sillschedule

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func drawJobGroups(t *rapid.T) []JobGroup {
	groups := make([]JobGroup, rapid.IntRange(1, 27).Draw(t, "groups"))
	returning := rapid.IntRange(0, len(groups)/2).Draw(t, "returning")
	for i := range groups {
		g := &groups[i]
		*g = JobGroup{Name: fmt.Sprint("g", i), Returning: i < returning, Begun: rapid.Bool().Draw(t, "begun")}
		switch rapid.IntRange(0, 5).Draw(t, "state") {
		case 0:
			g.Complete = true
		case 1:
			g.Failed = true
		default:
			g.Left = float64(rapid.IntRange(1, 400).Draw(t, "left"))
			g.Longest = g.Left / 2
		}
	}
	return groups
}

// TestSpareGroups guards against a trainer that waits for a spare group: for one that returns, for
// one without which too few are complete, or while the spare one has less work left than one that
// is needed.
func TestSpareGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := drawJobGroups(t)
		required := rapid.IntRange(0, len(groups)).Draw(t, "required")
		spare := Spare(required, groups)
		possible, failed := 0, 0
		for i := range groups {
			if groups[i].Failed {
				failed++
			} else {
				possible++
			}
		}
		if len(spare) > max(len(groups)-required, 0) {
			t.Fatalf("%d of %d groups are spare, %d are required", len(spare), len(groups), required)
		}
		if len(spare) > 0 && (required == 0 || possible < required) {
			t.Fatalf("%d groups are spare; %d are required and %d possible", len(spare), required, possible)
		}
		for i := range groups {
			a := &groups[i]
			if !spare[a.Name] {
				continue
			}
			if a.Returning || a.Complete && !a.Failed {
				t.Fatalf("group %+v is spare", *a)
			}
			for j := range groups {
				b := &groups[j]
				if !spare[b.Name] && !b.Complete && !b.Failed && !b.Returning && !a.Failed && a.cost() < b.cost() {
					t.Fatalf("group %+v is spare, and %+v is needed", *a, *b)
				}
			}
		}
	})
}

// TestSpareGroupBecomesNeeded guards against a trainer that waits for a group that failed, or
// for as many groups as were left, while a spare one waits.
func TestSpareGroupBecomesNeeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		groups := drawJobGroups(t)
		required := rapid.IntRange(1, len(groups)).Draw(t, "required")
		before := Spare(required, groups)
		if len(before) == 0 {
			return
		}
		var needed []int
		for i := range groups {
			if g := groups[i]; !before[g.Name] && !g.Complete && !g.Failed && !g.Returning {
				needed = append(needed, i)
			}
		}
		if len(needed) == 0 {
			return
		}
		failing := rapid.SampledFrom(needed).Draw(t, "failing")
		groups[failing].Failed = true
		after := Spare(required, groups)
		became := 0
		for name := range before {
			if !after[name] {
				became++
			}
		}
		viable := 0
		for i := range groups {
			if before[groups[i].Name] && !groups[i].Failed {
				viable++
			}
		}
		if viable > 0 && became == 0 {
			t.Fatalf("group %d failed and no spare group is needed instead", failing)
		}
	})
}

// TestBegunGroupStaysNeeded guards against groups that take turns in being spare as their
// estimates vary, so that none is complete.
func TestBegunGroupStaysNeeded(t *testing.T) {
	groups := []JobGroup{{Name: "begun", Left: 110, Begun: true}, {Name: "new", Left: 100}}
	if spare := Spare(1, groups); spare["begun"] {
		t.Error("a group that has begun is spare for one with little less work")
	}
	groups[0].Left = 150
	if spare := Spare(1, groups); !spare["begun"] {
		t.Error("a group with far more work left is needed")
	}
}
