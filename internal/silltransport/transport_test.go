package silltransport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillloopback"
)

// peer is a server whose responses a test writes byte by byte.
type peer struct {
	listener net.Listener
	group    *sillgroup.Group
	mu       sync.Mutex
	accepted int
	requests []string
	conns    []net.Conn
}

// newPeer starts a peer that calls respond with the bytes of each request; respond
// returns false to close the connection.
func newPeer(t *testing.T, respond func(conn net.Conn, request string) bool) *peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &peer{listener: l, group: sillgroup.New(context.Background())}
	p.group.Go(func(context.Context) {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.accepted++
			p.conns = append(p.conns, conn)
			p.mu.Unlock()
			p.group.Go(func(context.Context) { p.serve(conn, respond) })
		}
	})
	t.Cleanup(func() {
		_ = l.Close()
		p.mu.Lock()
		for _, conn := range p.conns {
			_ = conn.Close()
		}
		p.mu.Unlock()
		p.group.Stop()
	})
	return p
}

func (p *peer) serve(conn net.Conn, respond func(net.Conn, string) bool) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		request, err := readRequest(reader)
		if err != nil {
			return
		}
		p.mu.Lock()
		p.requests = append(p.requests, request)
		p.mu.Unlock()
		if !respond(conn, request) {
			return
		}
	}
}

// readRequest reads a request and returns its bytes.
func readRequest(r *bufio.Reader) (string, error) {
	var b strings.Builder
	length := 0
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		b.WriteString(line)
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			for _, c := range strings.TrimSpace(v) {
				length = length*10 + int(c-'0')
			}
		}
		if line == "\r\n" {
			break
		}
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return b.String() + string(body), err
}

func (p *peer) address() string { return p.listener.Addr().String() }

func (p *peer) counts() (accepted, requests int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted, len(p.requests)
}

func newTestPool(matches func(*Request, http.Header, bool) bool) *Pool {
	return NewPool(Config{
		ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute, ResponseMatches: matches,
	})
}

func sameID(req *Request, header http.Header, _ bool) bool {
	return header.Get("Id") == req.Header.Get("Id")
}

func request(id string) *Request {
	return &Request{Method: "POST", RequestURI: "/a", Host: "h.example", Header: http.Header{"Id": {id}}, Body: []byte("body")}
}

func send(t *testing.T, p *Pool, address string, req *Request) (int, string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	resp, err := p.Send(ctx, address, req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b), err
}

func checkBody(t *testing.T, p *Pool, address, id, want string) {
	t.Helper()
	_, body, err := send(t, p, address, request(id))
	if err != nil || body != want {
		t.Fatalf("request %s got %q, %v; want %q", id, body, err, want)
	}
}

func idOf(request string) string {
	_, rest, _ := strings.Cut(request, "Id: ")
	id, _, _ := strings.Cut(rest, "\r\n")
	return id
}

func responseWith(id, extra, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + extra + "Content-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string { return string(rune('0'+n/10)) + string(rune('0'+n%10)) }

func TestRequestIsSentUnchanged(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r string) bool {
		_, _ = io.WriteString(c, responseWith(idOf(r), "", "ok"))
		return true
	})
	req := &Request{
		Method: "PATCH", RequestURI: "/a/../b//c%2Fd?x=1&x=2", Host: "h.example:99",
		Header: http.Header{"Id": {"1"}, "X-Twice": {"a", "b"}}, Body: []byte("bytes"),
	}
	if _, _, err := send(t, newTestPool(sameID), p.address(), req); err != nil {
		t.Fatal(err)
	}
	got := p.requests[0]
	if !strings.HasPrefix(got, "PATCH /a/../b//c%2Fd?x=1&x=2 HTTP/1.1\r\nHost: h.example:99\r\n") {
		t.Errorf("sent %q", got)
	}
	for _, want := range []string{"X-Twice: a\r\n", "X-Twice: b\r\n", "Content-Length: 5\r\n", "\r\n\r\nbytes"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
	for _, name := range []string{"Accept-Encoding", "User-Agent", "Connection"} {
		if strings.Contains(got, name) {
			t.Errorf("%q has the added header %s", got, name)
		}
	}
}

func TestConnectionsAreReused(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r string) bool {
		_, _ = io.WriteString(c, responseWith(idOf(r), "", "ok"))
		return true
	})
	pool := newTestPool(sameID)
	for _, id := range []string{"1", "2", "3"} {
		checkBody(t, pool, p.address(), id, "ok")
	}
	if accepted, requests := p.counts(); accepted != 1 || requests != 3 {
		t.Errorf("%d connections for %d requests", accepted, requests)
	}
}

func TestConnectionIsNotKept(t *testing.T) {
	for _, tc := range []struct{ name, extra string }{
		{"close", "Connection: close\r\n"},
		{"keep-alive timeout of 0", "Keep-Alive: timeout=0\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, r string) bool {
				_, _ = io.WriteString(c, responseWith(idOf(r), tc.extra, "ok"))
				return true
			})
			pool := newTestPool(sameID)
			checkBody(t, pool, p.address(), "1", "ok")
			checkBody(t, pool, p.address(), "2", "ok")
			if accepted, _ := p.counts(); accepted != 2 {
				t.Errorf("%d connections, want 2", accepted)
			}
		})
	}
}

// TestForeignResponses sends a response to another request after the expected
// response or in place of it: it must not be taken for a response to this request
// or the next one.
func TestForeignResponses(t *testing.T) {
	t.Run("extra after the response", func(t *testing.T) {
		p := newPeer(t, func(c net.Conn, r string) bool {
			_, _ = io.WriteString(c, responseWith(idOf(r), "", "ok")+responseWith("0", "", "no"))
			return true
		})
		pool := newTestPool(sameID)
		checkBody(t, pool, p.address(), "1", "ok")
		checkBody(t, pool, p.address(), "2", "ok")
		if accepted, _ := p.counts(); accepted != 2 {
			t.Errorf("a connection with unread bytes was reused")
		}
	})
	t.Run("before the response", func(t *testing.T) {
		p := newPeer(t, func(c net.Conn, r string) bool {
			_, _ = io.WriteString(c, responseWith("0", "", "no")+responseWith(idOf(r), "", "ok"))
			return true
		})
		checkBody(t, newTestPool(sameID), p.address(), "1", "ok")
	})
	t.Run("instead of the response", func(t *testing.T) {
		p := newPeer(t, func(c net.Conn, r string) bool {
			_, _ = io.WriteString(c, responseWith("0", "", "no"))
			return false
		})
		_, body, err := send(t, newTestPool(sameID), p.address(), request("1"))
		if err == nil || NotSent(err) {
			t.Errorf("got %q, %v; want an error of a request that was sent", body, err)
		}
	})
}

// TestSpoiledHeads guards against a head that no response can have being passed on.
func TestSpoiledHeads(t *testing.T) {
	for name, head := range map[string]string{
		"control character": "A: b\x01c\r\n", "zero": "A: \x00\r\n", "delete": "A: b\x7f\r\n", "escape": "A: \x1b[2J\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, r string) bool {
				_, _ = io.WriteString(c, responseWith(idOf(r), head, "ok"))
				return true
			})
			_, body, err := send(t, newTestPool(sameID), p.address(), request("1"))
			if err == nil || NotSent(err) {
				t.Errorf("got %q, %v; want an error of a request that was sent", body, err)
			}
		})
	}
}

func TestTruncatedResponses(t *testing.T) {
	for _, tc := range []struct{ name, response string }{
		{"in the head", "HTTP/1.1 200 OK\r\nId: 1\r\nConte"},
		{"in the body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc"},
		{"in a chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
		{"before the last chunk", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"},
		{"no HTTP", "\x00\x01 what is this"},
		{"nothing", ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPeer(t, func(c net.Conn, _ string) bool {
				_, _ = io.WriteString(c, tc.response)
				return false
			})
			_, body, err := send(t, newTestPool(sameID), p.address(), request("1"))
			var e *Error
			if !errors.As(err, &e) || !e.Sent {
				t.Errorf("got %q, %v; want an error of a request that was sent", body, err)
			}
			if _, requests := p.counts(); requests != 1 {
				t.Errorf("the request was sent %d times", requests)
			}
		})
	}
}

// TestClosedConnectionIsNotUsed lets the peer close an idle connection: the next
// request must not be sent on it, since it would be lost.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r string) bool {
		_, _ = io.WriteString(c, responseWith(idOf(r), "", "ok"))
		return idOf(r) != "1"
	})
	pool := newTestPool(sameID)
	checkBody(t, pool, p.address(), "1", "ok")
	waitUntil(t, func() bool {
		pool.mu.Lock()
		defer pool.mu.Unlock()
		list := pool.idle[p.address()]
		return len(list) == 1 && !list[0].isIdle()
	})
	checkBody(t, pool, p.address(), "2", "ok")
}

// TestResetBeforeTheRequestIsNotSent guards against a request that counts as sent although
// the peer had reset the connection before its first byte.
func TestResetBeforeTheRequestIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name string
		body []byte
	}{{"short", []byte("body")}, {"long", make([]byte, 4*maxInlineBodyBytes)}} {
		t.Run(tc.name, func(t *testing.T) {
			reset := make(chan struct{})
			p := newPeer(t, func(c net.Conn, r string) bool {
				_, _ = io.WriteString(c, responseWith(idOf(r), "", "ok"))
				<-reset
				_ = c.(*net.TCPConn).SetLinger(0)
				return false
			})
			pool := newTestPool(sameID)
			checkBody(t, pool, p.address(), "1", "ok")
			c, err := pool.acquire(t.Context(), p.address(), "2")
			if err != nil {
				t.Fatal(err)
			}
			close(reset)
			waitUntil(t, func() bool { return !c.isIdle() })
			req := request("2")
			req.Body = tc.body
			resp, err := c.exchange(t.Context(), req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if !NotSent(err) {
				t.Errorf("error %v; want one of a request that was not sent", err)
			}
		})
	}
}

func TestUnreachableIsNotSent(t *testing.T) {
	address, err := sillloopback.NewAddress()
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := send(t, newTestPool(nil), address, request("1")); !NotSent(err) {
		t.Errorf("error %v; want one of a request that was not sent", err)
	}
}

func TestCancelClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	arrived := make(chan struct{})
	p := newPeer(t, func(c net.Conn, _ string) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	group := sillgroup.New(ctx)
	defer group.Stop()
	group.Go(func(context.Context) {
		<-arrived
		cancel()
	})
	resp, err := newTestPool(sameID).Send(ctx, p.address(), request("1"))
	if err == nil {
		_ = resp.Body.Close()
	}
	if !errors.Is(err, context.Canceled) || NotSent(err) {
		t.Errorf("error %v", err)
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection of the peer was not closed")
	}
}

// TestEarlyResponse lets the peer respond before it has read a long body: the
// connection must not be reused, or the rest of the body would be read as the next
// request.
func TestEarlyResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	group := sillgroup.New(t.Context())
	defer group.Stop()
	defer func() { _ = l.Close() }()
	group.Go(func(context.Context) {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, responseWith("1", "", "early"))
		time.Sleep(50 * time.Millisecond)
	})
	pool := newTestPool(sameID)
	req := request("1")
	req.Body = make([]byte, 8<<20)
	_, body, err := send(t, pool, l.Addr().String(), req)
	if err == nil && body != "early" {
		t.Errorf("body %q", body)
	}
	if pool.pop(l.Addr().String(), "") != nil {
		t.Error("the connection was kept")
	}
}

func TestSweepClosesOldConnections(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r string) bool {
		_, _ = io.WriteString(c, responseWith(idOf(r), "Keep-Alive: timeout=5\r\n", "ok"))
		return true
	})
	pool := newTestPool(sameID)
	checkBody(t, pool, p.address(), "1", "ok")
	pool.CloseExpired(time.Now())
	if c := pool.pop(p.address(), ""); c == nil {
		t.Fatal("a fresh connection was closed")
	} else {
		pool.put(c)
	}
	pool.CloseExpired(time.Now().Add(6 * time.Second))
	if pool.pop(p.address(), "") != nil {
		t.Error("an old connection was kept")
	}
}

// waitUntil polls a condition until it is true, for at most 5 seconds.
func waitUntil(t *testing.T, ok func() bool) {
	t.Helper()
	for range 500 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the condition did not become true within 5 seconds")
}

// TestFirstResponseOfAConnection checks which responses count as the first one of their
// connection: skipped ones count as well.
func TestFirstResponseOfAConnection(t *testing.T) {
	p := newPeer(t, func(c net.Conn, r string) bool {
		_, _ = io.WriteString(c, responseWith("0", "", "no")+responseWith(idOf(r), "", "ok"))
		return true
	})
	var got []bool
	pool := newTestPool(func(req *Request, header http.Header, first bool) bool {
		got = append(got, first)
		return sameID(req, header, first)
	})
	checkBody(t, pool, p.address(), "1", "ok")
	checkBody(t, pool, p.address(), "2", "ok")
	if want := []bool{true, false, false, false}; !slices.Equal(got, want) {
		t.Errorf("first responses %v, want %v", got, want)
	}
}

// TestRepeatedRequestGetsAnotherConnection sends a request again while a copy of the
// response to its first sending is under way: the copy must not answer the second one.
func TestRepeatedRequestGetsAnotherConnection(t *testing.T) {
	var mu sync.Mutex
	sent := 0
	last := make(map[net.Conn]string)
	p := newPeer(t, func(c net.Conn, r string) bool {
		mu.Lock()
		defer mu.Unlock()
		sent++
		response := responseWith(idOf(r), "", fmt.Sprint("response ", sent))
		_, _ = io.WriteString(c, last[c]+response)
		last[c] = response
		return true
	})
	pool := newTestPool(sameID)
	for i := range 6 {
		r := request("1")
		r.ID = "1"
		if _, body, err := send(t, pool, p.address(), r); err != nil || body != fmt.Sprint("response ", i+1) {
			t.Errorf("sending %d got %q, %v", i+1, body, err)
		}
	}
}

// TestClosingIdleConnectionsCutsNoRequest guards against a pool that closes a connection
// while a request uses it.
func TestClosingIdleConnectionsCutsNoRequest(t *testing.T) {
	const (
		senders     = 8
		requests    = 300
		idleTimeout = 2 * time.Millisecond
	)
	for _, tc := range []struct {
		name string
		end  func(p *Pool, address string)
	}{
		{"expired", func(p *Pool, _ string) { p.CloseExpired(time.Now()) }},
		{"all idle", func(p *Pool, address string) { p.CloseIdle(address) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			server := newPeer(t, func(conn net.Conn, _ string) bool {
				_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
				return err == nil
			})
			pool := NewPool(Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: idleTimeout})
			closer := sillgroup.New(t.Context())
			closer.Go(func(ctx context.Context) {
				for ctx.Err() == nil {
					tc.end(pool, server.address())
					time.Sleep(100 * time.Microsecond)
				}
			})
			group := sillgroup.New(t.Context())
			for sender := range uint64(senders) {
				random := rand.New(rand.NewPCG(1, sender))
				group.Go(func(ctx context.Context) {
					for range requests {
						if err := sendOnce(ctx, pool, server.address()); err != nil {
							t.Error(err)
						}
						time.Sleep(time.Duration(random.Int64N(int64(2 * idleTimeout))))
					}
				})
			}
			group.Wait()
			closer.Stop()
		})
	}
}

// sendOnce sends a request and reads its response.
func sendOnce(ctx context.Context, pool *Pool, address string) error {
	resp, err := pool.Send(ctx, address, &Request{Method: http.MethodGet, RequestURI: "/", Host: "h"})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// TestCheckBeforeTheFirstByte guards against a request that is sent although it may no longer
// be, and against one that costs the connection that it would have used.
func TestCheckBeforeTheFirstByte(t *testing.T) {
	requests := 0
	p := newPeer(t, func(c net.Conn, _ string) bool {
		requests++
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	dialed := 0
	pool := NewPool(Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute, OnDialed: func() { dialed++ }})
	withdrawn := errors.New("withdrawn")
	r := request("1")
	r.Check = func() error { return withdrawn }
	for range 3 {
		if _, _, err := send(t, pool, p.address(), r); !errors.Is(err, withdrawn) || !NotSent(err) {
			t.Errorf("error %v, want that of the check", err)
		}
	}
	r.Check = func() error { return nil }
	if status, _, err := send(t, pool, p.address(), r); err != nil || status != http.StatusOK {
		t.Errorf("status %d, %v", status, err)
	}
	if requests != 1 || dialed != 1 {
		t.Errorf("%d requests on %d connections, want one on one", requests, dialed)
	}
}
