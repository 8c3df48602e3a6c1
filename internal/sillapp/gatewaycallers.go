package sillapp

import (
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillfleet"
	"github.com/wasabisill/wasabisill/internal/sillgateway"
	"github.com/wasabisill/wasabisill/internal/sillidempotency"
	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillretry"
)

// targetWait covers the time until a started gateway has its first links, and a
// moment in which a pool has no target that takes work.
const targetWait = 2 * time.Second

func newDispatcher(b background, f *sillfleet.Fleet, r *recordBackup, c *sillcrash.SharedTracker, m *silldispatch.Metrics) *silldispatch.Dispatcher {
	return silldispatch.New(silldispatch.Config{
		Choose:     f.Choose,
		OnUsage:    r.add,
		Group:      b.Group,
		TargetWait: targetWait,
		Policy:     sillretry.DefaultPolicy(),
		Suspects:   c,
		OnDeath:    f.SendHeartbeatsNow,
		Metrics:    m,
		Now:        time.Now,
	})
}

// endExchanges lets the agents tell the end of runs that were cancelled, before the
// links close.
func endExchanges(lc fx.Lifecycle, d *silldispatch.Dispatcher) {
	lc.Append(fx.StopHook(d.AwaitLingering))
}

// callersParts holds the dependencies of the callers' API.
type callersParts struct {
	fx.In

	Config   *sillbundlestore.Service
	Dispatch *silldispatch.Dispatcher
	Trainers trainers
	Repeat   *sillidempotency.Keeper
	Metrics  *sillgateway.Metrics
	Log      *zap.Logger
}

func newCallers(p callersParts) *sillgateway.Gateway {
	return sillgateway.New(sillgateway.Config{
		Access:    func() sillgateway.Access { return access(p.Config.Snapshot()) },
		Dispatch:  p.Dispatch,
		Admission: silllimit.NewAdmission(),
		Trainers:  p.Trainers,
		Repeat:    p.Repeat,
		Metrics:   p.Metrics,
		Log:       p.Log.Named("callers"),
		Now:       time.Now,
	})
}
