package sillusage

import (
	"context"
	"errors"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbilling"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

// ReporterConfig configures a Reporter.
type ReporterConfig struct {
	Store   *silltable.Store
	Billing *sillbilling.Client
	// Now is the wall clock.
	Now     func() time.Time
	Logger  *zap.Logger
	Metrics *Metrics
}

// Reporter sends the reports of frozen windows to the platform. Its state is in the
// table.
type Reporter struct {
	ReporterConfig
}

// NewReporter returns a reporter.
func NewReporter(cfg ReporterConfig) *Reporter {
	return &Reporter{ReporterConfig: cfg}
}

// ErrLeaseLost is returned if the lease ended before a report was sent.
var ErrLeaseLost = errors.New("lease lost: leave reports to the next holder")

// Step sends every frozen window that the platform is not known to have accepted,
// each organisation's in order. A failure delays only the organisation's later
// windows; the next step sends the same bytes again.
func (r *Reporter) Step(ctx context.Context, guard silllease.Guard) error {
	rows, err := r.Store.ListAll(ctx, windowPrefix)
	if err != nil {
		return eris.Wrap(err, "sillusage.Reporter.Step")
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	var failed []error
	delayed := make(map[string]bool)
	for _, row := range rows {
		org := row.Key[:strings.LastIndex(row.Key, "/")]
		if delayed[org] {
			continue
		}
		err := r.report(ctx, guard, row)
		if errors.Is(err, ErrLeaseLost) {
			return eris.Wrap(err, "sillusage.Reporter.Step")
		}
		if err != nil {
			delayed[org] = true
			failed = append(failed, err)
		}
	}
	return eris.Wrap(errors.Join(failed...), "sillusage.Reporter.Step")
}

// report sends one window and records that the platform accepted it.
func (r *Reporter) report(ctx context.Context, guard silllease.Guard, row silltable.Row) error {
	var frozen windowRow
	if err := decodeRow(row, &frozen); err != nil {
		return err
	}
	mayAct := func() bool { return guard.MayAct(r.Now()) }
	if !mayAct() {
		r.Metrics.Reports.WithLabelValues("lease-lost").Inc()
		return ErrLeaseLost
	}
	err := r.Billing.Send(ctx, frozen.Report, mayAct)
	r.Metrics.Reports.WithLabelValues(sendOutcome(err)).Inc()
	if err != nil {
		r.Logger.Warn("A usage report was not confirmed; the next step sends it again.", zap.String("row", row.Key), zap.Error(err))
		return err
	}
	frozen.SentAt = r.Now().UnixMilli()
	name := strings.TrimPrefix(row.Key, windowPrefix)
	_, err = r.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{guard.Check, {Key: row.Key, Revision: row.Revision}},
		Writes: []silltable.Write{
			{Key: row.Key, Delete: true},
			{Key: sentPrefix + name, Value: encodeRow(frozen)},
		},
	})
	return eris.Wrapf(err, "sillusage.report: row %q", row.Key)
}

func sendOutcome(err error) string {
	switch {
	case err == nil:
		return "taken"
	case errors.Is(err, sillbilling.ErrRejected):
		return "rejected"
	default:
		return "unconfirmed"
	}
}
