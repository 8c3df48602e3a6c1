package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/silldev"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const devHelp = `Run a whole deployment in one process on loopback, with stand-ins of the platform, the engines, the services and the scorer.

It needs no settings. When it serves, it prints one JSON line on stdout and example commands on stderr. It runs until SIGTERM or Ctrl-C and keeps nothing.`

func newDevCommand() *sillcommand.Command {
	cfg := silldev.Config{Engines: 2, Services: 2}
	var callers, admin, metrics string
	level := "warn"
	sub := flaggy.NewSubcommand("dev")
	describe(sub, devHelp)
	sub.Int(&cfg.Engines, "", "engines", "number of model engines")
	sub.Int(&cfg.Services, "", "services", "number of plain services")
	sub.String(&callers, "", "listen", "IP:PORT for callers; a free port by default")
	sub.String(&admin, "", "listen-admin", "IP:PORT of the administration API; a free port by default")
	sub.String(&metrics, "", "listen-metrics", "IP:PORT for metrics; a free port by default")
	sub.String(&level, "", "log-level", "debug, info, warn or error")
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		cfg.Listen = sillsettings.GatewayListen{
			Callers: sillsettings.Address(callers),
			Admin:   sillsettings.Address(admin),
			Metrics: sillsettings.Address(metrics),
		}
		return runDev(ctx, cfg, level)
	}}
}

// devReady is the line from which scripts read how to reach the deployment.
type devReady struct {
	Ready           bool                             `json:"ready"`
	GatewayURL      string                           `json:"gateway-url"`
	AdminURL        string                           `json:"admin-url"`
	MetricsURL      string                           `json:"metrics-url"`
	PlatformURL     string                           `json:"platform-url"`
	Keys            map[sillid.OrganisationID]string `json:"keys"`
	AdminCredential string                           `json:"admin-credential"`
	ModelRoute      string                           `json:"model-route"`
	ServiceRoute    string                           `json:"service-route"`
	Trainer         sillid.TrainerID                 `json:"trainer"`
	Directory       string                           `json:"directory"`
}

func runDev(ctx context.Context, cfg silldev.Config, level string) error {
	log, err := silllog.New(level)
	if err != nil {
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: err}
	}
	cfg.Log = log
	d, err := silldev.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer d.Stop()
	if err := printReady(readyOf(d)); err != nil {
		return err
	}
	fmt.Fprint(os.Stderr, d.Examples())
	<-ctx.Done()
	return nil
}

func readyOf(d *silldev.Deployment) devReady {
	return devReady{
		Ready:           true,
		GatewayURL:      "http://" + d.Gateway.Addresses.Callers,
		AdminURL:        "http://" + d.Gateway.Addresses.Admin,
		MetricsURL:      "http://" + d.Gateway.Addresses.Metrics,
		PlatformURL:     d.PlatformURL,
		Keys:            d.Keys,
		AdminCredential: d.AdminCredential,
		ModelRoute:      silldev.ModelRoute,
		ServiceRoute:    silldev.ServiceRoute,
		Trainer:         silldev.Trainer,
		Directory:       d.Dir,
	}
}
