// Package sillmembership knows which targets are there, from three sources that may
// disagree: the lagging instance list, the agents' heartbeats and requests.
package sillmembership

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is what a gateway holds of a target.
type State string

// The states of a target. Only a Serving target gets new requests.
const (
	// Connecting targets are known by name and have not sent a heartbeat.
	Connecting State = "connecting"
	Serving    State = "serving"
	// Suspect targets went silent, or can't be reached.
	Suspect State = "suspect"
	// Draining targets finish what they run.
	Draining State = "draining"
	// Gone targets are forgotten.
	Gone State = "gone"
)

// Instance is an entry of the instance list, or another process's word that an
// agent is there.
type Instance struct {
	ID      sillid.InstanceID
	Target  sillid.TargetID
	Pool    sillid.PoolID
	Zone    sillid.ZoneID
	Address string
	Leaving bool
}

// Phase is an agent's own state.
type Phase string

// The phases of an agent. Leaving is final for one run of an agent.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining"
	PhaseLeaving  Phase = "leaving"
)

// Heartbeat is what an agent says of itself about once a second.
type Heartbeat struct {
	Instance Instance
	Agent    sillid.AgentID
	// Sequence grows with each heartbeat of one agent.
	Sequence uint64
	Phase    Phase
	Load     sillroute.Load
	Loaded   []sillroute.LoadedModel
	// HeardAgo is how long the agent has not heard of this gateway; a large
	// value shows a connection that is silent towards the agent.
	HeardAgo time.Duration
}

// Config holds the settings of a View.
type Config struct {
	Gateway sillid.GatewayID
	Zone    sillid.ZoneID
	// Subset is the number of agents of each pool to connect to; 0 means DefaultSubset.
	Subset int
	// Interval is the time between two heartbeats; 0 means DefaultInterval.
	Interval time.Duration
}

const (
	// DefaultSubset is the number of agents of a pool that one gateway uses.
	DefaultSubset = 24
	// DefaultInterval is the time between two heartbeats.
	DefaultInterval = time.Second
	// missedHeartbeats in a row make a target suspect.
	missedHeartbeats = 3
	// pathFailures in a row make a target suspect.
	pathFailures = 3
	// goneAfter is how long an unlisted and silent target is still looked for.
	goneAfter = 5 * time.Minute
	// retiredAgents is the number of former agents of a target that are told
	// from a new one.
	retiredAgents = 4
)

// member is all that is known of one target.
type member struct {
	hash     uint64
	instance Instance
	// listed tells whether the last list held the target; leaving is the
	// list's word on the instance.
	listed  bool
	leaving sillid.InstanceID
	// agent is empty before the first heartbeat.
	agent    sillid.AgentID
	retired  []sillid.AgentID
	sequence uint64
	phase    Phase
	load     sillroute.Load
	loaded   []sillroute.LoadedModel
	heardAgo time.Duration
	// seen is when the target was last listed or heard of.
	seen time.Time
	// heard is when the last heartbeat came.
	heard time.Time
	// failures counts failed dials and broken paths since the last heartbeat.
	failures int
}

func (m *member) state(now time.Time, interval time.Duration) State {
	silence := missedHeartbeats * interval
	silent := now.Sub(m.heard) > silence || m.heardAgo > silence || m.failures >= pathFailures
	switch {
	case !m.listed && now.Sub(m.seen) > goneAfter:
		return Gone
	case m.leaving != "" && m.leaving == m.instance.ID:
		return Draining
	case m.agent == "" && m.failures < pathFailures:
		return Connecting
	case m.agent != "" && m.phase != PhaseServing:
		return Draining
	case silent:
		return Suspect
	default:
		return Serving
	}
}

// accepts tells whether a heartbeat is news, not a late one.
func (m *member) accepts(h Heartbeat) bool {
	if h.Agent == m.agent {
		return h.Sequence > m.sequence
	}
	for _, a := range m.retired {
		if a == h.Agent {
			return false
		}
	}
	return true
}

func (m *member) apply(now time.Time, h Heartbeat) {
	if m.agent != h.Agent {
		m.replaceAgent(h.Agent)
	}
	if m.phase != PhaseLeaving {
		m.phase = h.Phase
	}
	m.instance = h.Instance
	m.sequence = h.Sequence
	m.load = h.Load
	m.load.Sequence = h.Sequence
	m.loaded = h.Loaded
	m.heardAgo = h.HeardAgo
	m.seen = now
	m.heard = now
	m.failures = 0
}

func (m *member) replaceAgent(agent sillid.AgentID) {
	if m.agent != "" {
		m.retired = append(m.retired, m.agent)
		m.retired = m.retired[max(0, len(m.retired)-retiredAgents):]
	}
	m.agent = agent
	m.phase = PhaseServing
}
