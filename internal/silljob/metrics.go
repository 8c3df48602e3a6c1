package silljob

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts takeovers of jobs, and attempts, migrations and results of items.
type Metrics struct {
	results    prometheus.Counter
	takeovers  prometheus.Counter
	migrations prometheus.Counter
	attempts   *prometheus.CounterVec
	aborted    *prometheus.CounterVec
}

// NewMetrics returns the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		results: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_job_results_total", Help: "Results listed by this process.",
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_job_takeovers_total", Help: "Jobs that this process took over.",
		}),
		migrations: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_job_moves_total", Help: "Items that left a slow target for a faster one.",
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_job_attempts_total", Help: "Attempts at items, by outcome.",
		}, []string{"outcome"}),
		aborted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "wasabisill_job_aborted_total", Help: "Items given up, by reason.",
		}, []string{"reason"}),
	}
	if r != nil {
		r.MustRegister(m.results, m.takeovers, m.migrations, m.attempts, m.aborted)
	}
	return m
}
