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

// TestShutdownAnswersConnectionsOfItsLastMoment guards against connections that are
// established after the last one was accepted and before the listener is closed: the request
// on such a connection is not read, but its caller can't know that.
func TestShutdownAnswersConnectionsOfItsLastMoment(t *testing.T) {
	const (
		stops   = 20
		callers = 8
	)
	var answered, lost atomic.Int32
	for range stops {
		s := listenTest(t, nil, func() {})
		s.start()
		clients := sillgroup.New(context.Background())
		for range callers {
			clients.Go(func(context.Context) { s.connectUntilRefused(&answered, &lost) })
		}
		time.Sleep(20 * time.Millisecond)
		s.shutdown(testTimeout)
		clients.Wait()
	}
	if lost.Load() > 0 || answered.Load() == 0 {
		t.Errorf("%d requests on new connections were answered, %d got no answer", answered.Load(), lost.Load())
	}
}

// dialTimeout is longer than a connection takes and shorter than the time after which a kernel
// tries again.
const dialTimeout = 300 * time.Millisecond

// connectUntilRefused sends requests, each on a connection of its own, until the server
// accepts no connection.
func (s *testServer) connectUntilRefused(answered, lost *atomic.Int32) {
	for {
		conn, err := net.DialTimeout("tcp", s.Address(), dialTimeout)
		if err != nil {
			return
		}
		if err := exchange(conn); err != nil {
			s.t.Log(err)
			lost.Add(1)
		} else {
			answered.Add(1)
		}
		_ = conn.Close()
	}
}

// exchange sends a request and reads its response.
func exchange(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
