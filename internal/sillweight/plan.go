// Package sillweight rolls a weight version out to every target of a model.
//
// A Plan is published with the version, and gateways push it to the agents. It gives
// each target a position in a distribution tree, along which agents copy the weights
// from each other, and in a swap group, whose members load the version one after the
// other. The Swapper of each agent decides on its own when to fetch and load; there
// is no central coordinator.
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
	// Address is the agent's address as "IP:PORT".
	Address string `json:"address" cbor:"2,keyasint"`
	// Group is the number of the target's swap group, from 0 to Groups-1 of the plan.
	Group int `json:"group" cbor:"3,keyasint"`
}

// Plan describes how one version reaches the targets of a model. It does not change
// once it is published.
type Plan struct {
	Model   sillid.ModelID       `json:"model" cbor:"1,keyasint"`
	Version sillid.WeightVersion `json:"version" cbor:"2,keyasint"`
	// Hash is the SHA-256 of the weights in hexadecimal digits; empty if not known.
	Hash string `json:"hash" cbor:"3,keyasint"`
	// Groups is the number of swap groups; at least 1.
	Groups int `json:"groups" cbor:"4,keyasint"`
	// MaxFailedPerGroup is the number of failed targets up to which a group continues.
	// The rollout takes at most Groups*(MaxFailedPerGroup+1) targets out of service.
	MaxFailedPerGroup int `json:"spare" cbor:"5,keyasint"`
	// Members are in the order of the distribution tree: the first Seeds fetch from the
	// weight store, the others from their parent.
	Members []Member `json:"members" cbor:"6,keyasint"`
}

// maxOutOfService returns how many targets may be out of service at once, given the
// serving floor as a share of them. A pool too small for its floor swaps one target
// at a time.
func maxOutOfService(targets int, floor float64) int {
	return max(1, int(math.Floor(float64(targets)*(1-floor)+1e-9)))
}

// NewPlan returns the plan of a version; previous may be nil. From one plan to the
// next, groups only stay, merge or split. No member of a new group can then load
// while another member of that group still loads for the previous plan, and while one
// plan replaces the other, the number of targets out of service stays within the
// larger of both plans' limits.
func NewPlan(previous *Plan, next Plan, members []Member, floor float64) Plan {
	limit := maxOutOfService(len(members), floor)
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

// sortMembers orders the members by a hash of target and version, so that each
// version has other seeds and no target is a seed for long.
func sortMembers(members []Member, version sillid.WeightVersion) {
	rank := make(map[sillid.TargetID]uint64, len(members))
	for _, m := range members {
		h := fnv.New64a()
		// hash.Hash.Write never fails.
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

// assignGroups assigns each member to the smallest of the groups that are allowed for
// it: a member of the previous plan to those congruent to its previous group modulo
// step, a new member to any. known holds the previous groups modulo step.
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

// position is the position of one target in a plan.
type position struct {
	// sources are the target's ancestors in the distribution tree, the parent first;
	// empty for a seed.
	sources []sillid.TargetID
	// before and after are the other members of the group, in the order in which they load.
	before []sillid.TargetID
	after  []sillid.TargetID
}

// position returns a target's position; false if the plan does not contain the target,
// which then loads the version before it serves.
func (p *Plan) position(target sillid.TargetID) (position, bool) {
	index := -1
	for i, m := range p.Members {
		if m.Target == target {
			index = i
		}
	}
	if index < 0 {
		return position{}, false
	}
	var at position
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

// parent returns the index of the member that the member at index i fetches from; i is
// at least Seeds.
func parent(i int) int {
	return (i - Seeds) / FanOut
}
