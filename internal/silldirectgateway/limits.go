package silldirectgateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

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
