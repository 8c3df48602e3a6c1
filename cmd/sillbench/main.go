// Command sillbench runs a load against a deployment on loopback, injects faults,
// audits the outcome and writes a report.
package main

import (
	"errors"
	"os"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
)

const mainHelp = `Load and experiments on loopback: run, audit, compare, plot.

A run starts stand-ins and the product's processes (or uses a running deployment),
sends a planned load in an open loop, injects the faults of a schedule, and then
compares what callers and trainers received with what targets ran and with the
reported usage. Any loss, duplicate or mismatch fails the run.

Exit codes: 0 done and audit passed, 1 failed or audit failed, 2 wrong command line.`

// errAudit is the error of a failed audit, whose findings are already printed.
var errAudit = errors.New("the audit failed: read the findings above")

func main() {
	os.Exit(sillcommand.Main("sillbench", mainHelp, []*sillcommand.Command{
		newRunCommand(),
		newAuditCommand(),
		newCompareCommand(),
		newPlotCommand(),
		newScenarioCommand(),
	}))
}
