package sillfleet

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Status is the gateway's view of one target.
type Status struct {
	Target    sillid.TargetID      `json:"target"`
	Pool      sillid.PoolID        `json:"pool"`
	Zone      sillid.ZoneID        `json:"availability-zone"`
	Address   string               `json:"agent-address"`
	State     sillmembership.State `json:"state"`
	Connected bool                 `json:"connected"`
	// Pong is the last heartbeat of the agent, nil if there was none; LastPongAt is
	// when it arrived.
	Pong       *sillwire.Pong `json:"-"`
	LastPongAt time.Time      `json:"-"`
}

func (f *Fleet) countTargets(wanted []sillmembership.Peer) {
	f.cfg.Metrics.Targets.Reset()
	for _, p := range wanted {
		f.cfg.Metrics.Targets.WithLabelValues(string(p.Pool), string(p.State)).Inc()
	}
}

func (f *Fleet) status(now time.Time) []Status {
	var all []Status
	for _, p := range f.view.Wanted(now, f.connectsAll) {
		s := Status{Target: p.Target, Pool: p.Pool, Zone: p.Zone, Address: p.Address, State: p.State}
		if l := f.links[p.Target]; l != nil {
			s.Connected = l.Connected()
			s.Pong, s.LastPongAt = l.LastPong()
		}
		all = append(all, s)
	}
	return all
}

// Status returns the gateway's view of all targets that it connects to.
func (f *Fleet) Status(ctx context.Context) []Status {
	response := make(chan []Status, 1)
	f.enqueue(statusRequested{response: response})
	select {
	case s := <-response:
		return s
	case <-ctx.Done():
		return nil
	}
}

// State returns the gateway's view of a target's state.
func (f *Fleet) State(ctx context.Context, target sillid.TargetID) sillmembership.State {
	response := make(chan sillmembership.State, 1)
	f.enqueue(stateRequested{target: target, response: response})
	select {
	case s := <-response:
		return s
	case <-ctx.Done():
		return sillmembership.Suspect
	}
}
