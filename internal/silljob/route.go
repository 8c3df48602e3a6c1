package silljob

import (
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
)

// applyRoutes moves each job to the pool that its route uses in the configuration
// in force. It abandons the waiting items of a job whose route was removed.
func (r *Runner) applyRoutes() {
	// The revision is read first, so that the catalog is at least as new.
	current := r.cfg.CatalogRevision()
	catalog := r.cfg.Catalog.Get()
	if catalog == nil {
		return
	}
	for _, j := range r.jobs {
		r.setAwaitsConfig(j, catalog, !j.isCovered(catalog, current >= j.acquired))
		if !j.awaitsConfig {
			r.applyRoute(j, catalog)
		}
	}
}

// isCovered returns whether a catalog tells what became of the job's route. An older one than
// that under which the job was accepted does not: it may lack the route, or have it in another
// pool. A catalog that was current when this process became the owner does, whatever its
// version.
func (j *ownedJob) isCovered(c *sillcatalog.Catalog, current bool) bool {
	return current || (j.sub.ConfigVersion != 0 && c.Version >= j.sub.ConfigVersion)
}

func (r *Runner) setAwaitsConfig(j *ownedJob, c *sillcatalog.Catalog, awaits bool) {
	if j.awaitsConfig == awaits {
		return
	}
	j.awaitsConfig = awaits
	if awaits {
		r.cfg.Metrics.olderConfigs.Inc()
	}
	r.cfg.Log.Info("Configuration compared with that of a job.", zap.String("job", string(j.sub.Job)), zap.Bool("older", awaits),
		zap.Uint64("config", uint64(c.Version)), zap.Uint64("job-config", uint64(j.sub.ConfigVersion)))
}

// applyRoute applies the route of one job in a catalog that covers the job.
func (r *Runner) applyRoute(j *ownedJob, catalog *sillcatalog.Catalog) {
	route := catalog.RouteByID(j.sub.Route)
	if route == nil && j.read > 0 {
		// The route may have been renamed.
		route = catalog.Route(j.sub.Host, j.firstPath)
	}
	j.homes = catalog.Homes(j.sub.Organisation, route)
	switch {
	case route == nil:
		r.abandonWaiting(j)
	case !route.UsesPool(j.pool):
		from := j.pool
		j.pool = route.PickPool(0)
		r.cfg.Log.Warn("Route of a job uses another pool; sending its items there.", zap.String("job", string(j.sub.Job)), zap.String("from", string(from)),
			zap.String("to", string(j.pool)), zap.Uint64("config", uint64(catalog.Version)))
	}
}

// abandonWaiting gives the waiting items of a job a result without a generation.
func (r *Runner) abandonWaiting(j *ownedJob) {
	for _, it := range j.items {
		if it.phase == waiting {
			it.phase, it.abandoned = finished, true
			j.pending = append(j.pending, Result{Item: it.item.ID})
			r.cfg.Metrics.aborted.WithLabelValues("route removed").Inc()
		}
	}
	if len(j.pending) > 0 {
		r.cfg.Log.Warn("Route of a job was removed; abandoned its waiting items.", zap.String("job", string(j.sub.Job)), zap.Int("count", len(j.pending)))
		j.notifyWriter()
	}
}
