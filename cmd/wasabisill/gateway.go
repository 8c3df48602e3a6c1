package main

import (
	"context"

	"github.com/wasabisill/wasabisill/internal/sillapp"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

const gatewayHelp = `Run a gateway: it answers callers and trainers, and serves the administration API.

The gateway runs until SIGTERM. It then takes no new connections, waits for the running requests up to control.drain-limit-seconds, and ends. SIGHUP checks the settings again and cuts nothing. Once it listens, it prints one JSON line with its addresses on stdout.`

func newGatewayCommand() *sillcommand.Command {
	return newProcessCommand("gateway", gatewayHelp, runGateway)
}

func runGateway(ctx context.Context, file string) error {
	outliveLogReader()
	received := receiveHangups()
	settings, err := loadGateway(file)
	if err != nil {
		return err
	}
	log, err := silllog.New(settings.Log.Level)
	if err != nil {
		return err
	}
	group := sillgroup.New(ctx)
	defer group.Stop()
	group.Go(func(ctx context.Context) {
		received.follow(ctx, log, func() error {
			_, err := loadGateway(file)
			return err
		})
	})
	g := sillapp.NewGateway(settings, log)
	return g.Run(ctx, func() error { return printReady(g.Addresses) })
}

func loadGateway(file string) (*sillsettings.Gateway, error) {
	settings := sillsettings.DefaultGateway()
	return settings, loadSettings(file, settings, settings.Validate)
}
