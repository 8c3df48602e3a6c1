package sillreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// maxPrinted bounds the findings that Print writes.
const maxPrinted = 20

// Print writes the audit and the measures for people.
func Print(w io.Writer, r *Report) error {
	t := &strings.Builder{}
	writeAudit(t, &r.Audit)
	m := &r.Measures
	fmt.Fprintf(t, "\n%s, seed %d, %.0f s\n", r.Scenario, r.Seed, m.DurationSeconds)
	fmt.Fprintln(t, "\nkind\toffered\tserved\tp50 ms\tp90 ms\tp99 ms\tmax ms")
	for _, k := range m.Kinds {
		l := k.Latency
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\n", k.Kind, k.Offered, k.Served, l.P50, l.P90, l.P99, l.Max)
	}
	fmt.Fprintln(t, "\norganisation\toffered\tserved\tshare\tbookings\tp99 ms")
	for _, o := range m.Organisations {
		printOrganisation(t, string(o.Organisation), o)
	}
	printOrganisation(t, "worst: "+string(m.Worst.Organisation), m.Worst)
	fmt.Fprintln(t, "\ntrainer\tbatches\tsamples\tof\tidle share\tmean staleness\tmax\tstep p50 ms")
	for _, x := range m.Trainers {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%.2f\t%d\t%d\n",
			x.Trainer, x.Batches, x.Delivered, x.Asked, x.IdleShare, x.MeanStaleness, x.MaxStaleness, x.Step.P50)
	}
	printSpend(t, m)
	printRoles(t, m)
	return align(w, t.String())
}

// PrintAudit writes the verdict and the first findings.
func PrintAudit(w io.Writer, a *Audit) error {
	t := &strings.Builder{}
	writeAudit(t, a)
	return align(w, t.String())
}

// align writes text whose columns are divided by tabs.
func align(w io.Writer, text string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	if _, err := io.WriteString(t, text); err != nil {
		return eris.Wrap(err, "sillreport.align")
	}
	return eris.Wrap(t.Flush(), "sillreport.align")
}

func writeAudit(w *strings.Builder, a *Audit) {
	verdict := "passed"
	if !a.Passed {
		verdict = "FAILED"
	}
	fmt.Fprintf(w, "audit %s: %d calls, %d runs on targets, %d samples, %d usage reports, %d findings\n",
		verdict, a.Calls, a.Runs, a.Samples, a.Reports, len(a.Findings))
	for i, f := range a.Findings {
		if i == maxPrinted {
			fmt.Fprintf(w, "  and %d more\n", len(a.Findings)-maxPrinted)
			break
		}
		fmt.Fprintf(w, "  %s\t%s\t%s\n", f.Kind, f.Subject, f.Detail)
	}
}

func printOrganisation(w *strings.Builder, name string, o OrganisationMeasure) {
	fmt.Fprintf(w, "%s\t%d\t%d\t%.3f\t%d\t%d\n", name, o.Offered, o.Served, o.ServedShare, o.Bookings, o.Latency.P99)
}

func printSpend(w *strings.Builder, m *Measures) {
	s, u := m.Spend, m.Usage
	fmt.Fprintf(w, "\nspend\t%.0f target s\t%.0f busy s\t%.3f served per target s\t%d tokens made\t%d served\n",
		s.TargetSeconds, s.BusySeconds, s.ServedPerTargetSecond, s.TokensMade, s.TokensServed)
	fmt.Fprintf(w, "usage\t%d reports\t%d windows\t%d repeated\t%d late\t%d wrong\n",
		u.Reports, u.Windows, u.Repeated, u.Late, u.Wrong)
	for _, r := range m.Refusals {
		fmt.Fprintf(w, "refused\t%d\t%s\t%s\tstatus %d\n", r.Count, r.Problem, r.Outcome, r.Status)
	}
}

// mebibyte is the unit in which sizes are printed.
const mebibyte = 1 << 20

func printRoles(w *strings.Builder, m *Measures) {
	fmt.Fprintln(w, "\nrole\tprocesses\tcores, mean\tmax\tpeak MiB, max")
	for _, r := range m.Roles {
		fmt.Fprintf(w, "%s\t%d\t%.4f\t%.4f\t%.1f\n",
			r.Role, r.Processes, r.MeanCoreShare, r.MaxCoreShare, float64(r.MaxPeakBytes)/mebibyte)
	}
	fmt.Fprintf(w, "table\t%.1f reads/s\t%.1f writes/s\t%.0f B/s read\t%.0f B/s written\n",
		m.Table.ReadsPerSecond, m.Table.WritesPerSecond, m.Table.BytesReadPerSecond, m.Table.BytesWrittenPerSecond)
}
