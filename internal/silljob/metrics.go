package silljob

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/wasabisill/wasabisill/internal/sillmetric"
)

// Metrics counts takeovers of jobs, and attempts, migrations and results of items.
type Metrics struct {
	results   prometheus.Counter
	takeovers prometheus.Counter
	// jobsLeft counts jobs that were left to owners that answer and don't renew their rows.
	jobsLeft   prometheus.Counter
	migrations prometheus.Counter
	// sentLate counts items sent to targets where they are expected to miss their due time.
	sentLate prometheus.Counter
	// olderConfigs counts jobs that were accepted under a newer configuration than this
	// process had.
	olderConfigs prometheus.Counter
	// undecoded counts rows, or elements of them, that could not be decoded.
	undecoded prometheus.Counter
	// loadRetries counts failed reads of parts of jobs.
	loadRetries prometheus.Counter
	// unreadable is the number of jobs that this process should run and can't decode.
	unreadable prometheus.Gauge
	attempts   *prometheus.CounterVec
	aborted    *prometheus.CounterVec
	// delayedGroups counts groups that other groups go before, by what they are expected to
	// earn.
	delayedGroups *prometheus.CounterVec
	// spareGroups is the number of groups that no trainer is expected to wait for and that yield.
	spareGroups *prometheus.GaugeVec
}

// NewMetrics returns the metrics and registers them with r unless r is nil.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		results:       sillmetric.Counter("wasabisill_job_results_total", "Results listed by this process."),
		takeovers:     sillmetric.Counter("wasabisill_job_takeovers_total", "Jobs that this process took over."),
		jobsLeft:      sillmetric.Counter("wasabisill_job_left_to_owners_total", "Jobs that were left to owners that answer but don't renew their rows."),
		migrations:    sillmetric.Counter("wasabisill_job_moves_total", "Items that left a slow target for a faster one."),
		sentLate:      sillmetric.Counter("wasabisill_job_sent_late_total", "Items sent to targets where they are expected to miss their due time."),
		olderConfigs:  sillmetric.Counter("wasabisill_job_older_config_total", "Jobs that this process ran while its configuration may have been older than theirs."),
		undecoded:     sillmetric.Counter("wasabisill_job_undecoded_total", "Rows of jobs, or parts of them, that could not be decoded."),
		loadRetries:   sillmetric.Counter("wasabisill_job_load_retries_total", "Failed reads of parts of a job that this process loads."),
		unreadable:    sillmetric.Gauge("wasabisill_job_unreadable", "Jobs that this process should run and whose rows it can't decode."),
		attempts:      sillmetric.CounterVec("wasabisill_job_attempts_total", "Attempts at items, by outcome.", "outcome"),
		aborted:       sillmetric.CounterVec("wasabisill_job_aborted_total", "Items given up, by reason.", "reason"),
		delayedGroups: sillmetric.CounterVec("wasabisill_job_delayed_groups_total", "Groups that others go before in a pool short of slots, by what they are expected to earn.", "standing"),
		spareGroups:   sillmetric.GaugeVec("wasabisill_job_spare_groups", "Groups that yield since their trainers are expected not to wait for them, by pool.", "pool"),
	}
	if r != nil {
		r.MustRegister(m.results, m.takeovers, m.jobsLeft, m.migrations, m.sentLate, m.olderConfigs, m.loadRetries, m.undecoded, m.unreadable, m.attempts, m.aborted, m.delayedGroups, m.spareGroups)
	}
	return m
}

// CountUndecoded counts a row, or an element of one, that could not be decoded.
func (m *Metrics) CountUndecoded() { m.undecoded.Inc() }
