package silljob

import (
	"context"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// dispatch sends waiting items to targets with free slots, the most urgent first.
func (r *Runner) dispatch(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return
	}
	r.applyRoutes()
	r.orderGroups(now)
	r.updateShortages(now)
	full := make(map[requirements]bool)
	for _, it := range r.waitingItems(now) {
		r.discardUnresumable(now, it)
		required := requirementsOf(it)
		if full[required] {
			continue
		}
		grant, ok := r.cfg.Directory.Pick(now, r.query(now, it))
		switch {
		case ok:
			r.start(it, grant)
		case len(it.avoid) == 0:
			full[required] = true
		}
	}
}

// versionWaitTimeout is how long a generation waits for a free slot at the engines
// that serve its weight version. Restarting it takes a few times as long.
const versionWaitTimeout = 2 * time.Second

// discardUnresumable discards a generation that only one weight version may
// continue, if no engine serves that version any more or if those that do have
// had no free slot for versionWaitTimeout. Engines load a new version every few
// seconds, so an interrupted generation often finds its version replaced.
func (r *Runner) discardUnresumable(now time.Time, it *itemRun) {
	if exactVersion(it) == 0 {
		return
	}
	if r.isSpare(it) {
		// It yields to other items, so that the wait tells nothing of the engines.
		it.versionWaitSince = time.Time{}
		return
	}
	if it.versionWaitSince.IsZero() {
		it.versionWaitSince = now
	}
	if now.Sub(it.versionWaitSince) < versionWaitTimeout && r.cfg.Directory.AnyEligible(now, r.query(now, it)) {
		return
	}
	r.cfg.Log.Warn("No engine can resume a generation; restarting it.", zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.Uint64("version", uint64(it.versions[0])), zap.Int("events", len(it.events)), zap.Duration("waited", now.Sub(it.versionWaitSince)))
	it.discard()
}

// requirements holds what a target must provide to run an item. exact is 0 if any
// version from min on will do.
type requirements struct {
	pool  sillid.PoolID
	model sillid.ModelID
	min   sillid.WeightVersion
	exact sillid.WeightVersion
	homes sillhome.Homes
}

func requirementsOf(it *itemRun) requirements {
	sub := it.job.sub
	return requirements{pool: it.job.pool, model: sub.Model, min: sub.MinVersion, exact: exactVersion(it), homes: it.job.homes}
}

// exactVersion returns the only weight version that may continue a generation, or
// 0 if any may.
func exactVersion(it *itemRun) sillid.WeightVersion {
	if it.job.sub.SingleVersion && len(it.versions) > 0 {
		return it.versions[0]
	}
	return 0
}

// sharedPromptSaving is the share of an item's work that is saved at a target that has read
// the prompt of its group: a token of the output takes about as long as ten of the prompt, so it is little. A
// group that is kept together at any cost slows the target down, and its last item decides
// when the group is whole.
const sharedPromptSaving = 0.03

// query selects the targets that may run an item. The targets that it migrated away
// from are selected once no other one is left that could run it.
func (r *Runner) query(now time.Time, it *itemRun) silltarget.Query {
	required := requirementsOf(it)
	q := silltarget.Query{
		Pool: required.pool, Homes: required.homes, Zone: r.cfg.Zone, Model: required.model, MinVersion: required.min, ExactVersion: required.exact,
		Cached: it.job.groupTarget[it.item.Group], CachedSaving: sharedPromptSaving,
		Exclude: it.avoid, FreeOnly: true, PreferNewest: it.job.sub.SingleVersion,
		Class: sillrate.Background, Fills: true, Batched: true, MovingCost: r.movingCost(),
	}
	q.WorkTime, q.DueIn = r.workTime(now, it)
	if len(q.Exclude) > 0 && !r.cfg.Directory.AnyEligible(now, q) {
		q.Exclude = nil
	}
	return q
}

// jobQuery selects the targets with a free slot that may run a job's items from their
// beginning.
func (r *Runner) jobQuery(j *ownedJob) silltarget.Query {
	return silltarget.Query{Pool: j.pool, Homes: j.homes, Model: j.sub.Model, MinVersion: j.sub.MinVersion, FreeOnly: true, Class: sillrate.Background}
}

// waitingItems returns the items that may be sent now, in their order.
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
	r.sortItems(list)
	return list
}

func (r *Runner) start(it *itemRun, grant silltarget.Grant) {
	it.phase = running
	it.job.groupTarget[it.item.Group] = grant.ID
	if !it.meetsMinVersion(it.job.sub) {
		it.discard()
	}
	it.job.group.Go(func(ctx context.Context) {
		if permitted, ok := r.acquirePermit(ctx, it, grant); ok {
			r.attempt(ctx, it, permitted)
		}
	})
}

// acquirePermit gets a permit for an item if its target names a limit on requests or may be
// cold. If there is none, it returns the grant and requeues the item.
func (r *Runner) acquirePermit(ctx context.Context, it *itemRun, g silltarget.Grant) (silltarget.Grant, bool) {
	if !g.Limited {
		return g, true
	}
	v := r.cfg.AcquirePermit(ctx, sillpermit.Ask{Run: g.Run(), Class: sillrate.Background, Organisation: it.job.sub.Organisation, Cold: g.Cold})
	if v.Granted {
		return g.WithPermit(v.AskedAt), true
	}
	now := time.Now()
	r.cfg.Directory.Release(now, g, silltarget.Abandoned)
	if ctx.Err() != nil {
		return g, false
	}
	r.cfg.Directory.Deny(now, g.Run(), sillrate.Background, v.RetryAfter)
	r.requeue(it, now)
	return g, false
}

// logSend logs the target of an attempt, at warning level if the attempt is a retry or
// resumes a generation.
func (r *Runner) logSend(it *itemRun, grant silltarget.Grant) {
	it.attempts++
	if grant.MissesDue {
		r.cfg.Metrics.sentLate.Inc()
	}
	level, message := zapcore.InfoLevel, "Item sent."
	if it.attempts > 1 || len(it.events) > 0 {
		level, message = zapcore.WarnLevel, "Item sent again."
	}
	r.cfg.Log.Log(level, message, zap.String("request", string(it.item.ID)), zap.String("job", string(it.job.sub.Job)),
		zap.String("target", string(grant.ID)), zap.Int("events", len(it.events)),
		zap.Float64("slowdown", grant.Slowdown), zap.Bool("misses-due", grant.MissesDue),
		zap.Uint64("version", uint64(grant.Versions[it.job.sub.Model])), zap.Uint64("min-version", uint64(it.job.sub.MinVersion)))
}
