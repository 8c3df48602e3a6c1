package main

import (
	"context"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillapp"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

const gatewayHelp = `Run a gateway: it answers callers and trainers, and serves the administration API.

The gateway runs until SIGTERM. It then takes no new connections, waits for the running requests up to control.drain-limit-seconds, and ends. SIGHUP checks the settings again and cuts nothing. Once it listens, it prints one JSON line with its addresses on stdout.`

func newGatewayCommand() *sillcommand.Command {
	return newProcessCommand("gateway", gatewayHelp, runGateway)
}

func runGateway(ctx context.Context, file string) error {
	load := func() (*sillsettings.Gateway, error) { return loadGateway(file) }
	level := func(s *sillsettings.Gateway) string { return s.Log.Level }
	return runProcess(ctx, load, level, func(settings *sillsettings.Gateway, log *zap.Logger) error {
		g := sillapp.NewGateway(settings, log)
		return g.Run(ctx, func() error { return printReady(g.Addresses) })
	})
}

func loadGateway(file string) (*sillsettings.Gateway, error) {
	settings := sillsettings.DefaultGateway()
	return settings, loadSettings(file, settings, settings.Validate)
}
