package main

import (
	"context"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
)

// runProcess loads the settings of a process and runs it. The settings are loaded again at
// each SIGHUP until ctx ends, which only checks them. level returns the level of the log.
func runProcess[S any](ctx context.Context, load func() (S, error), level func(S) string, run func(settings S, log *zap.Logger) error) error {
	outliveLogReader()
	received := receiveHangups()
	settings, err := load()
	if err != nil {
		return err
	}
	log, err := silllog.New(level(settings))
	if err != nil {
		return err
	}
	group := sillgroup.New(ctx)
	defer group.Stop()
	group.Go(func(ctx context.Context) {
		received.follow(ctx, log, func() error {
			_, err := load()
			return err
		})
	})
	return run(settings, log)
}
