package main

import (
	"context"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
)

func TestHangupDuringTheStopEndsNoProcess(t *testing.T) {
	received := receiveHangups()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	received.follow(ctx, zap.NewNop(), func() error { return nil })
	for range 3 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
