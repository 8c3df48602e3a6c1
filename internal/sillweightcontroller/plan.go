// Package sillweightcontroller moves model engines to the weight versions that trainers
// name, by orders that one process at a time gives.
//
// Each engine is given to one model, so that a new version costs loads on the
// engines of its model alone. The version before still serves the open jobs, and
// loads are what engines lack most: so half of a model's engines load each
// version and the other half the next one. An engine that can no longer serve
// the newest job goes first. Where texts must be made by one version, an engine
// finishes its runs before it loads; elsewhere they go on under the new version.
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
	// loadShare is the part of a pool's engines that load at the same time: the
	// weight store slows down beyond it.
	loadShare = 0.2
	// loadLimit is how long an accepted order may take before the engine is asked again.
	loadLimit = 4 * time.Second
	// finishLimit is the same for an order that lets the runs finish first, the
	// longest of which take several seconds.
	finishLimit = 10 * time.Second
	// unknownLimit is how long an order without an answer counts as under way.
	unknownLimit = 1500 * time.Millisecond
	// refusedPause is how long an engine is left alone that refused an order.
	refusedPause = 300 * time.Millisecond
)

// DesiredVersion is what trainers want of one model.
type DesiredVersion struct {
	// Version is the newest version that was named.
	Version sillid.WeightVersion
	// MinVersion is the newest minimum of the open jobs; 0 without jobs.
	MinVersion sillid.WeightVersion
	// WaitingItems is the number of items that wait for an engine.
	WaitingItems int
	// FinishRuns is whether runs must not go on under another version.
	FinishRuns bool
}

// LoadOrder is an order to be given.
type LoadOrder struct {
	Target  silltarget.Entry
	Model   sillid.ModelID
	Version sillid.WeightVersion
	// OrderCount is the number of orders that the engine must have accepted so far.
	OrderCount uint64
	// FinishRuns has the engine finish its runs first. Otherwise they go on under
	// the new version.
	FinishRuns bool
}

// limit is how long the load may take once it was accepted.
func (l *LoadOrder) limit() time.Duration {
	if l.FinishRuns {
		return finishLimit
	}
	return loadLimit
}

// order is an order that was given.
type order struct {
	model   sillid.ModelID
	version sillid.WeightVersion
	// finishRuns is whether the engine finishes its runs before it loads.
	finishRuns bool
	// until is when the order no longer counts as under way.
	until time.Time
}

// record is what is known of an engine besides its entry.
type record struct {
	born time.Time
	home sillid.ModelID
	// orders is the number of orders that the engine has accepted, as far as
	// known; a fresh engine has accepted none.
	orders uint64
	// loaded holds versions that the engine has by its own word.
	loaded map[sillid.ModelID]sillid.WeightVersion
	// pending is the order under way; nil if there is none.
	pending *order
	// notBefore is when the engine may be asked again.
	notBefore time.Time
}

// Planner decides which engine loads which version next. It is not safe for
// concurrent use.
type Planner struct {
	records map[sillid.TargetID]*record
}

// NewPlanner returns a planner that knows no engines.
func NewPlanner() *Planner {
	return &Planner{records: make(map[sillid.TargetID]*record)}
}

// Next returns the loads to be ordered now from the engines of one pool.
func (p *Planner) Next(now time.Time, engines []silltarget.Entry, wanted map[sillid.ModelID]DesiredVersion) []LoadOrder {
	engines = slices.Clone(engines)
	slices.SortFunc(engines, func(a, b silltarget.Entry) int { return cmp.Compare(a.ID, b.ID) })
	p.refresh(now, engines)
	p.assign(engines, wanted)
	return p.allowed(p.candidates(now, engines, wanted), len(engines))
}

// refresh takes what the engines say of themselves.
func (p *Planner) refresh(now time.Time, engines []silltarget.Entry) {
	listed := make(map[sillid.TargetID]bool)
	for _, e := range engines {
		listed[e.ID] = true
		r := p.records[e.ID]
		if r == nil || !r.born.Equal(e.StartedAt) {
			r = &record{born: e.StartedAt, loaded: make(map[sillid.ModelID]sillid.WeightVersion)}
			p.records[e.ID] = r
		}
		for model, v := range e.Versions {
			r.loaded[model] = max(r.loaded[model], v)
		}
		if o := r.pending; o != nil && (r.loaded[o.model] >= o.version || !now.Before(o.until)) {
			r.pending = nil
		}
	}
	maps.DeleteFunc(p.records, func(id sillid.TargetID, _ *record) bool { return !listed[id] })
}

// assign gives each engine to a model, so that the models have equal numbers,
// and moves as few as possible.
func (p *Planner) assign(engines []silltarget.Entry, wanted map[sillid.ModelID]DesiredVersion) {
	models := slices.Sorted(maps.Keys(wanted))
	if len(models) == 0 {
		return
	}
	count := make(map[sillid.ModelID]int)
	for _, e := range engines {
		r := p.records[e.ID]
		if _, ok := wanted[r.home]; !ok {
			r.home = ""
		}
		if r.home == "" {
			r.home = closest(r, models, wanted)
		}
		count[r.home]++
	}
	for _, e := range engines {
		r := p.records[e.ID]
		least := slices.MinFunc(models, func(a, b sillid.ModelID) int { return cmp.Compare(count[a], count[b]) })
		if r.home == "" || count[r.home] > count[least]+1 {
			count[r.home]--
			r.home = least
			count[least]++
		}
	}
}

// closest returns the model whose wanted version the engine lags behind the
// least, or none if it lags behind all alike.
func closest(r *record, models []sillid.ModelID, wanted map[sillid.ModelID]DesiredVersion) sillid.ModelID {
	best := sillid.ModelID("")
	var least sillid.WeightVersion
	alike := true
	for i, m := range models {
		lag := wanted[m].Version - min(r.loaded[m], wanted[m].Version)
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

// allowed returns the first loads that may begin now. Those that load at once are
// bounded over all models. An engine that finishes its runs first takes no others
// meanwhile, for seconds: that must not hold other models up, nor take more than
// half of the engines of its own.
func (p *Planner) allowed(due []LoadOrder, engines int) []LoadOrder {
	free := max(1, int(loadShare*float64(engines)+0.5))
	finishing := make(map[sillid.ModelID]int)
	owned := make(map[sillid.ModelID]int)
	for _, r := range p.records {
		owned[r.home]++
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
		case l.FinishRuns && finishing[l.Model] < max(1, owned[l.Model]/2):
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

// candidates returns the engines that are due for a load, those first that lag
// behind the most.
func (p *Planner) candidates(now time.Time, engines []silltarget.Entry, wanted map[sillid.ModelID]DesiredVersion) []LoadOrder {
	slices.SortStableFunc(engines, func(a, b silltarget.Entry) int {
		return cmp.Compare(p.lag(b, wanted), p.lag(a, wanted))
	})
	var loads []LoadOrder
	planned := make(map[sillid.ModelID]int)
	for _, e := range engines {
		r := p.records[e.ID]
		w, ok := wanted[r.home]
		held := r.loaded[r.home]
		if !ok || r.pending != nil || held >= w.Version || now.Before(r.notBefore) || e.State != silltarget.Ready {
			continue
		}
		if held >= w.MinVersion && (w.WaitingItems > 0 || p.enough(engines, r.home, w.Version, planned[r.home])) {
			continue
		}
		planned[r.home]++
		loads = append(loads, LoadOrder{Target: e, Model: r.home, Version: w.Version, OrderCount: r.orders, FinishRuns: w.FinishRuns})
	}
	return loads
}

// lag returns how many versions of its model an engine lacks.
func (p *Planner) lag(e silltarget.Entry, wanted map[sillid.ModelID]DesiredVersion) sillid.WeightVersion {
	r := p.records[e.ID]
	newest := wanted[r.home].Version
	return newest - min(r.loaded[r.home], newest)
}

// enough returns whether half of a model's engines have its newest version, are
// loading it or are planned to.
func (p *Planner) enough(engines []silltarget.Entry, model sillid.ModelID, version sillid.WeightVersion, planned int) bool {
	count, newest := 0, planned
	for _, e := range engines {
		r := p.records[e.ID]
		if r.home != model {
			continue
		}
		count++
		if r.loaded[model] >= version || r.pending != nil {
			newest++
		}
	}
	return newest*2 >= count
}

// OrderSent notes that an order is on its way, before it is sent.
func (p *Planner) OrderSent(now time.Time, l LoadOrder) {
	if r := p.records[l.Target.ID]; r != nil {
		r.pending = &order{model: l.Model, version: l.Version, finishRuns: l.FinishRuns, until: now.Add(unknownLimit)}
	}
}

// OrderAccepted notes that an engine carries an order out.
func (p *Planner) OrderAccepted(now time.Time, l LoadOrder) {
	if r := p.records[l.Target.ID]; r != nil && r.pending != nil {
		r.pending.until = now.Add(l.limit())
		r.orders = l.OrderCount + 1
	}
}

// OrderRefused notes that an engine did not take an order; it is asked again later.
func (p *Planner) OrderRefused(now time.Time, l LoadOrder) {
	if r := p.records[l.Target.ID]; r != nil {
		r.pending = nil
		r.notBefore = now.Add(refusedPause)
	}
}

// ObserveReport notes what an engine says of its orders and weights.
func (p *Planner) ObserveReport(id sillid.TargetID, orders uint64, versions map[sillid.ModelID]sillid.WeightVersion) {
	r := p.records[id]
	if r == nil {
		return
	}
	r.orders = orders
	for model, v := range versions {
		r.loaded[model] = max(r.loaded[model], v)
	}
}
