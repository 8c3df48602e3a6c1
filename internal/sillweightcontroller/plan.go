// Package sillweightcontroller moves model engines to the weight versions that trainers
// announce. One process at a time, the lease holder, orders the engines to load them.
//
// Each engine is assigned to one model, so that a new version causes loads only on
// the engines of its model. Loads are the scarcest capacity of the engines, and the
// previous version still serves the open jobs: so half of a model's engines load
// each version and the other half load the next one. An engine whose version is too
// old for the newest job loads first. Where a generation must be made by one version,
// an engine finishes its running generations before it loads; elsewhere they
// continue with the new version.
package sillweightcontroller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// maxLoadingShare is the largest share of a pool's engines that load at the
	// same time: the weight store slows down beyond it.
	maxLoadingShare = 0.2
	// loadTimeout is how long an accepted order stays pending before the engine may
	// get another one.
	loadTimeout = 4 * time.Second
	// finishTimeout replaces loadTimeout for an order that lets the running
	// generations finish first; the longest of them take several seconds.
	finishTimeout = 10 * time.Second
	// unconfirmedTimeout is how long an order without a reply stays pending.
	unconfirmedTimeout = 1500 * time.Millisecond
	// refusedBackoff is how long an engine that refused an order gets no other.
	refusedBackoff = 300 * time.Millisecond
)

// DesiredVersion is the version that the engines of one model should load, with
// the demand of its jobs.
type DesiredVersion struct {
	// Version is the newest version that the trainer announced.
	Version sillid.WeightVersion
	// MinVersion is the highest minimum version of the open jobs; 0 without jobs.
	MinVersion sillid.WeightVersion
	// WaitingItems is the number of items that wait for an engine.
	WaitingItems int
	// FinishRuns is whether running generations must not continue with another version.
	FinishRuns bool
}

// LoadOrder orders an engine to load a weight version.
type LoadOrder struct {
	Target  silltarget.Entry
	Model   sillid.ModelID
	Version sillid.WeightVersion
	// OrderCount is the number of orders that the engine must have accepted before
	// this one; the engine replies Conflict otherwise.
	OrderCount uint64
	// FinishRuns has the engine finish its running generations first. Otherwise
	// they continue with the new version.
	FinishRuns bool
}

// timeout returns how long the order stays pending once it was accepted.
func (l *LoadOrder) timeout() time.Duration {
	if l.FinishRuns {
		return finishTimeout
	}
	return loadTimeout
}

// pendingOrder is an order that was sent and is not known to be carried out.
type pendingOrder struct {
	model   sillid.ModelID
	version sillid.WeightVersion
	// finishRuns is whether the engine finishes its running generations first.
	finishRuns bool
	// expiresAt is when the order stops being pending.
	expiresAt time.Time
}

// engineState is the planner's state of one run of an engine.
type engineState struct {
	startedAt time.Time
	// model is the model that the engine is assigned to.
	model sillid.ModelID
	// orderCount is the known number of orders that the engine has accepted; 0 for
	// an engine that has just started.
	orderCount uint64
	// loaded holds the newest versions that the engine reported.
	loaded map[sillid.ModelID]sillid.WeightVersion
	// pending is nil without a pending order.
	pending *pendingOrder
	// notBefore is the end of the backoff after a refused order.
	notBefore time.Time
}

// Planner decides which engine loads which version next. It is not safe for
// concurrent use.
type Planner struct {
	states map[sillid.TargetID]*engineState
}

// NewPlanner returns a planner without engines.
func NewPlanner() *Planner {
	return &Planner{states: make(map[sillid.TargetID]*engineState)}
}

// Next returns the orders to send now to the engines of one pool.
func (p *Planner) Next(now time.Time, engines []silltarget.Entry, desired map[sillid.ModelID]DesiredVersion) []LoadOrder {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b silltarget.Entry) int { return cmp.Compare(a.ID, b.ID) })
	p.refreshStates(now, engines)
	p.assignModels(engines, desired)
	return p.withinLimits(p.candidates(now, engines, desired), len(engines))
}

// refreshStates updates the states from the engines' registry entries and clears
// pending orders that were carried out or have expired.
func (p *Planner) refreshStates(now time.Time, engines []silltarget.Entry) {
	listed := make(map[sillid.TargetID]bool)
	for _, e := range engines {
		listed[e.ID] = true
		r := p.states[e.ID]
		if r == nil || !r.startedAt.Equal(e.StartedAt) {
			r = &engineState{startedAt: e.StartedAt, loaded: make(map[sillid.ModelID]sillid.WeightVersion)}
			p.states[e.ID] = r
		}
		for model, v := range e.Versions {
			r.loaded[model] = max(r.loaded[model], v)
		}
		if o := r.pending; o != nil && (r.loaded[o.model] >= o.version || !now.Before(o.expiresAt)) {
			r.pending = nil
		}
	}
	maps.DeleteFunc(p.states, func(id sillid.TargetID, _ *engineState) bool { return !listed[id] })
}

// assignModels assigns each engine to a model, so that the models have equal numbers
// of engines, and reassigns as few as possible.
func (p *Planner) assignModels(engines []silltarget.Entry, desired map[sillid.ModelID]DesiredVersion) {
	models := slices.Sorted(maps.Keys(desired))
	if len(models) == 0 {
		return
	}
	count := make(map[sillid.ModelID]int)
	for _, e := range engines {
		r := p.states[e.ID]
		if _, ok := desired[r.model]; !ok {
			r.model = ""
		}
		if r.model == "" {
			r.model = closestModel(r, models, desired)
		}
		count[r.model]++
	}
	for _, e := range engines {
		r := p.states[e.ID]
		least := slices.MinFunc(models, func(a, b sillid.ModelID) int { return cmp.Compare(count[a], count[b]) })
		if r.model == "" || count[r.model] > count[least]+1 {
			count[r.model]--
			r.model = least
			count[least]++
		}
	}
}

// closestModel returns the model for which the engine lacks the fewest versions, or
// none if it lacks equally many for every model.
func closestModel(r *engineState, models []sillid.ModelID, desired map[sillid.ModelID]DesiredVersion) sillid.ModelID {
	best := sillid.ModelID("")
	var least sillid.WeightVersion
	alike := true
	for i, m := range models {
		lag := desired[m].Version - min(r.loaded[m], desired[m].Version)
		if i > 0 && lag != least {
			alike = false
		}
		if i == 0 || lag < least {
			best, least = m, lag
		}
	}
	if alike {
		return ""
	}
	return best
}

// withinLimits returns the first of the due orders that may be sent now. Immediate
// loads are limited over all models by maxLoadingShare. An engine that finishes its
// running generations first accepts no new ones meanwhile, for seconds: such orders
// don't count towards that limit, so that they delay no other model, and at most
// half of the engines of their own model carry one out at a time.
func (p *Planner) withinLimits(due []LoadOrder, engines int) []LoadOrder {
	free := max(1, int(maxLoadingShare*float64(engines)+0.5))
	finishing := make(map[sillid.ModelID]int)
	assigned := make(map[sillid.ModelID]int)
	for _, r := range p.states {
		assigned[r.model]++
		switch {
		case r.pending == nil:
		case r.pending.finishRuns:
			finishing[r.pending.model]++
		default:
			free--
		}
	}
	var loads []LoadOrder
	for _, l := range due {
		switch {
		case l.FinishRuns && finishing[l.Model] < max(1, assigned[l.Model]/2):
			finishing[l.Model]++
		case !l.FinishRuns && free > 0:
			free--
		default:
			continue
		}
		loads = append(loads, l)
	}
	return loads
}

// candidates returns an order for each engine that should load now, the engines that
// lack the most versions first.
func (p *Planner) candidates(now time.Time, engines []silltarget.Entry, desired map[sillid.ModelID]DesiredVersion) []LoadOrder {
	slices.SortStableFunc(engines, func(a, b silltarget.Entry) int {
		return cmp.Compare(p.lag(b, desired), p.lag(a, desired))
	})
	var loads []LoadOrder
	planned := make(map[sillid.ModelID]int)
	for _, e := range engines {
		r := p.states[e.ID]
		w, ok := desired[r.model]
		held := r.loaded[r.model]
		if !ok || r.pending != nil || held >= w.Version || now.Before(r.notBefore) || e.State != silltarget.Ready {
			continue
		}
		if held >= w.MinVersion && (w.WaitingItems > 0 || p.halfHave(engines, r.model, w.Version, planned[r.model])) {
			continue
		}
		planned[r.model]++
		loads = append(loads, LoadOrder{Target: e, Model: r.model, Version: w.Version, OrderCount: r.orderCount, FinishRuns: w.FinishRuns})
	}
	return loads
}

// lag returns how many versions an engine is behind the newest of its model.
func (p *Planner) lag(e silltarget.Entry, desired map[sillid.ModelID]DesiredVersion) sillid.WeightVersion {
	r := p.states[e.ID]
	newest := desired[r.model].Version
	return newest - min(r.loaded[r.model], newest)
}

// halfHave returns whether at least half of a model's engines have its newest
// version, have a pending order, or are among the planned orders.
func (p *Planner) halfHave(engines []silltarget.Entry, model sillid.ModelID, version sillid.WeightVersion, planned int) bool {
	count, newest := 0, planned
	for _, e := range engines {
		r := p.states[e.ID]
		if r.model != model {
			continue
		}
		count++
		if r.loaded[model] >= version || r.pending != nil {
			newest++
		}
	}
	return newest*2 >= count
}

// OrderSent records an order as pending. It is called before the order is sent.
func (p *Planner) OrderSent(now time.Time, l LoadOrder) {
	if r := p.states[l.Target.ID]; r != nil {
		r.pending = &pendingOrder{model: l.Model, version: l.Version, finishRuns: l.FinishRuns, expiresAt: now.Add(unconfirmedTimeout)}
	}
}

// OrderAccepted records that an engine accepted an order.
func (p *Planner) OrderAccepted(now time.Time, l LoadOrder) {
	if r := p.states[l.Target.ID]; r != nil && r.pending != nil {
		r.pending.expiresAt = now.Add(l.timeout())
		r.orderCount = l.OrderCount + 1
	}
}

// OrderRefused records that an engine did not accept an order, and starts its backoff.
func (p *Planner) OrderRefused(now time.Time, l LoadOrder) {
	if r := p.states[l.Target.ID]; r != nil {
		r.pending = nil
		r.notBefore = now.Add(refusedBackoff)
	}
}

// ObserveReport records the order count and the versions that an engine reported.
func (p *Planner) ObserveReport(id sillid.TargetID, orders uint64, versions map[sillid.ModelID]sillid.WeightVersion) {
	r := p.states[id]
	if r == nil {
		return
	}
	r.orderCount = orders
	for model, v := range versions {
		r.loaded[model] = max(r.loaded[model], v)
	}
}
