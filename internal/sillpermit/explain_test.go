package sillpermit

import (
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestExplainAgreesWithDecide guards against explanations that take a permit, or tell another time
// than that at which a permit is granted.
func TestExplainAgreesWithDecide(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 8))
	allowance := sillrate.ColdAllowance(8, 1.5, 5)
	asked, silent := newGranter(), newGranter()
	granted := 0
	for now, i := start, 0; i < 5000; i++ {
		now = now.Add(time.Duration(random.IntN(200)) * time.Millisecond)
		a := Ask{Run: limitedRun, Class: sillrate.Class(random.IntN(2)), Organisation: sillid.OrganisationID([]string{"a", "b"}[random.IntN(2)])}
		limit, cold := sillrate.PerSecond(4), &allowance
		switch random.IntN(3) {
		case 0:
			limit = 0
		case 1:
			cold = nil
		}
		s := asked.explain(now, a, limit, cold)
		if again := asked.explain(now, a, limit, cold); !reflect.DeepEqual(s, again) {
			t.Fatalf("explanations of one moment differ: %+v and %+v", s, again)
		}
		v := asked.decide(now, a, limit, cold)
		if v != silent.decide(now, a, limit, cold) {
			t.Fatalf("ask %d: the explanation changed the verdict %+v", i, v)
		}
		if v.Granted != (s.Next <= 0) || !s.NextKnown {
			t.Fatalf("ask %d: explained %+v, verdict %+v", i, s, v)
		}
		if v.Granted {
			granted++
		}
	}
	if granted < 1000 || granted > 4500 {
		t.Errorf("%d of 5000 asks were granted, so the test shows little", granted)
	}
}

// TestExplainTellsTheGranter checks what is told of permits that other gateways grant, or none.
func TestExplainTellsTheGranter(t *testing.T) {
	cold := &silltarget.ColdGrant{Allowance: sillrate.ColdAllowance(8, 1.5, 5)}
	for _, tc := range []struct {
		name        string
		place       Place
		limit       sillrate.PerSecond
		cold        *silltarget.ColdGrant
		unreachable bool
		want        State
	}{
		{"no limit", Place{Self: true}, 0, nil, false, State{}},
		{"here", Place{Self: true, Gateway: "g"}, 4, nil, false, State{
			Granter: GrantedHere, Gateway: "g", Rates: []Rate{{NamedLimit, 4, 4}}, Next: 250 * time.Millisecond, NextKnown: true,
		}},
		{"here and cold", Place{Self: true, Gateway: "g"}, 0, cold, false, State{
			Granter: GrantedHere, Gateway: "g", Rates: []Rate{{ColdShare, cold.Allowance.Rate, cold.Allowance.Burst}},
			Next: time.Duration(float64(time.Second) / float64(cold.Allowance.Rate)), NextKnown: true,
		}},
		{"here, settled and cold", Place{Self: true, Gateway: "g", Settled: true}, 0, cold, false, State{
			Granter: GrantedHere, Gateway: "g", Rates: []Rate{{ColdShare, cold.Allowance.SettledRate, cold.Allowance.Burst}},
			Next: time.Duration(float64(time.Second) / float64(cold.Allowance.SettledRate)), NextKnown: true,
		}},
		{"a peer", Place{Gateway: "h", Address: "127.0.0.1:1"}, 4, cold, false, State{
			Granter: GrantedByPeer, Gateway: "h", Rates: []Rate{{NamedLimit, 4, 4}, {ColdShare, cold.Allowance.Rate, cold.Allowance.Burst}},
		}},
		{"a peer that does not answer", Place{Gateway: "h", Address: "127.0.0.1:1"}, 4, nil, true, State{
			Granter: GrantedBySlots, Rates: []Rate{{NamedLimit, 1, 1}}, NextKnown: true,
		}},
		{"no granter is known, and cold", Place{}, 40, cold, false, State{
			Granter: GrantedBySlots, Rates: []Rate{{ColdShare, cold.Allowance.SlotRate, 1}}, NextKnown: true,
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newMember(func() Place { return tc.place }, Position{Index: 0, Count: 1})
			now := time.Now()
			m.cfg.Now = func() time.Time { return now }
			if tc.limit > 0 {
				m.observe(tc.limit)
			}
			if tc.unreachable {
				m.markUnreachable(tc.place.Address)
			}
			if got := m.Explain(Ask{Run: limitedRun, Cold: tc.cold}); !reflect.DeepEqual(got, tc.want) {
				t.Errorf("state %+v, want %+v", got, tc.want)
			}
			if len(m.granter.runs) > 0 || len(m.slotters) > 0 {
				t.Error("the question left a trace")
			}
		})
	}
}
