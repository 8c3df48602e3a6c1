package sillusage

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// Metrics holds the counters of the package.
type Metrics struct {
	// Flushes counts the writes of agent rows by outcome.
	Flushes *prometheus.CounterVec
	// Renewals counts meters that continued under a new name.
	Renewals prometheus.Counter
	// BackupDrops counts the records dropped at the limit of a RecordBackup.
	BackupDrops prometheus.Counter
	// Seals counts the sealed agent rows by reason.
	Seals *prometheus.CounterVec
	// Frozen counts the frozen windows, per organisation.
	Frozen prometheus.Counter
	// Carried counts the requests reported in a later window than the one in which
	// they ended.
	Carried prometheus.Counter
	// Reports counts the sent usage reports by outcome.
	Reports *prometheus.CounterVec
}

// NewMetrics returns metrics registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		Flushes:     sillmetric.CounterVec("wasabisill_usage_flushes_total", "Writes of agent rows.", "outcome"),
		Renewals:    sillmetric.Counter("wasabisill_usage_renewals_total", "Meters that went on under a fresh name."),
		BackupDrops: sillmetric.Counter("wasabisill_usage_witness_drops_total", "Records beyond the limit of a witness."),
		Seals:       sillmetric.CounterVec("wasabisill_usage_seals_total", "Agents ended by the closer.", "reason"),
		Frozen:      sillmetric.Counter("wasabisill_usage_frozen_total", "Frozen windows of organisations."),
		Carried:     sillmetric.Counter("wasabisill_usage_carried_total", "Requests reported in a later window."),
		Reports:     sillmetric.CounterVec("wasabisill_usage_reports_total", "Sends of usage reports.", "outcome"),
	}
	r.MustRegister(m.Flushes, m.Renewals, m.BackupDrops, m.Seals, m.Frozen, m.Carried, m.Reports)
	return m
}

func (m *Metrics) countFlush(err error) {
	m.Flushes.WithLabelValues(silltable.Result(err)).Inc()
}
