package sillgroup

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func TestLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		events := make(chan string)
		var got []string
		g := New(ctx)
		g.Go(func(ctx context.Context) {
			Loop(ctx, events, time.Second, func(e string) { got = append(got, e) }, func() { got = append(got, "tick") })
		})
		Send(ctx, events, "first")
		time.Sleep(1500 * time.Millisecond)
		Send(ctx, events, "second")
		g.Wait()
		if want := []string{"first", "tick", "second", "tick"}; !slices.Equal(got, want) {
			t.Errorf("handled %v, want %v", got, want)
		}
	})
}

func TestSendEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		Send(ctx, make(chan int), 1)
		if ctx.Err() == nil {
			t.Error("Send returned although nothing received the event and the context has not ended")
		}
	})
}
