package silldirectgateway

import (
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// coldRules returns the rules of the pools whose targets may be cold.
func coldRules(c *sillcatalog.Catalog) map[sillid.PoolID]silltarget.ColdRule {
	rules := make(map[sillid.PoolID]silltarget.ColdRule, len(c.ColdPools))
	for _, p := range c.ColdPools {
		rules[p.Pool] = silltarget.ColdRule{PerSecond: sillrate.PerSecond(p.PerSecond), StartTime: p.StartTime}
	}
	return rules
}

// newColdHooks returns hooks that log and count what targets say of being cold.
func newColdHooks(r *prometheus.Registry, log *zap.Logger) silltarget.ColdHooks {
	log = log.Named("targets")
	invalid := sillmetric.Counter("wasabisill_invalid_cold_notices_total",
		"Responses of targets that say in a form that is not defined how long they stay cold.")
	withdrawn := sillmetric.CounterVec("wasabisill_attempts_withdrawn_total",
		"Attempts that were not sent to the target picked for them, by reason (evacuated, no-cold-permit).", "reason")
	r.MustRegister(invalid, withdrawn)
	return silltarget.ColdHooks{
		OnInvalid: func(run silltarget.Run) {
			invalid.Inc()
			log.Warn("Time for which a target stays cold is invalid; ignoring it.", zap.String("target", string(run.Target)))
		},
		OnWithdrawn: func(err error) {
			reason := "no-cold-permit"
			if errors.Is(err, silltarget.ErrEvacuated) {
				reason = "evacuated"
			}
			withdrawn.WithLabelValues(reason).Inc()
		},
	}
}

// registerColdGauges registers the numbers of cold targets and evacuated zones.
func registerColdGauges(r *prometheus.Registry, d *silltarget.Directory) {
	r.MustRegister(
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "wasabisill_cold_targets", Help: "Targets that are or may be cold, so that each request to them needs a permit.",
		}, func() float64 { return float64(d.CountCold(time.Now())) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "wasabisill_evacuated_zones", Help: "Availability zones whose targets get no requests.",
		}, func() float64 { return float64(len(d.Evacuated())) }),
	)
}
