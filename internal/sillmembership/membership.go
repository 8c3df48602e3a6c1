// Package sillmembership maintains a gateway's membership view of the targets. It
// combines three sources that may disagree: the instance list, which lags, the
// agents' heartbeats, and the results of dials and requests.
package sillmembership

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is the state of a target in a gateway's membership view.
type State string

// The states of a target. Only a Serving target gets new requests.
const (
	// Connecting targets are listed or hinted at and have not sent a heartbeat.
	Connecting State = "connecting"
	Serving    State = "serving"
	// Suspect targets missed heartbeats, or are unreachable.
	Suspect State = "suspect"
	// Draining targets finish their requests in flight.
	Draining State = "draining"
	// Removed targets are no longer in the view, or are about to be evicted from it.
	Removed State = "gone"
)

// Instance is an entry of the instance list, or an agent that another process
// reported.
type Instance struct {
	ID      sillid.InstanceID
	Target  sillid.TargetID
	Pool    sillid.PoolID
	Zone    sillid.ZoneID
	Address string
	Leaving bool
}

// Phase is the state that an agent reports of itself.
type Phase string

// The phases of an agent. Leaving is final for one run of an agent.
const (
	PhaseServing  Phase = "serving"
	PhaseDraining Phase = "draining"
	PhaseLeaving  Phase = "leaving"
)

// Heartbeat is the status that an agent sends about once a second.
type Heartbeat struct {
	Instance Instance
	Agent    sillid.AgentID
	// Sequence grows with each heartbeat of one agent.
	Sequence uint64
	Phase    Phase
	Load     sillroute.Load
	Loaded   []sillroute.LoadedModel
	// GatewaySilence is the time since the agent last heard from this gateway. A
	// large value means that the connection delivers nothing to the agent.
	GatewaySilence time.Duration
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
	// missedHeartbeats is the number of heartbeat intervals without a heartbeat
	// after which a target becomes suspect.
	missedHeartbeats = 3
	// pathFailures is the number of consecutive path failures that make a target
	// suspect.
	pathFailures = 3
	// removalGracePeriod is how long a target that is neither listed nor heard
	// from stays in the view, so that it is still dialled.
	removalGracePeriod = 5 * time.Minute
	// maxRetiredAgents is the number of former agents of a target whose late
	// heartbeats are recognised and ignored.
	maxRetiredAgents = 4
)

// member is the view's entry for one target.
type member struct {
	hash     uint64
	instance Instance
	// listed is whether the last instance list contained the target.
	listed bool
	// leaving is the target's last instance that the list marked as leaving.
	leaving sillid.InstanceID
	// agent is empty before the first heartbeat.
	agent          sillid.AgentID
	retired        []sillid.AgentID
	sequence       uint64
	phase          Phase
	load           sillroute.Load
	loaded         []sillroute.LoadedModel
	gatewaySilence time.Duration
	// lastSeen is when the target was last listed, hinted at or heard from.
	lastSeen time.Time
	// lastHeartbeat is when the last accepted heartbeat arrived.
	lastHeartbeat time.Time
	// failures counts path failures since the last heartbeat or response.
	failures int
}

func (m *member) state(now time.Time, interval time.Duration) State {
	silence := missedHeartbeats * interval
	silent := now.Sub(m.lastHeartbeat) > silence || m.gatewaySilence > silence || m.failures >= pathFailures
	switch {
	case !m.listed && now.Sub(m.lastSeen) > removalGracePeriod:
		return Removed
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

// accepts reports whether a heartbeat is newer than the last one: late heartbeats
// of the current agent or of a former agent are not accepted.
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
	m.gatewaySilence = h.GatewaySilence
	m.lastSeen = now
	m.lastHeartbeat = now
	m.failures = 0
}

func (m *member) replaceAgent(agent sillid.AgentID) {
	if m.agent != "" {
		m.retired = append(m.retired, m.agent)
		m.retired = m.retired[max(0, len(m.retired)-maxRetiredAgents):]
	}
	m.agent = agent
	m.phase = PhaseServing
}
