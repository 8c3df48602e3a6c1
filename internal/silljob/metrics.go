package silljob

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts what becomes of jobs and items.
type Metrics struct {
	results   prometheus.Counter
	takeovers prometheus.Counter
	moves     prometheus.Counter
	attempts  *prometheus.CounterVec
	aborted   *prometheus.CounterVec
}

// NewMetrics registers the metrics; a nil registerer keeps them to itself.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		results: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_job_results_total", Help: "Results listed by this process.",
		}),
		takeovers: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "wasabisill_job_takeovers_total", Help: "Jobs that this process took over.",
		}),
		moves: prometheus.NewCounter(prometheus.CounterOpts{
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
		r.MustRegister(m.results, m.takeovers, m.moves, m.attempts, m.aborted)
	}
	return m
}
