package main

import (
	"context"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	sillplatform "github.com/wasabisill/wasabisill/platform"
)

const platformHelp = `Run a gateway on the prepared platform: it serves callers and trainers and calls the targets itself.

The settings file is the one that the platform writes; the environment variable ` + sillplatform.SettingsVariable + ` names it. The gateway runs until SIGTERM. It then counts as not ready, hands its jobs to other gateways, answers what it has begun and ends within the grace of the settings. SIGHUP reads the settings again and cuts nothing.`

// memoryShare is the part of the instance's memory that the heap may grow to;
// the rest is for stacks, buffers of sockets and the program itself.
const memoryShare = 0.6

func newPlatformCommand() *command {
	sub := flaggy.NewSubcommand("platform")
	describe(sub, platformHelp)
	return &command{sub: sub, run: runPlatform}
}

func runPlatform(ctx context.Context) error {
	outliveLogReader()
	received := receiveHangups()
	settings, err := sillplatform.LoadSettings()
	if err != nil {
		return &exitError{code: exitUsage, err: err}
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
	group := sillgroup.New(ctx)
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
