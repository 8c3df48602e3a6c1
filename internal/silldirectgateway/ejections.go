package silldirectgateway

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// newEjectionHook returns a hook that logs and counts decisions on targets with errors.
func newEjectionHook(r *prometheus.Registry, log *zap.Logger) func(silltarget.Ejection) {
	log = log.Named("targets")
	decisions := sillmetric.CounterVec("wasabisill_target_ejections_total",
		"Decisions on targets whose responses are mostly errors (ejected, probe-failed, readmitted, spared).", "decision")
	r.MustRegister(decisions)
	return func(e silltarget.Ejection) {
		decisions.WithLabelValues(string(e.Decision)).Inc()
		log.Warn("Decided on a target with errors.", zap.String("decision", string(e.Decision)),
			zap.String("target", string(e.Run.Target)), zap.Int64("started-at-ms", e.Run.StartedAtMS),
			zap.String("pool", string(e.Pool)), zap.Float64("error-share", e.ErrorShare),
			zap.Float64("others-share", e.OthersShare), zap.Duration("for", e.For))
	}
}
