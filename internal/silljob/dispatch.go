package silljob

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// dispatch starts waiting items at targets with free slots, the most urgent first.
func (r *Runner) dispatch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	r.applyRoutes()
	full := make(map[requirements]bool)
	for _, it := range r.waitingItems(now) {
		r.discardUnresumable(now, it)
		key := requirementsOf(it)
		if full[key] {
			continue
		}
		grant, ok := r.cfg.Directory.Pick(now, r.query(it))
		if !ok {
			full[key] = true
			continue
		}
		r.start(it, grant)
	}
}

// versionWaitTimeout is how long a text waits for a free slot at the engines that may
// go on with it. Starting anew takes a few times as long.
const versionWaitTimeout = 2 * time.Second

// discardUnresumable discards a text that only one version may go on with, if no
// engine has that version any more or those that have it stay full. Engines load
// a version every few seconds, so a text that is cut is easily left behind.
func (r *Runner) discardUnresumable(now time.Time, it *itemRun) {
	if exactVersion(it) == 0 {
		return
	}
	if it.versionWaitSince.IsZero() {
		it.versionWaitSince = now
	}
	if now.Sub(it.versionWaitSince) < versionWaitTimeout && r.cfg.Directory.AnyEligible(now, r.query(it)) {
		return
	}
	r.cfg.Log.Warn("Text starts anew.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.Uint64("version", uint64(it.versions[0])), zap.Int("events", len(it.events)), zap.Duration("waited", now.Sub(it.versionWaitSince)))
	it.discard()
}

// applyRoutes has each job run where the configuration in force sends its
// route. The items of a job whose route is gone are given up.
func (r *Runner) applyRoutes() {
	catalog := r.cfg.Catalog.Get()
	if catalog == nil {
		return
	}
	for _, j := range r.jobs {
		route := catalog.RouteByID(j.sub.Route)
		if route == nil {
			// The route may go on under another name.
			route = catalog.Route(j.sub.Host, j.sub.Items[0].Path)
		}
		switch {
		case route == nil:
			r.abandonWaiting(j)
		case !route.UsesPool(j.pool):
			from := j.pool
			j.pool = route.PickPool(0)
			r.cfg.Log.Warn("Route of a job moved.", zap.String("job", string(j.sub.Job)), zap.String("from", string(from)),
				zap.String("to", string(j.pool)), zap.Uint64("config", uint64(catalog.Version)))
		}
	}
}

// abandonWaiting gives up the items of a job that do not run.
func (r *Runner) abandonWaiting(j *ownedJob) {
	for _, it := range j.items {
		if it.phase == waiting {
			it.phase = finished
			j.pending = append(j.pending, Result{Item: it.item.ID})
			r.cfg.Metrics.aborted.WithLabelValues("route removed").Inc()
		}
	}
	if len(j.pending) > 0 {
		r.cfg.Log.Warn("Gave up items of a removed route.", zap.String("job", string(j.sub.Job)), zap.Int("count", len(j.pending)))
		j.notifyWriter()
	}
}

// requirements is what the targets of an item must offer.
type requirements struct {
	pool  sillid.PoolID
	model sillid.ModelID
	min   sillid.WeightVersion
	exact sillid.WeightVersion
}

func requirementsOf(it *itemRun) requirements {
	sub := it.job.sub
	return requirements{pool: it.job.pool, model: sub.Model, min: sub.MinVersion, exact: exactVersion(it)}
}

// exactVersion is the version that must go on with a text, or 0 if any may.
func exactVersion(it *itemRun) sillid.WeightVersion {
	if it.job.sub.SingleVersion && len(it.versions) > 0 {
		return it.versions[0]
	}
	return 0
}

func (r *Runner) query(it *itemRun) silltarget.Query {
	key := requirementsOf(it)
	return silltarget.Query{
		Pool: key.pool, Zone: r.cfg.Zone, Model: key.model, MinVersion: key.min, ExactVersion: key.exact,
		Prefer: it.job.groupTarget[it.item.Group], Exclude: it.avoid, FreeOnly: true, PreferNewest: it.job.sub.SingleVersion,
	}
}

func (r *Runner) waitingItems(now time.Time) []*itemRun {
	var list []*itemRun
	for _, j := range r.jobs {
		if j.held.Ended {
			continue
		}
		for _, it := range j.items {
			if it.phase == waiting && !now.Before(it.notBefore) {
				list = append(list, it)
			}
		}
	}
	slices.SortFunc(list, byUrgency)
	return list
}

func (r *Runner) start(it *itemRun, grant silltarget.Grant) {
	it.phase = running
	it.job.groupTarget[it.item.Group] = grant.ID
	if !it.meetsMinVersion(it.job.sub) {
		it.discard()
	}
	r.logSend(it, grant)
	it.job.group.Go(func(ctx context.Context) { r.attempt(ctx, it, grant) })
}

// logSend tells where an item goes; a first run is the usual case.
func (r *Runner) logSend(it *itemRun, grant silltarget.Grant) {
	it.attempts++
	level, message := zapcore.InfoLevel, "Item sent."
	if it.attempts > 1 || len(it.events) > 0 {
		level, message = zapcore.WarnLevel, "Item sent again."
	}
	r.cfg.Log.Log(level, message, zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.String("target", string(grant.ID)), zap.Int("events", len(it.events)),
		zap.Uint64("version", uint64(grant.Versions[it.job.sub.Model])), zap.Uint64("min-version", uint64(it.job.sub.MinVersion)))
}
