package main

import (
	"context"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillapp"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

const agentHelp = `Run an agent: the process beside one target, through which every request to the target passes.

The agent runs until SIGTERM. It then takes no new work, waits for the running requests up to control.drain-limit-seconds, writes its last usage figures, and ends. SIGHUP checks the settings again and cuts nothing. Once it listens, it prints one JSON line with its addresses on stdout.`

func newAgentCommand() *sillcommand.Command {
	return newProcessCommand("agent", agentHelp, runAgent)
}

func runAgent(ctx context.Context, file string) error {
	load := func() (*sillsettings.Agent, error) { return loadAgent(file) }
	level := func(s *sillsettings.Agent) string { return s.Log.Level }
	return runProcess(ctx, load, level, func(settings *sillsettings.Agent, log *zap.Logger) error {
		a := sillapp.NewAgent(settings, log)
		return a.Run(ctx, func() error { return printReady(a.Addresses) })
	})
}

func loadAgent(file string) (*sillsettings.Agent, error) {
	settings := sillsettings.DefaultAgent()
	return settings, loadSettings(file, settings, settings.Validate)
}
