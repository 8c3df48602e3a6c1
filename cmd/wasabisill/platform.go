package main

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	sillplatform "github.com/wasabisill/wasabisill/platform"
)

const platformHelp = `Run a gateway on the prepared platform: it serves callers and trainers and calls the targets itself.

The settings file is the one that the platform writes; the environment variable ` + sillplatform.SettingsVariable + ` names it. The gateway runs until SIGTERM. It then counts as not ready, hands its jobs to other gateways, finishes the requests that it has begun and ends within the grace period of the settings. SIGHUP checks the settings file again and interrupts nothing.`

// memoryShare is the share of the instance's memory up to which the heap may grow;
// the rest is for stacks, socket buffers and the program itself.
const memoryShare = 0.6

func newPlatformCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("platform")
	describe(sub, platformHelp)
	return &sillcommand.Command{Sub: sub, Run: runPlatform}
}

func runPlatform(ctx context.Context) error {
	outliveLogReader()
	received := receiveHangups()
	settings, err := sillplatform.LoadSettings()
	if err != nil {
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: err}
	}
	log, queue, err := silllog.NewQueued(os.Stdout, "info")
	if err != nil {
		return err
	}
	defer queue.Close()
	if n := settings.Direct.Cores; n > 0 {
		runtime.GOMAXPROCS(n)
	}
	if m := settings.Direct.MemoryBytes; m > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(m)))
	}
	// Hangups are handled until the end of the stop, which begins when ctx ends.
	group := sillgroup.New(context.WithoutCancel(ctx))
	defer group.Stop()
	group.Go(func(ctx context.Context) {
		received.follow(ctx, log, func() error {
			_, err := sillplatform.LoadSettings()
			return err
		})
	})
	service := sillplatform.New(settings, log)
	service.Register(queue.Collector())
	return service.Run(ctx, func() {})
}
