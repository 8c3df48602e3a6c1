// Command wasabisill is the rollout service: gateway, agent and the operator's tools.
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

const mainHelp = `Rollout service for reinforcement learning: gateways answer callers and trainers, agents run beside the targets.

Exit codes: 0 done, 1 failed, 2 wrong command line or settings, 3 refused by the service.`

// Exit codes of the program.
const (
	exitDone    = 0
	exitFailed  = 1
	exitUsage   = 2
	exitRefused = 3
)

// exitError is an error with the program's exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func main() {
	os.Exit(run())
}

func commands() []*command {
	return []*command{
		newGatewayCommand(),
		newAgentCommand(),
		newPlatformCommand(),
		newDevCommand(),
		newBundleCommand(),
		newSettingsCommand(),
		newLogCommand(),
		newVersionCommand(),
	}
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	flaggy.SetName("wasabisill")
	flaggy.SetDescription(mainHelp)
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	all := commands()
	for _, c := range all {
		flaggy.AttachSubcommand(c.sub, 1)
		c.attachChildren()
	}
	flaggy.Parse()
	for _, c := range all {
		if u := c.used(); u != nil && u.run != nil {
			return finish(u.run(ctx))
		}
	}
	flaggy.ShowHelp("")
	return exitUsage
}

// finish prints the error of a command and returns its exit code.
func finish(err error) int {
	if err == nil {
		return exitDone
	}
	fmt.Fprintln(os.Stderr, "wasabisill:", err)
	var e *exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitFailed
}
