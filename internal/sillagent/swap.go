package sillagent

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Engine is the engine's id and the weights that it has loaded.
type Engine struct {
	ID      sillid.EngineID
	Model   sillid.ModelID
	Version sillid.WeightVersion
}

// Engine returns the loaded weights, and false while they are not known.
func (a *Agent) Engine() (Engine, bool) {
	s := a.control.snapshot()
	return Engine{ID: s.engine, Model: s.model, Version: s.version}, s.engine != ""
}

// SwapBegan records that an order to load a version is about to be sent. The engine
// generates during the load, so the agent continues to serve.
func (a *Agent) SwapBegan(version sillid.WeightVersion) {
	done := make(chan struct{})
	a.control.await(swapBegan{version: version, done: done}, done)
}

// SwapEnded records the outcome of the order. After any other outcome than LoadOK, the
// engine's next reports determine what is loaded.
func (a *Agent) SwapEnded(version sillid.WeightVersion, outcome sillattribution.LoadOutcome) {
	done := make(chan struct{})
	a.control.await(swapEnded{version: version, outcome: outcome, done: done}, done)
}

// SetOutOfService takes the target out of service, or returns it to service.
func (a *Agent) SetOutOfService(out bool) {
	a.control.send(outOfService{out: out})
}

// await queues an event and waits until it is handled.
func (c *control) await(e event, done chan struct{}) {
	c.send(e)
	select {
	case <-done:
	case <-c.agent.group.Context().Done():
	}
}

// Each change below is published while no generation starts, so that a new tracker
// misses no order between its initial state and the orders recorded in it.

func (c *control) swapBegan(e swapBegan) {
	c.agent.generations.change(func(b *sillattribution.Tracker) { b.LoadStarted(e.version) }, func() {
		c.current.pending = e.version
		c.publish()
	})
	close(e.done)
}

func (c *control) swapEnded(e swapEnded) {
	now := c.agent.cfg.Now()
	c.startAt = now
	c.agent.generations.change(func(b *sillattribution.Tracker) { b.LoadEnded(now, e.version, e.outcome) }, func() {
		// After another outcome the order stays pending until it is confirmed.
		c.current.unsettled = e.outcome != sillattribution.LoadOK
		if e.outcome == sillattribution.LoadOK {
			c.current.pending = 0
			c.current.version = e.version
		}
		c.publish()
	})
	close(e.done)
}

// swapConfirmed handles a report from after the end of an order that did not succeed.
func (c *control) swapConfirmed(load sillengine.Load) {
	now := c.agent.cfg.Now()
	c.agent.generations.change(func(b *sillattribution.Tracker) { b.VersionConfirmed(now, load.Version, load.Engine) }, func() {
		c.current.pending = 0
		c.current.unsettled = false
		c.current.engine = load.Engine
		c.current.model = load.Model
		c.current.version = load.Version
		c.publish()
	})
}

// change publishes a new state and records it in every open tracker.
func (g *generations) change(tell func(b *sillattribution.Tracker), publish func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	publish()
	for b := range g.open {
		tell(b)
	}
}

// settlePoll is the time between two checks of the outcome of an order.
const settlePoll = 50 * time.Millisecond

// AwaitSettled waits until it is known what is loaded after an order that did
// not succeed.
func (a *Agent) AwaitSettled(ctx context.Context) (Engine, error) {
	for a.control.snapshot().unsettled {
		select {
		case <-ctx.Done():
			return Engine{}, eris.Wrap(ctx.Err(), "sillagent.AwaitSettled: the engine does not report")
		case <-time.After(settlePoll):
		}
	}
	engine, _ := a.Engine()
	return engine, nil
}
