package sillmembership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/wasabisill/wasabisill/internal/sillhash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Subsetting places each zone's agents on a ring, ordered by hash. The gateways
// that use the zone are ranked by hash, and gateway i of n takes a window of
// consecutive agents that starts at the fraction i/n of the ring. So each agent
// gets the same number of gateways, plus or minus one for each group of gateways,
// and adding or removing a gateway or an agent shifts each window by one or two
// agents.

const (
	// localParts/subsetParts is the fraction of a subset in the gateway's own zone.
	localParts  = 2
	subsetParts = 3
)

// subset picks this gateway's agents of one pool.
func (v *View) subset(zones map[sillid.ZoneID][]Peer) []Peer {
	total := 0
	for _, peers := range zones {
		total += len(peers)
	}
	if total <= v.cfg.Subset {
		return slices.Concat(values(zones)...)
	}
	own := zones[v.cfg.Zone]
	picked := window(own, v.cfg.Subset*localParts/subsetParts, v.position(v.cfg.Zone))
	// The other zones fill the rest of the subset in proportion to their sizes.
	missing := v.cfg.Subset - countUsable(picked)
	for zone, peers := range zones {
		if zone == v.cfg.Zone {
			continue
		}
		size := roundUp(missing*len(peers), total-len(own))
		picked = append(picked, window(peers, size, v.position(zone))...)
	}
	return picked
}

func values(zones map[sillid.ZoneID][]Peer) [][]Peer {
	lists := make([][]Peer, 0, len(zones))
	for _, peers := range zones {
		lists = append(lists, peers)
	}
	return lists
}

func roundUp(a, b int) int {
	return (a + b - 1) / b
}

// position returns this gateway's rank, as a fraction in [0, 1), in its group of
// the gateways that use the zone: those in the zone, or those in other zones.
func (v *View) position(zone sillid.ZoneID) float64 {
	own := hash(string(v.cfg.Gateway))
	before, all := 0, 0
	for _, g := range v.gateways {
		if (g.zone == zone) != (v.cfg.Zone == zone) {
			continue
		}
		all++
		if g.hash < own {
			before++
		}
	}
	return float64(before) / float64(max(all, 1))
}

// window returns consecutive peers of the ring, starting at the fraction position,
// until size of them are usable. Suspect peers in between are included, so that
// they are dialled again; the window has at most 2*size peers.
func window(peers []Peer, size int, position float64) []Peer {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.hash, b.hash) })
	start := int(position * float64(len(peers)))
	var picked []Peer
	usable := 0
	for i := range min(len(peers), 2*size) {
		if usable >= size {
			break
		}
		p := peers[(start+i)%len(peers)]
		if p.usable() {
			usable++
		}
		picked = append(picked, p)
	}
	return picked
}

// usable reports whether the peer counts towards the size of a subset.
func (p Peer) usable() bool {
	return p.State == Serving || p.State == Connecting
}

func countUsable(peers []Peer) int {
	n := 0
	for _, p := range peers {
		if p.usable() {
			n++
		}
	}
	return n
}

func hash(s string) uint64 {
	h := fnv.New64a()
	// Hash.Write never returns an error.
	_, _ = h.Write([]byte(s))
	// FNV-1a alone mixes the last characters too little for names that differ only there.
	return sillhash.SplitMix(h.Sum64())
}
