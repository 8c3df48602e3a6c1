package sillschedule

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestShares guards against shares that together exceed the slots by more than one an owner,
// against an owner without any, and against slots that nobody may use while items wait.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := make([]Demand, rapid.IntRange(1, 10).Draw(t, "owners"))
		for i := range demands {
			demands[i] = Demand{Owner: fmt.Sprint(i), Items: rapid.IntRange(1, 300).Draw(t, "items")}
			demands[i].Weight = float64(demands[i].Items) * rapid.Float64Range(0.1, 1).Draw(t, "worth")
		}
		slots := rapid.IntRange(0, 400).Draw(t, "slots")
		shares, items := 0, 0
		for _, d := range demands {
			share := Share(slots, demands, d.Owner)
			if share < 1 || share > d.Items {
				t.Fatalf("owner %s of %d items has a share of %d", d.Owner, d.Items, share)
			}
			shares, items = shares+share, items+d.Items
		}
		if shares > slots+len(demands) {
			t.Fatalf("shares of %d slots in sum, there are %d", shares, slots)
		}
		if shares < min(slots, items) {
			t.Fatalf("shares of %d slots in sum for %d items, there are %d", shares, items, slots)
		}
	})
}

func TestAllowance(t *testing.T) {
	var a Allotment
	for _, tc := range []struct {
		name                 string
		after                time.Duration
		share, running, free int
		want                 int
	}{
		{"below the share", 0, 10, 4, 0, 6},
		{"at the share, at once", 50 * time.Millisecond, 10, 10, 80, 0},
		{"at the share, slots stay free", 150 * time.Millisecond, 10, 10, 80, 10},
		{"just borrowed", 160 * time.Millisecond, 10, 20, 70, 0},
		{"no free slots", 400 * time.Millisecond, 10, 20, 0, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := a.Allow(start.Add(tc.after), tc.share, tc.running, tc.free); got != tc.want {
				t.Errorf("may start %d items, want %d", got, tc.want)
			}
		})
	}
}
