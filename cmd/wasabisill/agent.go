package main

import (
	"context"

	"github.com/wasabisill/wasabisill/internal/sillapp"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

const agentHelp = `Run an agent: the process beside one target, through which every request to the target passes.

The agent runs until SIGTERM. It then takes no new work, waits for the running requests up to control.drain-limit-seconds, writes its last usage figures, and ends. Once it listens, it prints one JSON line with its addresses on stdout.`

func newAgentCommand() *sillcommand.Command {
	return newProcessCommand("agent", agentHelp, runAgent)
}

func runAgent(ctx context.Context, file string) error {
	settings := sillsettings.DefaultAgent()
	if err := loadSettings(file, settings, settings.Validate); err != nil {
		return err
	}
	log, err := silllog.New(settings.Log.Level)
	if err != nil {
		return err
	}
	a := sillapp.NewAgent(settings, log)
	return a.Run(ctx, func() error { return printReady(a.Addresses) })
}
