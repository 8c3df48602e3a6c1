package sillserver

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// serveLimited serves a handler that answers 200 with the number of bytes of the body.
func serveLimited(t *testing.T, limits Limits) *Server {
	t.Helper()
	s, err := Listen(Config{
		Address: "127.0.0.1:0", HeaderTimeout: time.Minute, IdleTimeout: time.Minute, MaxHeaderBytes: 64 << 10, Limits: limits,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := ReadBody(w, r, 1<<20)
			if err != nil {
				w.WriteHeader(http.StatusRequestEntityTooLarge)
				return
			}
			_, _ = fmt.Fprint(w, len(body))
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	group := sillgroup.New(context.Background())
	group.Go(func(context.Context) { s.Serve() })
	t.Cleanup(func() {
		s.Close()
		group.Wait()
	})
	return s
}

// dialAndSend opens a connection and sends a text.
func dialAndSend(t *testing.T, s *Server, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// answerHead is what tests look at in an answer beside its status.
type answerHead struct {
	Header http.Header
	// Close is whether the answer is the last one of its connection.
	Close bool
}

// checkStatus reads an answer.
func checkStatus(t *testing.T, r *bufio.Reader, want int) answerHead {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if resp.StatusCode != want {
		t.Errorf("status %d, want %d", resp.StatusCode, want)
	}
	return answerHead{Header: resp.Header, Close: resp.Close}
}

// checkClosed fails unless the server closes the connection.
func checkClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	if _, err := io.Copy(io.Discard, c); isTimeout(err) {
		t.Error("the connection stays open")
	}
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
}

const small = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx"

// TestManyFields guards against heads of few bytes that take much memory.
func TestManyFields(t *testing.T) {
	s := serveLimited(t, Limits{})
	fields := strings.Repeat("a:\r\n", 1000)
	t.Run("complete", func(t *testing.T) {
		c := dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n"+fields+"\r\n")
		checkStatus(t, bufio.NewReader(c), http.StatusRequestHeaderFieldsTooLarge)
		checkClosed(t, c)
	})
	t.Run("unfinished", func(t *testing.T) {
		c := dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n"+fields)
		checkStatus(t, bufio.NewReader(c), http.StatusRequestHeaderFieldsTooLarge)
	})
}

// TestHeadLimits guards against limits of the configuration that do not take effect in a
// running server.
func TestHeadLimits(t *testing.T) {
	s := serveLimited(t, Limits{})
	s.SetHeadLimits(HeadLimits{Timeout: 50 * time.Millisecond, Idle: 50 * time.Millisecond, Bytes: 8 << 10})
	checkClosed(t, dialAndSend(t, s, "GET / HTTP/1.1\r\nHo"))
	checkClosed(t, dialAndSend(t, s, ""))
	idle := dialAndSend(t, s, small)
	checkStatus(t, bufio.NewReader(idle), http.StatusOK)
	checkClosed(t, idle)
	long := dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\nA: "+strings.Repeat("x", 13<<10))
	checkStatus(t, bufio.NewReader(long), http.StatusRequestHeaderFieldsTooLarge)
}

// TestNoMemory guards against a request that is answered as if it were bad, or may have run,
// when there is no memory for its body.
func TestNoMemory(t *testing.T) {
	budget := sillbudget.New(4*sillbudget.Step, nil)
	holder := budget.Open(func() {})
	if !holder.Take(4*sillbudget.Step, 0) {
		t.Fatal("not taken")
	}
	holder.Settle()
	// Other small requests take what is reserved for them.
	other := budget.Open(func() {})
	if !other.Take(sillbudget.Step/2, 0) {
		t.Fatal("not taken")
	}
	other.Settle()
	s := serveLimited(t, Limits{Budget: budget})
	c := dialAndSend(t, s, small)
	resp := checkStatus(t, bufio.NewReader(c), http.StatusServiceUnavailable)
	if resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("headers %v, want a time to come back and the end of the connection", resp.Header)
	}
	holder.Close()
	other.Close()
	checkStatus(t, bufio.NewReader(dialAndSend(t, s, small)), http.StatusOK)
	if n := budget.Taken(); n != 0 {
		t.Errorf("%d bytes are still taken", n)
	}
}

// TestStalledBodyIsCut guards against a body that stalls and keeps its connection and memory.
func TestStalledBodyIsCut(t *testing.T) {
	budget := sillbudget.New(64*sillbudget.Step, nil)
	s := serveLimited(t, Limits{Budget: budget, StallTimeout: 50 * time.Millisecond})
	checkClosed(t, dialAndSend(t, s, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nx"))
	for end := time.Now().Add(20 * time.Second); budget.Taken() != 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are still taken", budget.Taken())
		}
	}
}

// TestUnreadBodyIsNotSlow guards against the cut of a request whose handler takes long and does
// not read its body, and against a rest of it that keeps the connection.
func TestUnreadBodyIsNotSlow(t *testing.T) {
	l := newListener(nil)
	l.limits.StallTimeout = time.Millisecond
	c := &conn{listener: l, phase: phaseHandling}
	w := &responseWriter{}
	r, err := http.NewRequest(http.MethodPost, "/", io.MultiReader(strings.NewReader("x")))
	if err != nil {
		t.Fatal(err)
	}
	end := c.begin(w, r)
	s := c.state(time.Now().Add(time.Minute))
	if reason := s.fault(&l.limits); reason != "" {
		t.Errorf("cut as %s while the handler runs", reason)
	}
	end()
	s = c.state(time.Now().Add(time.Minute))
	if reason := s.fault(&l.limits); reason != reasonSlowBody {
		t.Errorf("reason %q for a rest that does not come, want %q", reason, reasonSlowBody)
	}
}

// TestRestOfBodyGivesWay guards against clients whose requests are answered before their bodies
// end, and that then keep all connections.
func TestRestOfBodyGivesWay(t *testing.T) {
	long := strings.Repeat("x", 8<<10)
	s, err := Listen(Config{
		Address: "127.0.0.1:0", HeaderTimeout: time.Minute, Limits: Limits{Connections: 4},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, long) }),
	})
	if err != nil {
		t.Fatal(err)
	}
	group := sillgroup.New(context.Background())
	group.Go(func(context.Context) { s.Serve() })
	t.Cleanup(func() {
		s.Close()
		group.Wait()
	})
	for range 4 {
		dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\nContent-Length: 100000\r\n\r\nx")
	}
	time.Sleep(2 * graceAge)
	c := dialAndSend(t, s, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	checkStatus(t, bufio.NewReader(c), http.StatusOK)
}

// TestConnectionsGiveWay guards against connections that do nothing and keep new ones out, and
// against the cut of running requests for new ones.
func TestConnectionsGiveWay(t *testing.T) {
	s := serveLimited(t, Limits{Connections: 8})
	for range 8 {
		dialAndSend(t, s, "POST / HTTP/1.1\r\n")
	}
	time.Sleep(2 * graceAge)
	c := dialAndSend(t, s, small)
	checkStatus(t, bufio.NewReader(c), http.StatusOK)
	if n := s.listener.countOpen(); n > 8 {
		t.Errorf("%d connections are open, want 8 at most", n)
	}
}

// TestPipelined guards against a client that sends many requests ahead, and against the cut of
// one that sends a few.
func TestPipelined(t *testing.T) {
	s := serveLimited(t, Limits{Pipelined: 8})
	c := dialAndSend(t, s, strings.Repeat(small, 40))
	r := bufio.NewReader(c)
	for range 8 {
		if resp := checkStatus(t, r, http.StatusOK); resp.Close {
			t.Fatal("the connection ends too early")
		}
	}
	if resp := checkStatus(t, r, http.StatusOK); !resp.Close {
		t.Error("the connection goes on")
	}
}

// TestReadBody guards against bodies that are cut or lengthened.
func TestReadBody(t *testing.T) {
	s := serveLimited(t, Limits{Budget: sillbudget.New(64<<20, nil)})
	for _, size := range []int{0, 1, 1023, 1024, 1025, 64<<10 - 1, 64 << 10, 64<<10 + 1, 1 << 20} {
		for _, announced := range []bool{true, false} {
			var body io.Reader = strings.NewReader(strings.Repeat("x", size))
			if !announced {
				body = io.MultiReader(body)
			}
			resp, err := http.Post("http://"+s.Address(), "", body)
			if err != nil {
				t.Fatal(err)
			}
			got, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if string(got) != fmt.Sprint(size) {
				t.Errorf("announced %t: %q bytes, want %d", announced, got, size)
			}
		}
	}
	resp, err := http.Post("http://"+s.Address(), "", io.MultiReader(strings.NewReader(strings.Repeat("x", 1<<20+1))))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("status %d for a body above the limit", resp.StatusCode)
	}
}
