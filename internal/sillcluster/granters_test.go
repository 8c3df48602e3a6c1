package sillcluster

import (
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// granterPlay applies rows of granters at times.
type granterPlay struct {
	*testing.T
	members *Members
	renewal uint64
}

// write applies a page with the rows of some granters.
func (p *granterPlay) write(at time.Duration, rows ...Member) {
	p.Helper()
	var page []silltable.Change
	for _, m := range rows {
		p.renewal++
		m.Run, m.Renewal, m.GrantsPermits = Run("run-"+string(m.Instance))+m.Run, p.renewal, true
		page = append(page, change(p.T, m))
	}
	if err := p.members.Apply(start.Add(at), page); err != nil {
		p.Fatal(err)
	}
}

func (p *granterPlay) check(at time.Duration, instance sillid.InstanceID, want bool) {
	p.Helper()
	if got := p.members.IsSettledGranter(start.Add(at), "n", Run("run-"+string(instance))); got != want {
		p.Errorf("%s is settled after %v: %t, want %t", instance, at, got, want)
	}
}

// firstAndSecond returns the instances with the first two ranks of three.
func firstAndSecond(t *testing.T) (a, b sillid.InstanceID) {
	t.Helper()
	list := []Member{{Instance: "i0"}, {Instance: "i1"}, {Instance: "i2"}}
	a = first(list, "n").Instance
	for _, m := range list {
		if m.Instance != a && (b == "" || isAhead("n", m, Member{Instance: b})) {
			b = m.Instance
		}
	}
	return a, b
}

// TestSettledGranter guards against two granters that each take itself for the only one.
func TestSettledGranter(t *testing.T) {
	a, b := firstAndSecond(t)
	second := time.Second
	for name, play := range map[string]func(p *granterPlay){
		"just started": func(p *granterPlay) {
			p.write(0, Member{Instance: a})
			p.check(settleTime-1, a, false)
			p.check(settleTime, a, true)
		},
		"one that ranks behind comes": func(p *granterPlay) {
			p.write(0, Member{Instance: a})
			p.write(5*second, Member{Instance: a}, Member{Instance: b})
			p.check(5*second, a, true)
		},
		"one that ranks before comes": func(p *granterPlay) {
			p.write(0, Member{Instance: b})
			p.write(5*second, Member{Instance: a}, Member{Instance: b})
			p.check(5*second, b, false)
			p.check(5*second, a, false)
			p.check(9*second, a, true)
		},
		"the one before goes": func(p *granterPlay) {
			p.write(0, Member{Instance: a}, Member{Instance: b})
			p.write(5*second, Member{Instance: a, Leaving: true}, Member{Instance: b})
			p.check(8*second, b, false)
			p.check(9*second, b, true)
		},
		"the one before goes and comes back": func(p *granterPlay) {
			p.write(0, Member{Instance: a}, Member{Instance: b})
			p.write(5*second, Member{Instance: b})
			p.write(5500*time.Millisecond, Member{Instance: a}, Member{Instance: b})
			p.check(9*second, a, false)
			p.check(9*second, b, false)
			p.check(9500*time.Millisecond, a, true)
		},
		"a new run": func(p *granterPlay) {
			p.write(0, Member{Instance: a})
			p.write(5*second, Member{Instance: a, Run: "-2"})
			p.check(6*second, a, false)
			p.check(6*second, a+"-2", false)
			p.check(9*second, a+"-2", true)
		},
		"more changes than are kept": func(p *granterPlay) {
			p.write(0, Member{Instance: a})
			for i := range 2 * maxGranterLists {
				p.write(5*second, Member{Instance: a}, Member{Instance: b, Capacity: 0.1 + float64(i)/1000})
			}
			p.check(5*second, a, false)
			p.check(9*second, a, true)
		},
	} {
		t.Run(name, func(t *testing.T) { play(&granterPlay{T: t, members: NewMembers(func(Member) {})}) })
	}
}
