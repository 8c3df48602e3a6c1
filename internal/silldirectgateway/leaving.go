package silldirectgateway

import (
	"math/rand/v2"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltarget"
)

const (
	// leavingPath is the HTTP path on which gateways accept the leaving targets that a
	// peer knows.
	leavingPath = "/leaving-targets"
	// maxSharedLeaving bounds the leaving targets that a gateway shares at a time. One
	// takes up to 100 bytes of the gateway's row.
	maxSharedLeaving = 64
)

// newDirectory returns the directory of targets.
func newDirectory(s *Settings, adapter *Adapter, r *prometheus.Registry, log *zap.Logger) *silltarget.Directory {
	d := silltarget.NewDirectoryWith(silltarget.Config{
		Notices: newNoticeHooks(r, log), Limits: newLimitHooks(r, log), OnEjection: newEjectionHook(r, log), UnsoundTargets: s.UnsoundTargets, OnSwitch: newSwitchHook(log), Seed: rand.Uint64(), Connected: adapter.TargetPool.HasIdle,
		Cold: newColdHooks(r, log), ColdOvershoot: s.ColdOvershoot, ColdSlack: s.ColdSlack, RegionOf: s.RegionOf,
	})
	registerColdGauges(r, d)
	return d
}

// newNoticeHooks returns hooks that log and count the notices of targets.
func newNoticeHooks(r *prometheus.Registry, log *zap.Logger) silltarget.NoticeHooks {
	log = log.Named("targets")
	leaving := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "wasabisill_targets_leaving_total",
		Help: "Runs of targets learned to leave, by source (response, peer).",
	}, []string{"source"})
	invalid := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "wasabisill_invalid_leaving_notices_total",
		Help: "Responses of targets with a notice of leaving in a form that is not defined.",
	})
	r.MustRegister(leaving, invalid)
	return silltarget.NoticeHooks{
		OnLeaving: func(run silltarget.Run, from silltarget.NoticeSource) {
			leaving.WithLabelValues(string(from)).Inc()
			log.Info("Target leaves; sending it no new requests.", zap.String("target", string(run.Target)),
				zap.Int64("started-at-ms", run.StartedAtMS), zap.String("source", string(from)))
		},
		OnInvalid: func(run silltarget.Run) {
			invalid.Inc()
			log.Warn("Notice of leaving is invalid; ignoring it.", zap.String("target", string(run.Target)))
		},
	}
}

// leavingTargets shares the targets that leave.
type leavingTargets = sharedList[silltarget.Run]

func newLeavingTargets(d *silltarget.Directory, adapter *Adapter, log *zap.Logger) *leavingTargets {
	return &leavingTargets{
		name: "leaving targets", path: leavingPath, max: maxSharedLeaving, pool: adapter.PeerPool, log: log.Named("targets"),
		list:  func() []silltarget.Run { return d.LeavingRuns(maxSharedLeaving) },
		merge: func(runs []silltarget.Run) { d.MergeLeaving(time.Now(), runs) },
	}
}
