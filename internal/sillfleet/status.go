package sillfleet

import (
	"context"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillmembership"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Status is what the gateway holds of one target.
type Status struct {
	Target    sillid.TargetID      `json:"target"`
	Pool      sillid.PoolID        `json:"pool"`
	Zone      sillid.ZoneID        `json:"availability-zone"`
	Address   string               `json:"agent-address"`
	State     sillmembership.State `json:"state"`
	Connected bool                 `json:"connected"`
	// Pong is the last heartbeat of the agent, and HeardAt when it came; nil if
	// there was none.
	Pong    *sillwire.Pong `json:"-"`
	HeardAt time.Time      `json:"-"`
}

func (f *Fleet) count(wanted []sillmembership.Peer) {
	f.cfg.Metrics.Targets.Reset()
	for _, p := range wanted {
		f.cfg.Metrics.Targets.WithLabelValues(string(p.Pool), string(p.State)).Inc()
	}
}

func (f *Fleet) status(now time.Time) []Status {
	var all []Status
	for _, p := range f.view.Wanted(now, f.covers) {
		s := Status{Target: p.Target, Pool: p.Pool, Zone: p.Zone, Address: p.Address, State: p.State}
		if l := f.links[p.Target]; l != nil {
			s.Connected = l.Connected()
			s.Pong, s.HeardAt = l.LastPong()
		}
		all = append(all, s)
	}
	return all
}

// Status returns what the gateway holds of every target of its subset.
func (f *Fleet) Status(ctx context.Context) []Status {
	answer := make(chan []Status, 1)
	f.send(statusAsked{answer: answer})
	select {
	case s := <-answer:
		return s
	case <-ctx.Done():
		return nil
	}
}

// State returns what the gateway holds of a target.
func (f *Fleet) State(ctx context.Context, target sillid.TargetID) sillmembership.State {
	answer := make(chan sillmembership.State, 1)
	f.send(stateAsked{target: target, answer: answer})
	select {
	case s := <-answer:
		return s
	case <-ctx.Done():
		return sillmembership.Suspect
	}
}
