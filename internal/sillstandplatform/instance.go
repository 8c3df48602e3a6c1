package sillstandplatform

import (
	"net/http"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// States of an instance in the list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Instance is an entry of the list of instances.
type Instance struct {
	// InstanceID names the instance, TargetID the target that runs on it.
	InstanceID sillid.InstanceID `json:"instance-id"`
	TargetID   sillid.TargetID   `json:"target-id"`
	// Pool and Zone are those of the target.
	Pool sillid.PoolID `json:"pool"`
	Zone sillid.ZoneID `json:"availability-zone"`
	// AgentAddress is the "IP:PORT" of the process beside the target.
	AgentAddress string `json:"agent-address"`
	// State is StateLive or StateLeaving. A dead instance may be listed live.
	State string `json:"state"`
}

// instanceHistory keeps the true lists by time, so that an old one can be told.
type instanceHistory struct {
	states []instanceState
}

type instanceState struct {
	at        time.Time
	instances []Instance
}

// maxStates bounds the kept lists.
const maxStates = 1000

func (h *instanceHistory) now() []Instance {
	if len(h.states) == 0 {
		return []Instance{}
	}
	return slices.Clone(h.states[len(h.states)-1].instances)
}

func (h *instanceHistory) change(at time.Time, f func([]Instance) []Instance) {
	h.states = append(h.states, instanceState{at: at, instances: f(h.now())})
	if len(h.states) > maxStates {
		h.states = slices.Clone(h.states[len(h.states)-maxStates:])
	}
}

// at returns the list as it was at the time; the first one if it is younger.
func (h *instanceHistory) at(t time.Time) []Instance {
	if len(h.states) == 0 {
		return []Instance{}
	}
	found := h.states[0].instances
	for _, s := range h.states {
		if s.at.After(t) {
			break
		}
		found = s.instances
	}
	return found
}

func withState(all []Instance, id sillid.InstanceID, state string) []Instance {
	for i := range all {
		if all[i].InstanceID == id {
			all[i].State = state
		}
	}
	return all
}

func without(all []Instance, id sillid.InstanceID) []Instance {
	return slices.DeleteFunc(all, func(in Instance) bool { return in.InstanceID == id })
}

// SetInstances replaces the true list. With atOnce the old lists are forgotten,
// so that the new one is told without lag.
func (p *Platform) SetInstances(instances []Instance, atOnce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if atOnce {
		p.instances.states = nil
	}
	p.instances.change(time.Now(), func([]Instance) []Instance { return slices.Clone(instances) })
}

// SetSpares replaces the instances that start orders bring up.
func (p *Platform) SetSpares(spares []Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spares = slices.Clone(spares)
}

// takeSpare assigns the order's name to the first spare of its pool and zone.
func (p *Platform) takeSpare(o Order) (Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, in := range p.spares {
		if in.Pool != o.Pool || in.Zone != o.Zone {
			continue
		}
		p.spares = slices.Delete(p.spares, i, i+1)
		in.InstanceID = o.InstanceID
		in.State = StateLive
		return in, true
	}
	return Instance{}, false
}

type instancesAnswer struct {
	AsOf      int64      `json:"as-of"`
	Instances []Instance `json:"instances"`
}

func (p *Platform) serveInstances(w http.ResponseWriter, _ *http.Request) {
	late := time.Duration(p.Panel.Get(AreaInstances).LateMS) * time.Millisecond
	at := time.Now().Add(-p.cfg.InstanceLag - late)
	p.mu.Lock()
	defer p.mu.Unlock()
	sillstandin.Answer(w, http.StatusOK, instancesAnswer{AsOf: at.UnixMilli(), Instances: p.instances.at(at)})
}

type setInstancesRequest struct {
	Instances []Instance `json:"instances"`
	Spares    []Instance `json:"spares"`
	AtOnce    bool       `json:"at-once"`
}

// serveSetInstances sets the list of instances and the spares.
func (p *Platform) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var req setInstancesRequest
	if err := sillstandin.Decode(r, &req); err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	p.SetInstances(req.Instances, req.AtOnce)
	p.SetSpares(req.Spares)
	w.WriteHeader(http.StatusNoContent)
}
