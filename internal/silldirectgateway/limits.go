package silldirectgateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

const (
	// limitsPath is the HTTP path on which gateways accept the limits of targets for which
	// a peer grants permits.
	limitsPath = "/target-limits"
	// maxSharedLimits bounds the limits that a gateway shares at a time. One takes up to
	// 100 bytes of the gateway's row.
	maxSharedLimits = 64
)

// targetLimits shares the limits of the targets for which this process grants permits.
type targetLimits = sharedList[silltarget.RunLimit]

func newTargetLimits(d *silltarget.Directory, adapter *Adapter, log *zap.Logger) *targetLimits {
	return &targetLimits{
		name: "limits", path: limitsPath, max: maxSharedLimits, pool: adapter.PeerPool, log: log.Named("targets"),
		merge: func(limits []silltarget.RunLimit) { d.MergeLimits(time.Now(), limits) },
	}
}

// newBroker returns the broker of permits, and makes the process share the limits of the
// targets for which it grants them.
func newBroker(adapter *Adapter, d *silltarget.Directory, m *membership, r *prometheus.Registry) *sillpermit.Broker {
	m.limits.list = func() []silltarget.RunLimit {
		return d.Limits(time.Now(), maxSharedLimits, func(run silltarget.Run) bool { return m.permitPlace(run).Self })
	}
	return sillpermit.New(sillpermit.Config{
		Directory: d, Pool: adapter.PeerPool, Place: m.permitPlace, Position: m.permitPosition, Now: time.Now,
		Metrics: sillpermit.NewMetrics(r),
	})
}

// newLimitHooks returns hooks that log and count the limits that targets name.
func newLimitHooks(r *prometheus.Registry, log *zap.Logger) silltarget.LimitHooks {
	log = log.Named("targets")
	changes := sillmetric.CounterVec("wasabisill_target_limit_changes_total",
		"Limits on requests a second that targets began to name, changed or ended, by source (response, peer).", "source")
	invalid := sillmetric.Counter("wasabisill_invalid_limits_total",
		"Responses of targets with a limit on requests in a form that is not defined.")
	r.MustRegister(changes, invalid)
	return silltarget.LimitHooks{
		OnChange: func(run silltarget.Run, limit sillrate.PerSecond, from silltarget.NoticeSource) {
			changes.WithLabelValues(string(from)).Inc()
			message := "Target names a limit on requests."
			if limit == 0 {
				message = "Target names no limit on requests any more."
			}
			log.Info(message, zap.String("target", string(run.Target)), zap.Int64("started-at-ms", run.StartedAtMS),
				zap.Float64("per-second", float64(limit)), zap.String("source", string(from)))
		},
		OnInvalid: func(run silltarget.Run) {
			invalid.Inc()
			log.Warn("Limit on requests is invalid; ignoring it.", zap.String("target", string(run.Target)))
		},
	}
}
