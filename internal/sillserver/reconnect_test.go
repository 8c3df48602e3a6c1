package sillserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// TestShutdownEndsUnderReconnectingCallers guards against a shutdown that goes on accepting
// connections while callers open them, and cuts requests at its time limit.
func TestShutdownEndsUnderReconnectingCallers(t *testing.T) {
	const (
		callers = 256
		useTime = 300 * time.Millisecond
		limit   = 3 * time.Second
		work    = 300 * time.Microsecond
	)
	s := listenTest(t, nil, func() {
		// The work of a gateway for a request.
		for end := time.Now().Add(work); time.Now().Before(end); {
		}
	})
	s.start()
	var answered, cut atomic.Int32
	group := sillgroup.New(context.Background())
	for range callers {
		group.Go(func(ctx context.Context) {
			for ctx.Err() == nil {
				conn, err := net.Dial("tcp", s.Address())
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, request)
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					cut.Add(1)
				} else {
					_ = resp.Body.Close()
					answered.Add(1)
				}
				_ = conn.Close()
			}
		})
	}
	s.Drain()
	time.Sleep(useTime)
	handled, begin := s.handled.Load(), time.Now()
	got := s.shutdown(limit)
	took := time.Since(begin)
	more := s.handled.Load() - handled
	group.Stop()
	t.Logf("%+v after %v; %d requests were handled meanwhile, %d answered, %d without a response", got, took, more, answered.Load(), cut.Load())
	// A request may run or be read on each connection that is open when the shutdown begins.
	if more > callers+maxWaiting || got.Cut > 0 {
		t.Errorf("%d requests were handled after the shutdown had begun and %d cut, want at most %d and none", more, got.Cut, callers+maxWaiting)
	}
}
