package sillmembership

import (
	"cmp"
	"hash/fnv"
	"slices"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Each zone's agents stand on a ring in the order of their hashes. The gateways
// that use the zone are ranked by hash, and gateway i of n starts at the share
// i/n of the ring and takes a run of agents. So each agent gets the same number
// of gateways, give or take one for each group of gateways, and a gateway or an
// agent that comes or goes moves each run by a place or two.

const (
	// localParts of subsetParts of a subset are in the gateway's own zone.
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
	// What the own zone can't give is taken from the others.
	missing := v.cfg.Subset - countFit(picked)
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

// position returns this gateway's rank, as a share, among the gateways that use
// the zone in the same way: those of the zone, or all others.
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

// window returns a run of peers from a share of the ring that holds size peers
// fit for new requests. Suspect ones in the run stay, so that they are dialled
// again; the run is at most twice its size.
func window(peers []Peer, size int, position float64) []Peer {
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.hash, b.hash) })
	start := int(position * float64(len(peers)))
	var run []Peer
	fit := 0
	for i := range min(len(peers), 2*size) {
		if fit >= size {
			break
		}
		p := peers[(start+i)%len(peers)]
		if p.fit() {
			fit++
		}
		run = append(run, p)
	}
	return run
}

func (p Peer) fit() bool {
	return p.State == Serving || p.State == Connecting
}

func countFit(peers []Peer) int {
	n := 0
	for _, p := range peers {
		if p.fit() {
			n++
		}
	}
	return n
}

func hash(s string) uint64 {
	h := fnv.New64a()
	// Write of a hash never fails.
	_, _ = h.Write([]byte(s))
	z := h.Sum64()
	// Names that differ only in their last characters need further mixing.
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
