package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllog"
)

// hangups receives the SIGHUPs of a process that serves. From its creation on, a
// SIGHUP no longer ends the process.
type hangups chan os.Signal

// receiveHangups is called before the process serves anything.
func receiveHangups() hangups {
	h := make(hangups, 1)
	signal.Notify(h, syscall.SIGHUP)
	return h
}

// follow checks the settings at each SIGHUP until ctx ends. What they hold is fixed
// for the life of a process; load only tells the faults of the file.
func (h hangups) follow(ctx context.Context, log *zap.Logger, load func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-h:
			if err := load(); err != nil {
				log.Warn("Settings have faults; those in force stay.", silllog.Err(err))
				continue
			}
			log.Info("Read the settings again.")
		}
	}
}

// outliveLogReader makes a line of the log that can't be written be lost. Without it
// the line would end the process, and with it the requests that run.
func outliveLogReader() {
	signal.Ignore(syscall.SIGPIPE)
}
