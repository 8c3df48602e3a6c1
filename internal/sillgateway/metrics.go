package sillgateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Metrics are the counters of the callers' side.
type Metrics struct {
	// Refused counts requests without a complete response, by kind and outcome.
	Refused *prometheus.CounterVec
	// Answered counts complete responses, by organisation and route.
	Answered *prometheus.CounterVec
	// Duration is the time to the last byte of a complete response, in seconds.
	Duration *prometheus.HistogramVec
	// EndedWithdrawn counts requests that ended because their key was withdrawn.
	EndedWithdrawn prometheus.Counter
	// Replayed counts repeated requests that got the stored response of the first.
	Replayed prometheus.Counter
}

// NewMetrics registers the counters.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Refused:  sillmetric.CounterVec("wasabisill_gateway_refused_total", "Requests without a whole answer, by kind and by what is known of their effect.", "kind", "outcome"),
		Answered: sillmetric.CounterVec("wasabisill_gateway_answered_total", "Whole answers, by organisation and route.", "organisation", "route"),
		Duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "wasabisill_gateway_answer_seconds",
			Help:    "Time from a request's arrival to the last byte of its whole answer.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"route"}),
		EndedWithdrawn: sillmetric.Counter("wasabisill_gateway_ended_withdrawn_total", "Running requests that ended because their key was withdrawn."),
		Replayed:       sillmetric.Counter("wasabisill_gateway_replayed_total", "Kept answers given to repeated requests."),
	}
	for kind := range sillproblem.Kinds() {
		m.Refused.WithLabelValues(string(kind), string(sillproblem.NotRun))
	}
	r.MustRegister(m.Refused, m.Answered, m.Duration, m.EndedWithdrawn, m.Replayed)
	return m
}

func (m *Metrics) refused(p *sillproblem.Problem) {
	m.Refused.WithLabelValues(string(p.Kind), string(p.Outcome)).Inc()
}
