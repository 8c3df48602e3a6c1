// Command sillbench runs a load against a deployment on loopback, injects faults,
// audits the outcome and writes a report.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

const mainHelp = `Load and experiments on loopback: run, audit, compare, plot.

A run starts stand-ins and the product's processes (or uses a running deployment),
sends a planned load in an open loop, injects the faults of a schedule, and then
compares what callers and trainers received with what targets ran and with the
reported usage. Any loss, duplicate or mismatch fails the run.

Exit codes: 0 done and audit passed, 1 failed or audit failed, 2 wrong command line.`

// Exit codes of the program.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// errAudit is the error of a failed audit, whose findings are already printed.
var errAudit = errors.New("the audit failed: read the findings above")

// command is one subcommand of the program.
type command struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context) error
}

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	flaggy.SetName("sillbench")
	flaggy.SetDescription(mainHelp)
	commands := []command{newRunCommand(), newAuditCommand(), newCompareCommand(), newPlotCommand(), newScenarioCommand()}
	for _, c := range commands {
		flaggy.AttachSubcommand(c.sub, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if !c.sub.Used {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "sillbench:", err)
			return exitFailed
		}
		return exitDone
	}
	flaggy.ShowHelp("")
	return exitUsage
}
