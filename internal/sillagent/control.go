package sillagent

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	// pollInterval is the time between two reads of the engine's load.
	pollInterval = 500 * time.Millisecond
	// failuresUntilDown is the number of failed reads after which the target counts as down.
	failuresUntilDown = 2
	// eventBacklog is the number of events that wait for the control goroutine.
	eventBacklog = 256
)

// event is an event that the control goroutine handles.
type event any

type (
	// engineSeen is the result of reading the engine's load.
	engineSeen struct {
		load sillengine.Load
		err  error
	}
	// targetFailed means that the target refused a connection.
	targetFailed struct{}
	// drainAsked starts or cancels a drain.
	drainAsked struct {
		reason string
		undo   bool
		// done is closed once no new run is admitted; may be nil.
		done chan struct{}
	}
	// swapBegan and swapEnded mark the start and the end of a load of weights. Each
	// closes done once it is handled.
	swapBegan struct {
		version sillid.WeightVersion
		done    chan struct{}
	}
	swapEnded struct {
		version sillid.WeightVersion
		outcome sillattribution.LoadOutcome
		done    chan struct{}
	}
	// outOfService means that the engine can't load the weights that it should, or
	// can again.
	outOfService struct{ out bool }
)

// controlState is the state that the control goroutine publishes. It is immutable once
// published.
type controlState struct {
	state sillwire.AgentState
	// engine, model and version are those that the engine last reported.
	engine  sillid.EngineID
	model   sillid.ModelID
	version sillid.WeightVersion
	// pending is the version that is being loaded; 0 if there is none.
	pending sillid.WeightVersion
	drain   string
	// unsettled is true from a failed or unknown order until its confirmation.
	unsettled bool
	// out is true while the engine can't load the weights that it should.
	out bool
}

// control owns the state of the agent. Only its goroutine changes the state; requests
// read the published copy.
type control struct {
	agent     *Agent
	events    chan event
	published atomic.Pointer[controlState]
	// Only the control goroutine uses the fields below.
	current  controlState
	startAt  time.Time
	failures int

	deaths deathCount
	pings  pingTimes
}

// pingTimes record whether gateways are known to be alive. After a gap, in which this
// process may have been paused, dead connections are detected within one interval.
type pingTimes struct {
	mu sync.Mutex
	// last is when the last heartbeat of any gateway was received; since is the end
	// of the last gap, zero if there was none.
	last, since time.Time
}

// pinged records a heartbeat of a gateway.
func (c *control) pinged() {
	p := &c.pings
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.agent.cfg.Now()
	if !p.last.IsZero() && now.Sub(p.last) > sillwire.SilenceLimit {
		p.since = now
	}
	p.last = now
}

// gatewaysAlive returns whether heartbeats are received, and were received without a
// gap for an interval.
func (c *control) gatewaysAlive() bool {
	p := &c.pings
	p.mu.Lock()
	defer p.mu.Unlock()
	now := c.agent.cfg.Now()
	return now.Sub(p.last) <= sillwire.SilenceLimit && now.Sub(p.since) > sillwire.HeartbeatInterval
}

// deathCount names the runs of a target that ended under requests.
type deathCount struct {
	mu    sync.Mutex
	count int
	// last is when the last end was noticed.
	last time.Time
}

// brokeOff records that the target dropped a request that it received at the given
// time. It returns a name for the run of the target that ended, and whether this is its
// first dropped request. Requests that started before the end was noticed belong to
// that run.
func (c *control) brokeOff(started time.Time) (string, bool) {
	d := &c.deaths
	d.mu.Lock()
	defer d.mu.Unlock()
	first := d.count == 0 || started.After(d.last)
	if first {
		d.count++
		d.last = c.agent.cfg.Now()
	}
	return fmt.Sprintf("%s/%d", c.agent.cfg.ID, d.count), first
}

func newControl(a *Agent) *control {
	c := &control{agent: a, events: make(chan event, eventBacklog), startAt: a.cfg.Now()}
	c.current.state = sillwire.Serving
	if a.cfg.Kind == sillbundle.ModelRoute {
		c.current.state = sillwire.Starting
	}
	c.publish()
	return c
}

// send queues an event for the control goroutine.
func (c *control) send(e event) {
	select {
	case c.events <- e:
	case <-c.agent.group.Context().Done():
	}
}

func (c *control) run(ctx context.Context) {
	if c.agent.cfg.Engine != nil {
		c.agent.group.Go(c.poll)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-c.events:
			c.apply(e)
			c.publish()
		}
	}
}

// poll reads the engine's load periodically.
func (c *control) poll(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		load, err := c.agent.cfg.Engine.Load(ctx)
		c.send(engineSeen{load: load, err: err})
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

func (c *control) apply(e event) {
	switch e := e.(type) {
	case engineSeen:
		c.engineSeen(e)
	case targetFailed:
		c.failures++
	case drainAsked:
		c.drainAsked(e)
		c.current.state = c.state()
		c.publish()
		if e.done != nil {
			close(e.done)
		}
	case swapBegan:
		c.swapBegan(e)
	case swapEnded:
		c.swapEnded(e)
	case outOfService:
		c.current.out = e.out
	}
	c.current.state = c.state()
}

func (c *control) engineSeen(e engineSeen) {
	if e.err != nil {
		c.failures++
		return
	}
	c.failures = 0
	// Reports lag: one from before this agent's start, or from before the end of a
	// load, may name weights that are no longer loaded.
	if !e.load.AsOf.After(c.startAt) {
		return
	}
	if c.current.unsettled {
		c.swapConfirmed(e.load)
		return
	}
	if c.current.pending != 0 {
		return
	}
	if c.current.engine != "" && e.load.Engine != c.current.engine {
		c.agent.cfg.Log.Warn("the engine restarted", zap.String("engine", string(e.load.Engine)))
		c.agent.generations.restarted()
		// The limit was that of the run that has ended.
		c.agent.setLimit(0)
	}
	c.current.engine = e.load.Engine
	c.current.model = e.load.Model
	c.current.version = e.load.Version
}

func (c *control) drainAsked(e drainAsked) {
	if e.undo {
		c.current.drain = ""
		return
	}
	if c.current.drain == "" {
		c.agent.cfg.Log.Info("draining", zap.String("reason", e.reason))
	}
	c.current.drain = e.reason
}

func (c *control) state() sillwire.AgentState {
	switch {
	case c.current.drain != "":
		return sillwire.DrainingState
	case c.failures >= failuresUntilDown || c.current.out:
		return sillwire.TargetDown
	case c.agent.cfg.Kind != sillbundle.ModelRoute:
		return sillwire.Serving
	case c.current.engine == "":
		return sillwire.Starting
	}
	return sillwire.Serving
}

func (c *control) publish() {
	s := c.current
	c.published.Store(&s)
}

// snapshot returns the published state.
func (c *control) snapshot() *controlState {
	return c.published.Load()
}

func (c *control) draining() bool {
	return c.snapshot().state == sillwire.DrainingState
}

// finished updates the target's health from the result of a run.
func (c *control) finished(failure *sillproblem.Problem) {
	if failure != nil && failure.Kind == sillproblem.NoTarget {
		c.send(targetFailed{})
	}
}

// status returns the agent's state as sent in heartbeats.
func (c *control) status() sillwire.Pong {
	s := c.snapshot()
	queued, started := c.agent.registry.counts()
	pong := sillwire.Pong{
		Agent:    c.agent.cfg.ID,
		Target:   c.agent.cfg.Target,
		Instance: c.agent.cfg.Instance,
		Pool:     c.agent.cfg.Pool,
		Zone:     c.agent.cfg.Zone,
		State:    s.state,
		Running:  started,
		Queued:   queued,
		Engine:   s.engine,
	}
	queue := c.agent.cfg.Gate.Snapshot()
	pong.Limit = queue.Limit
	pong.ServiceMillis = queue.MeanServiceTime.Milliseconds()
	if s.engine != "" {
		pong.Models = []sillwire.ModelVersion{{Model: s.model, Version: s.version}}
	}
	return pong
}
