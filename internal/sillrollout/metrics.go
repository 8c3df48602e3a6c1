package sillrollout

import (
	"errors"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Metrics counts the events of samples and deliveries.
type Metrics struct {
	samples        *prometheus.CounterVec
	unattributable *prometheus.CounterVec
	formFailures   *prometheus.CounterVec
	withdrawn      prometheus.Counter
}

// NewMetrics registers the counters; a nil registerer leaves them unregistered.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		samples:        sillmetric.CounterVec("wasabisill_rollout_samples_total", "Samples by what happened to them.", "event"),
		unattributable: sillmetric.CounterVec("wasabisill_rollout_unattributable_total", "Discarded generations by reason.", "reason"),
		formFailures:   sillmetric.CounterVec("wasabisill_rollout_form_failures_total", "Deliveries that could not be formed by reason.", "reason"),
		withdrawn:      sillmetric.Counter("wasabisill_rollout_groups_withdrawn_total", "Groups whose delivery grew too old before it was given."),
	}
	for _, reason := range sillattribution.Reasons() {
		m.unattributable.WithLabelValues(string(reason))
	}
	if r != nil {
		r.MustRegister(m.samples, m.unattributable, m.formFailures, m.withdrawn)
	}
	return m
}

// count adds the difference between two states of a batch's statistics to the
// counters and stores the later one in seen.
func (m *Metrics) count(seen *Stats, now Stats) {
	add := func(event string, before, after int) {
		m.samples.WithLabelValues(event).Add(float64(after - before))
	}
	add("started", seen.Started, now.Started)
	add("finished", seen.Finished, now.Finished)
	add("failed", seen.Failed, now.Failed)
	add("second-run", seen.SecondAttempts, now.SecondAttempts)
	add("migrated", seen.Migrations, now.Migrations)
	add("renewed", seen.Renewed, now.Renewed)
	add("over-bound", seen.OverBound, now.OverBound)
	add("score-failed", seen.ScoreFailed, now.ScoreFailed)
	add("dropped", seen.Dropped, now.Dropped)
	add("late", seen.Late, now.Late)
	counted := seen.Unattributable
	if counted == nil {
		counted = make(map[sillattribution.Reason]int)
	}
	for reason, n := range now.Unattributable {
		m.unattributable.WithLabelValues(string(reason)).Add(float64(n - counted[reason]))
		counted[reason] = n
	}
	*seen = now
	seen.Unattributable = counted
}

func (m *Metrics) countWithdrawn(groups int) { m.withdrawn.Add(float64(groups)) }

func (m *Metrics) formFailed(err error) {
	reason := "other"
	switch {
	case errors.Is(err, errStale):
		reason = "stale"
	case errors.Is(err, silltable.ErrConflict):
		reason = "conflict"
	case errors.Is(err, silltable.ErrUnavailable):
		reason = "store-unavailable"
	case errors.Is(err, silltable.ErrUnknown):
		reason = "outcome-unknown"
	}
	m.formFailures.WithLabelValues(reason).Inc()
}
