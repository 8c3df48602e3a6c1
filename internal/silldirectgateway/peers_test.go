package silldirectgateway

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// TestOldViewIsNotSettled guards against a gateway that is cut off and grants as if no other
// one could grant for the same target.
func TestOldViewIsNotSettled(t *testing.T) {
	m := newTestMembership("self")
	write, err := sillcluster.Encode(sillcluster.Member{Instance: "self", Run: m.run, Zone: "z", Renewal: 1, GrantsPermits: true})
	if err != nil {
		t.Fatal(err)
	}
	change := silltable.Change{Row: silltable.Row{Key: write.Key, Value: write.Value, Revision: 1}}
	if err := m.members.Apply(sillclock.Boot().Add(-time.Minute), []silltable.Change{change}); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name string
		age  time.Duration
		read bool
		want bool
	}{
		{"current", time.Second, true, true},
		{"old", 2 * time.Second, true, false},
		{"never read", 0, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m.membersAge = func() (time.Duration, bool) { return tc.age, tc.read }
			if p := m.permitPlace(silltarget.Run{Target: "a"}); !p.Self || p.Settled != tc.want {
				t.Errorf("place %+v, want one of this process, settled: %t", p, tc.want)
			}
		})
	}
}
