package sillapp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

// TestStopAnswersRequestsOnKeptConnections guards against a stop that closes a connection
// on which the next request has arrived or is being read.
func TestStopAnswersRequestsOnKeptConnections(t *testing.T) {
	for stop := range 4 {
		t.Run(fmt.Sprintf("stop %d", stop), func(t *testing.T) {
			t.Parallel()
			stopUnderPausingCallers(t, uint64(stop))
		})
	}
}

// stopUnderPausingCallers stops a listener while callers use their connections, and checks
// that they got a response to each request.
func stopUnderPausingCallers(t *testing.T, seed uint64) {
	t.Helper()
	const (
		callers = 128
		useTime = 200 * time.Millisecond
		limit   = 10 * time.Second
	)
	s, err := (&listening{}).listen("callers", sillserver.Limits{}, "127.0.0.1:0", sillsettings.ServerTLS{}, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	}))
	if err != nil {
		t.Fatal(err)
	}
	s.start(context.Background())
	var answered, lost atomic.Int32
	group := sillgroup.New(context.Background())
	for i := range callers {
		conn, err := net.Dial("tcp", s.Address())
		if err != nil {
			t.Fatal(err)
		}
		c := &pausingCaller{conn: conn, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		group.Go(func(context.Context) {
			if c.run() {
				lost.Add(1)
			}
			answered.Add(c.answered)
		})
	}
	time.Sleep(useTime)
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.stop(ctx); err != nil {
		t.Error(err)
	}
	group.Wait()
	if answered.Load() == 0 || lost.Load() > 0 {
		t.Errorf("%d requests got a response, %d that were sent soon after the one before got none", answered.Load(), lost.Load())
	}
}

// pausingCaller sends requests on one connection, with pauses in between.
type pausingCaller struct {
	conn   net.Conn
	random *rand.Rand
	// answered is the number of responses.
	answered int32
}

// run sends requests until the connection ends. It returns whether a request that was sent
// soon after the one before got no response.
func (c *pausingCaller) run() (lost bool) {
	const (
		maxPause = 3 * time.Millisecond
		// soon is shorter than a server keeps a connection open after a response that does
		// not say that it is the last one.
		soon = 100 * time.Millisecond
	)
	defer func() { _ = c.conn.Close() }()
	reader := bufio.NewReader(c.conn)
	for last := time.Now(); ; {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxPause))))
		started := time.Now()
		_, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
		inTime := time.Since(last) < soon
		last = started
		if err != nil {
			return inTime
		}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return inTime
		}
		resp.Body.Close()
		c.answered++
		if resp.Close {
			return false
		}
	}
}
