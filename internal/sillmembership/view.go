package sillmembership

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// View is a gateway's membership view of all targets. It is not safe for concurrent
// use: only the control goroutine may call it.
type View struct {
	cfg     Config
	members map[sillid.TargetID]*member
	// gateways are the known gateways including this one, without duplicates.
	gateways []hashedGateway
}

// Peer is an agent to connect to.
type Peer struct {
	Target  sillid.TargetID
	Pool    sillid.PoolID
	Zone    sillid.ZoneID
	Address string
	State   State
	// hash orders the agents on the ring of their zone.
	hash uint64
}

// hashedGateway is a gateway with the hash that ranks it among the others.
type hashedGateway struct {
	zone sillid.ZoneID
	hash uint64
}

// Gateway is another gateway, or this one.
type Gateway struct {
	ID   sillid.GatewayID
	Zone sillid.ZoneID
}

// NewView returns a view without targets.
func NewView(cfg Config) *View {
	if cfg.Subset == 0 {
		cfg.Subset = DefaultSubset
	}
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	v := &View{cfg: cfg, members: make(map[sillid.TargetID]*member)}
	v.SetGateways(nil)
	return v
}

// SetGateways sets the gateways that share the agents, so that all agents get about
// the same number of gateways. A stale or partial list only makes these numbers
// less even.
func (v *View) SetGateways(gateways []Gateway) {
	v.gateways = []hashedGateway{{zone: v.cfg.Zone, hash: hash(string(v.cfg.Gateway))}}
	known := map[sillid.GatewayID]bool{v.cfg.Gateway: true}
	for _, g := range gateways {
		if !known[g.ID] {
			v.gateways = append(v.gateways, hashedGateway{zone: g.Zone, hash: hash(string(g.ID))})
			known[g.ID] = true
		}
	}
}

// SetSubset sets the number of agents of each pool to connect to; at least 1.
func (v *View) SetSubset(n int) {
	v.cfg.Subset = n
}

// ApplyList applies the instance list. A target that is no longer listed stays in
// the view while it sends heartbeats, and for a grace period of some minutes after.
func (v *View) ApplyList(now time.Time, instances []Instance) {
	for _, m := range v.members {
		m.listed = false
	}
	for _, i := range instances {
		m := v.recordInstance(now, i)
		m.listed = true
		if i.Leaving {
			m.leaving = i.ID
		}
	}
	v.evictExpired(now)
}

// Hint records a target that another process reported.
func (v *View) Hint(now time.Time, i Instance) {
	v.recordInstance(now, i)
}

// recordInstance adds or updates the member for an instance that was listed or hinted
// at. The instance reported by the agent itself takes precedence, unless the target
// is suspect.
func (v *View) recordInstance(now time.Time, i Instance) *member {
	m, ok := v.members[i.Target]
	if !ok {
		m = &member{instance: i, hash: hash(string(i.Target))}
		v.members[i.Target] = m
	}
	if m.agent == "" || m.state(now, v.cfg.Interval) == Suspect {
		m.instance = i
	}
	m.lastSeen = now
	return m
}

func (v *View) evictExpired(now time.Time) {
	for id, m := range v.members {
		if m.state(now, v.cfg.Interval) == Removed {
			delete(v.members, id)
		}
	}
}

// Heartbeat applies an agent's heartbeat. Late heartbeats have no effect.
func (v *View) Heartbeat(now time.Time, h Heartbeat) {
	m, ok := v.members[h.Instance.Target]
	if !ok {
		m = &member{hash: hash(string(h.Instance.Target))}
		v.members[h.Instance.Target] = m
	}
	if m.accepts(h) {
		m.apply(now, h)
	}
}

// PathFailed records a failed dial, or a connection or request that failed on the
// way to the target rather than at the target.
func (v *View) PathFailed(target sillid.TargetID) {
	if m, ok := v.members[target]; ok {
		m.failures++
	}
}

// PathSucceeded records a response from the target, which shows that the path works.
func (v *View) PathSucceeded(target sillid.TargetID) {
	if m, ok := v.members[target]; ok {
		m.failures = 0
	}
}

// State returns the state of a target; unknown targets are Removed.
func (v *View) State(now time.Time, target sillid.TargetID) State {
	m, ok := v.members[target]
	if !ok {
		return Removed
	}
	return m.state(now, v.cfg.Interval)
}

// Wanted returns the agents to connect to, sorted by target: the subset of each
// pool, and all agents of a pool in a zone for which covers returns true. covers may
// be nil.
func (v *View) Wanted(now time.Time, covers func(sillid.PoolID, sillid.ZoneID) bool) []Peer {
	v.evictExpired(now)
	pools := make(map[sillid.PoolID]map[sillid.ZoneID][]Peer)
	for id, m := range v.members {
		p := Peer{Target: id, Pool: m.instance.Pool, Zone: m.instance.Zone, Address: m.instance.Address}
		p.State = m.state(now, v.cfg.Interval)
		p.hash = m.hash
		if pools[p.Pool] == nil {
			pools[p.Pool] = make(map[sillid.ZoneID][]Peer)
		}
		pools[p.Pool][p.Zone] = append(pools[p.Pool][p.Zone], p)
	}
	wanted := make(map[sillid.TargetID]Peer)
	for pool, zones := range pools {
		collect(wanted, v.subset(zones))
		for zone, peers := range zones {
			if covers != nil && covers(pool, zone) {
				collect(wanted, peers)
			}
		}
	}
	return slices.SortedFunc(maps.Values(wanted), func(a, b Peer) int {
		return strings.Compare(string(a.Target), string(b.Target))
	})
}

func collect(into map[sillid.TargetID]Peer, peers []Peer) {
	for _, p := range peers {
		into[p.Target] = p
	}
}

// Routable returns the pool's targets that may get new requests. Targets
// outside the subset send this gateway no heartbeats, so they are never included.
func (v *View) Routable(now time.Time, pool sillid.PoolID) []sillroute.Target {
	var targets []sillroute.Target
	for id, m := range v.members {
		if m.instance.Pool != pool || m.state(now, v.cfg.Interval) != Serving {
			continue
		}
		targets = append(targets, sillroute.Target{ID: id, Zone: m.instance.Zone, Loaded: m.loaded, Load: m.load})
	}
	slices.SortFunc(targets, func(a, b sillroute.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return targets
}
