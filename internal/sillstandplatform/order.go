package sillstandplatform

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Actions of an order.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// stateAccepted is the state of every order that the platform keeps.
const stateAccepted = "accepted"

// Order is an order as it took effect, once.
type Order struct {
	// OrderID names the order; the same id has one effect.
	OrderID string `json:"order-id"`
	// FencingNumber is the epoch of the sender's lease.
	FencingNumber sillid.Epoch `json:"fencing-number"`
	// Action is ActionStart or ActionStop.
	Action string `json:"action"`
	// Pool and Zone are those of the ordered instance.
	Pool sillid.PoolID `json:"pool"`
	Zone sillid.ZoneID `json:"availability-zone"`
	// InstanceID names the instance; a start order without one gets a fresh name.
	InstanceID sillid.InstanceID `json:"instance-id"`
	// At is the time of the effect in Unix milliseconds.
	At int64 `json:"at"`
	// Repeats counts later calls with the same id.
	Repeats int `json:"repeats"`
	// StaleFencing is whether the fencing number was older than one seen
	// before; it is only ever true if fencing numbers are not checked.
	StaleFencing bool `json:"stale-fencing"`
}

type orderRequest struct {
	OrderID       string            `json:"order-id"`
	FencingNumber sillid.Epoch      `json:"fencing-number"`
	Action        string            `json:"action"`
	Pool          sillid.PoolID     `json:"pool"`
	Zone          sillid.ZoneID     `json:"availability-zone"`
	InstanceID    sillid.InstanceID `json:"instance-id"`
}

type orderAnswer struct {
	OrderID    string            `json:"order-id"`
	InstanceID sillid.InstanceID `json:"instance-id"`
	State      string            `json:"state"`
}

func (o *Order) answer() orderAnswer {
	return orderAnswer{OrderID: o.OrderID, InstanceID: o.InstanceID, State: stateAccepted}
}

// check returns the fault of a request, or "".
func (o orderRequest) check() string {
	switch {
	case o.OrderID == "":
		return "order-id: give one"
	case o.Action != ActionStart && o.Action != ActionStop:
		return "action: use start or stop"
	case o.Action == ActionStart && (o.Pool == "" || o.Zone == ""):
		return "pool, availability-zone: give both for a start"
	case o.Action == ActionStop && o.InstanceID == "":
		return "instance-id: give one for a stop"
	}
	return ""
}

func (p *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	var req orderRequest
	if err := sillstandin.Decode(r, &req); err != nil {
		sillstandin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if fault := req.check(); fault != "" {
		sillstandin.Refuse(w, http.StatusBadRequest, fault)
		return
	}
	// An order that arrived takes effect also if its sender has left.
	time.Sleep(p.cfg.OrderTime)
	answer, ok := p.accept(req)
	if !ok {
		sillstandin.Refuse(w, http.StatusConflict, "fencing number is old: another process gives the orders")
		return
	}
	sillstandin.Answer(w, http.StatusOK, answer)
}

// accept makes an order take effect once; it returns false for an old fencing number.
func (p *Platform) accept(req orderRequest) (orderAnswer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o, ok := p.orders[req.OrderID]; ok {
		o.Repeats++
		return o.answer(), true
	}
	stale := req.FencingNumber < p.fencing
	if stale && p.cfg.CheckFencing {
		return orderAnswer{}, false
	}
	p.fencing = max(p.fencing, req.FencingNumber)
	if req.InstanceID == "" {
		req.InstanceID = sillid.InstanceID(sillid.Fresh("instance"))
	}
	o := &Order{
		OrderID: req.OrderID, FencingNumber: req.FencingNumber, Action: req.Action,
		Pool: req.Pool, Zone: req.Zone, InstanceID: req.InstanceID,
		At: time.Now().UnixMilli(), StaleFencing: stale,
	}
	p.orders[o.OrderID] = o
	p.orderLog = append(p.orderLog, o)
	if o.Action == ActionStop {
		p.instances.change(time.Now(), func(all []Instance) []Instance { return withState(all, o.InstanceID, StateLeaving) })
	}
	copied := *o
	p.group.Go(func(ctx context.Context) { p.effect(ctx, copied) })
	return o.answer(), true
}

// effect starts or ends the instance of an order after its delay.
func (p *Platform) effect(ctx context.Context, o Order) {
	delay := p.cfg.StartDelay
	if o.Action == ActionStop {
		delay = p.cfg.StopDelay
	}
	t := time.NewTimer(delay)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return
	case <-t.C:
	}
	if o.Action == ActionStop {
		p.remove(o.InstanceID)
		return
	}
	p.add(o)
}

func (p *Platform) add(o Order) {
	onStart := p.cfg.OnStart
	if onStart == nil {
		onStart = p.takeSpare
	}
	in, ok := onStart(o)
	if !ok {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances.change(time.Now(), func(all []Instance) []Instance { return append(all, in) })
}

func (p *Platform) remove(id sillid.InstanceID) {
	p.mu.Lock()
	p.instances.change(time.Now(), func(all []Instance) []Instance { return without(all, id) })
	p.mu.Unlock()
	if p.cfg.OnStop != nil {
		p.cfg.OnStop(id)
	}
}

func (p *Platform) serveGetOrder(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.orders[mux.Vars(r)["id"]]
	if !ok {
		sillstandin.Refuse(w, http.StatusNotFound, "no such order")
		return
	}
	sillstandin.Answer(w, http.StatusOK, o.answer())
}
