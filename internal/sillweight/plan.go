// Package sillweight rolls a weight version out to every target of a model.
//
// A Plan is published with the version and spreads to the agents like the
// bundle. It gives each target a place in a tree, along which the weights are
// copied, and in a group, whose members swap one after the other. Swapper is the
// decision at one agent; there is no central driver.
package sillweight

import (
	"hash/fnv"
	"math"
	"sort"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// Seeds is the number of targets that fetch from the weight store.
	Seeds = 3
	// FanOut is the number of targets that fetch from each target.
	FanOut = 4
)

// Member is one target of a plan.
type Member struct {
	Target sillid.TargetID `json:"target" cbor:"1,keyasint"`
	// Address is the agent's "IP:PORT".
	Address string `json:"address" cbor:"2,keyasint"`
	// Group is from 0 to below the plan's Groups.
	Group int `json:"group" cbor:"3,keyasint"`
}

// Plan tells how one version reaches the targets of a model. It does not change
// once it is published.
type Plan struct {
	Model   sillid.ModelID       `json:"model" cbor:"1,keyasint"`
	Version sillid.WeightVersion `json:"version" cbor:"2,keyasint"`
	// Hash is the SHA-256 of the weights in hexadecimal digits; empty if not known.
	Hash string `json:"hash" cbor:"3,keyasint"`
	// Groups is the number of groups; at least 1.
	Groups int `json:"groups" cbor:"4,keyasint"`
	// MaxFailedPerGroup is the number of failed targets at which a group still goes on.
	// Groups*(MaxFailedPerGroup+1) targets at most are out of serving for the rollout.
	MaxFailedPerGroup int `json:"spare" cbor:"5,keyasint"`
	// Members are in the order of the tree.
	Members []Member `json:"members" cbor:"6,keyasint"`
}

// maxOut returns how many targets may be out of serving at once. A pool too
// small for its floor swaps one target at a time.
func maxOut(targets int, floor float64) int {
	return max(1, int(math.Floor(float64(targets)*(1-floor)+1e-9)))
}

// NewPlan returns the plan of a version; previous may be nil. Groups only stay,
// merge or split from one plan to the next. Then no group of the new plan has a
// load of its own beside one of the previous plan, and the targets out of serving
// stay within the larger of both plans' bounds while one replaces the other.
func NewPlan(previous *Plan, next Plan, members []Member, floor float64) Plan {
	limit := maxOut(len(members), floor)
	next.MaxFailedPerGroup = min(1, limit-1)
	next.Groups = limit / (next.MaxFailedPerGroup + 1)
	known := make(map[sillid.TargetID]int)
	step := next.Groups
	if previous != nil {
		if next.Groups > previous.Groups {
			next.Groups -= next.Groups % previous.Groups
		}
		step = min(next.Groups, previous.Groups)
		for _, m := range previous.Members {
			known[m.Target] = m.Group % step
		}
	}
	next.Members = append([]Member(nil), members...)
	sortMembers(next.Members, next.Version)
	assignGroups(next.Members, next.Groups, step, known)
	return next
}

// sortMembers orders the tree anew for each version, so that no target is a
// seed for long.
func sortMembers(members []Member, version sillid.WeightVersion) {
	rank := make(map[sillid.TargetID]uint64, len(members))
	for _, m := range members {
		h := fnv.New64a()
		// Write of a hash never fails.
		_, _ = h.Write([]byte{byte(version), byte(version >> 8), byte(version >> 16)})
		_, _ = h.Write([]byte(m.Target))
		rank[m.Target] = h.Sum64()
	}
	sort.Slice(members, func(i, j int) bool {
		a, b := members[i].Target, members[j].Target
		if rank[a] != rank[b] {
			return rank[a] < rank[b]
		}
		return a < b
	})
}

// assignGroups puts each member into the smallest group that it may be in: a
// known one into those that are congruent to its own modulo step.
func assignGroups(members []Member, groups, step int, known map[sillid.TargetID]int) {
	size := make([]int, groups)
	assign := func(m *Member, first, stride int) {
		m.Group = first
		for g := first; g < groups; g += stride {
			if size[g] < size[m.Group] {
				m.Group = g
			}
		}
		size[m.Group]++
	}
	for i := range members {
		if g, ok := known[members[i].Target]; ok {
			assign(&members[i], g, step)
		}
	}
	for i := range members {
		if _, ok := known[members[i].Target]; !ok {
			assign(&members[i], 0, 1)
		}
	}
}

// place is where one target stands in a plan.
type place struct {
	// sources are the targets to fetch from, the nearest first; empty for a seed.
	sources []sillid.TargetID
	// before and after are the other members of the group, in their order.
	before []sillid.TargetID
	after  []sillid.TargetID
}

// place returns a target's place; false if the plan does not have the target,
// which then loads the version before it serves.
func (p *Plan) place(target sillid.TargetID) (place, bool) {
	index := -1
	for i, m := range p.Members {
		if m.Target == target {
			index = i
		}
	}
	if index < 0 {
		return place{}, false
	}
	var at place
	for i := index; i >= Seeds; {
		i = parent(i)
		at.sources = append(at.sources, p.Members[i].Target)
	}
	for i, m := range p.Members {
		switch {
		case m.Group != p.Members[index].Group || i == index:
		case i < index:
			at.before = append(at.before, m.Target)
		default:
			at.after = append(at.after, m.Target)
		}
	}
	return at, true
}

// parent returns the position that the one at i, from Seeds on, fetches from.
func parent(i int) int {
	return (i - Seeds) / FanOut
}
