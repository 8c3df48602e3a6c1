package silljob

import "github.com/wasabisill/wasabisill/internal/sillschedule"

// priority returns the priority of a job's items.
func (r *Runner) priority(j *ownedJob) sillschedule.Priority {
	catalog := r.cfg.Catalog.Get()
	if catalog == nil {
		return 0
	}
	return catalog.Priority(j.sub.Organisation, catalog.RouteByID(j.sub.Route))
}
