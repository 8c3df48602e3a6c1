package sillagent

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// keepAlive is the time for which forgetfulService keeps an idle connection.
const keepAlive = 1500 * time.Millisecond

// forgetfulService answers requests, and closes a connection that was idle for longer
// than keepAlive as the next request comes. It returns its address.
func forgetfulService(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := sillgroup.New(context.Background())
	t.Cleanup(group.Stop)
	t.Cleanup(func() { _ = l.Close() })
	group.Go(func(context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			group.Go(func(context.Context) { answerWhileKept(conn) })
		}
	})
	return l.Addr().String()
}

func answerWhileKept(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for idleSince := time.Now(); ; idleSince = time.Now() {
		req, err := http.ReadRequest(reader)
		if err != nil || time.Since(idleSince) > keepAlive {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

func TestIdleConnectionIsNotUsedWhenTheServiceMayCloseIt(t *testing.T) {
	for _, tc := range []struct {
		name       string
		idempotent bool
	}{
		{"idempotent", true},
		{"not idempotent", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := newServiceClient("http://" + forgetfulService(t))
			for range 2 {
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, c.baseURL, strings.NewReader("body"))
				if err != nil {
					t.Fatal(err)
				}
				resp, err := c.do(req, tc.idempotent)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				time.Sleep(keepAlive + 200*time.Millisecond)
			}
		})
	}
}

func TestIdleConnectionIsNotUsedWhenTheEngineMayCloseIt(t *testing.T) {
	t.Parallel()
	engine := sillengine.New(sillengine.Config{BaseURL: "http://" + forgetfulService(t), CallTimeout: time.Second})
	for range 2 {
		generate := sillengine.Generate{Path: "/v1/completions", Body: []byte("{}"), RequestID: "r"}
		err := engine.Generate(t.Context(), generate, func(sillengine.Part) error { return nil })
		// The service's answer holds no generation.
		if !errors.Is(err, sillengine.ErrCut) {
			t.Fatalf("Generate() = %v, want the answer of the service", err)
		}
		time.Sleep(keepAlive + 200*time.Millisecond)
	}
}
