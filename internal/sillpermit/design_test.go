package sillpermit

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/sillsoak"
)

// limitBound is the users' bound on requests to a target that names a limit.
var limitBound = sillsoak.LimitBound{Window: 4 * time.Second}

// design decides whether a gateway may send a request now.
type design func(now time.Time, gateway int) bool

// designs returns the ways of keeping a limit over gateways that docs/design/0009-limits.md
// weighs.
func designs(gateways int, limit sillrate.PerSecond) map[string]design {
	buckets := make([]*sillrate.Bucket, gateways)
	for i := range buckets {
		buckets[i] = sillrate.NewBucket(start, limit/sillrate.PerSecond(gateways))
	}
	g := newGranter()
	slotters := make([]slotter, gateways)
	return map[string]design{
		"equal shares": func(now time.Time, i int) bool {
			ok, _ := buckets[i].Take(now, sillrate.Interactive)
			return ok
		},
		"one granter": func(now time.Time, _ int) bool { return g.decide(now, Ask{Run: limitedRun}, limit, nil).Granted },
		"time slots": func(now time.Time, i int) bool {
			return slotters[i].take(now, limit/slotShare, Position{Index: i, Count: gateways}).Granted
		},
	}
}

// TestDesigns plays the designs with some gateways that always have requests and others that
// have none. Only the granter's figures are checked.
func TestDesigns(t *testing.T) {
	const (
		length = 5 * time.Minute
		tick   = 10 * time.Millisecond
	)
	for _, tc := range []struct {
		name           string
		gateways, busy int
		limit          sillrate.PerSecond
	}{
		{"8 gateways, 2 busy, 0.3 a second", 8, 2, 0.3},
		{"8 gateways, all busy, 0.3 a second", 8, 8, 0.3},
		{"133 gateways, 7 busy, 2 a second", 133, 7, 2},
		{"133 gateways, all busy, 2 a second", 133, 133, 2},
		{"8 gateways, 2 busy, 10 a second", 8, 2, 10},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for name, may := range designs(tc.gateways, tc.limit) {
				var sent []time.Time
				for now := start; now.Before(start.Add(length)); now = now.Add(tick) {
					for i := range tc.busy {
						if may(now, i) {
							sent = append(sent, now)
						}
					}
				}
				used := float64(len(sent)) / (float64(tc.limit) * length.Seconds())
				most, allowed := limitBound.Most(sent, start), limitBound.Allowed(float64(tc.limit))
				t.Logf("%s: %.2f of the limit used; at most %d requests in %v, %d allowed", name, used, most, limitBound.Window, allowed)
				if name == "one granter" && (used < 0.95 || most > allowed) {
					t.Errorf("the granter used %.2f of the limit, and %d of %d allowed requests", used, most, allowed)
				}
			}
		})
	}
}
