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

// invalidLogInterval is the least time between two log lines on invalid values.
const invalidLogInterval = time.Second

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
	invalidEntries := sillmetric.Counter("wasabisill_invalid_cold_entries_total",
		"Runs of targets whose registry entry says in a form that is not defined how long they stay cold.")
	withdrawn := sillmetric.CounterVec("wasabisill_attempts_withdrawn_total",
		"Attempts that were not sent to the target picked for them, by reason (evacuated, not-home, no-cold-permit).", "reason")
	r.MustRegister(invalid, invalidEntries, withdrawn)
	var logged time.Time
	return silltarget.ColdHooks{
		OnInvalid: func(run silltarget.Run) {
			invalid.Inc()
			now := time.Now()
			if now.Sub(logged) < invalidLogInterval {
				return
			}
			logged = now
			log.Warn("Time for which a target stays cold is invalid; ignoring it.", zap.String("target", string(run.Target)))
		},
		OnInvalidEntry: func(run silltarget.Run) {
			invalidEntries.Inc()
			log.Warn("Registry entry has an invalid time for which the target stays cold; ignoring it.",
				zap.String("target", string(run.Target)), zap.Int64("started-at-ms", run.StartedAtMS))
		},
		OnWithdrawn: func(err error) {
			reason := "no-cold-permit"
			switch {
			case errors.Is(err, silltarget.ErrEvacuated):
				reason = "evacuated"
			case errors.Is(err, silltarget.ErrNotHome):
				reason = "not-home"
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

// maxColdLines bounds the log lines that are written at a time on targets that turned cold
// or warm.
const maxColdLines = 16

// coldLog logs and counts the targets that turn cold or warm.
type coldLog struct {
	directory *silltarget.Directory
	changes   *prometheus.CounterVec
	log       *zap.Logger
}

func newColdLog(d *silltarget.Directory, r *prometheus.Registry, log *zap.Logger) *coldLog {
	changes := sillmetric.CounterVec("wasabisill_target_cold_changes_total",
		"Targets that were found to be cold, by reason (said so, new or returned, unreachable, gateway just started), or to be warm again (warm).", "reason")
	r.MustRegister(changes)
	return &coldLog{directory: d, changes: changes, log: log.Named("targets")}
}

// write logs the changes since the last call. Of many it logs some and their number.
func (l *coldLog) write(now time.Time) {
	changes := l.directory.ColdChanges(now)
	for i, c := range changes {
		reason, message := c.Reason, "Target may be cold; its requests need permits."
		if !c.Cold {
			reason, message = "warm", "Target is not cold any more."
		}
		l.changes.WithLabelValues(reason).Inc()
		if i < maxColdLines {
			l.log.Info(message, zap.String("target", string(c.Run.Target)), zap.String("pool", string(c.Pool)), zap.String("zone", string(c.Zone)),
				zap.String("reason", reason), zap.Duration("left", c.Left))
		}
	}
	if extra := len(changes) - maxColdLines; extra > 0 {
		l.log.Info("More targets turned cold or warm.", zap.Int("targets", extra))
	}
}
