package sillserver

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

const (
	testTimeout = 10 * time.Second
	request     = "POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\n\r\nx"
)

// testServer is a server and the requests that its handler got.
type testServer struct {
	*Server
	t       *testing.T
	group   *sillgroup.Group
	handled atomic.Int32
	// clientTLS, if not nil, is what clients need to connect.
	clientTLS *tls.Config
}

// listenTest opens a server that responds once respond returns. Its Serve is not called.
func listenTest(t *testing.T, config *tls.Config, respond func()) *testServer {
	t.Helper()
	s := &testServer{t: t, group: sillgroup.New(context.Background())}
	server, err := Listen(Config{
		Address: "127.0.0.1:0", TLS: config, HeaderTimeout: testTimeout, IdleTimeout: testTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			s.handled.Add(1)
			respond()
			_, _ = io.WriteString(w, "whole")
		}),
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Server = server
	t.Cleanup(func() {
		server.Close()
		s.group.Stop()
	})
	return s
}

func (s *testServer) start() { s.group.Go(func(context.Context) { s.Serve() }) }

func (s *testServer) shutdown(limit time.Duration) Summary {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return s.Shutdown(ctx)
}

// client is one connection to a server.
type client struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (s *testServer) dial() *client {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		s.t.Fatal(err)
	}
	if s.clientTLS != nil {
		conn = tls.Client(conn, s.clientTLS)
	}
	_ = conn.SetDeadline(time.Now().Add(testTimeout))
	s.t.Cleanup(func() { _ = conn.Close() })
	return &client{t: s.t, conn: conn, reader: bufio.NewReader(conn)}
}

func (c *client) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Errorf("sending: %v", err)
	}
}

// expectResponse checks that a complete response comes, and whether it says that it is the
// last one of its connection.
func (c *client) expectResponse(last bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Errorf("no response: %v", err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || string(body) != "whole" || resp.Close != last {
		c.t.Errorf("response %q, last %t (%v); want the whole one, last %t", body, resp.Close, err, last)
	}
}

func (c *client) expectEnd() {
	c.t.Helper()
	if b, err := c.reader.ReadByte(); err != io.EOF {
		c.t.Errorf("got byte %q, %v; want the end of the connection", b, err)
	}
}

func TestShutdownEndsIdleConnections(t *testing.T) {
	s := listenTest(t, nil, func() {})
	s.start()
	used, unused := s.dial(), s.dial()
	used.send(request)
	used.expectResponse(false)
	if got := s.shutdown(testTimeout); got != (Summary{Idle: 2}) {
		t.Errorf("shutdown: %+v, want two idle connections", got)
	}
	used.expectEnd()
	unused.expectEnd()
}

func TestDrainMakesTheNextResponseTheLast(t *testing.T) {
	s := listenTest(t, nil, func() {})
	s.start()
	kept := s.dial()
	kept.send(request)
	kept.expectResponse(false)
	s.Drain()
	kept.send(request)
	kept.expectResponse(true)
	kept.expectEnd()
	later := s.dial()
	later.send(request)
	later.expectResponse(true)
}

func TestShutdownServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	const waiting = 20
	s := listenTest(t, nil, func() {})
	var clients []*client
	for range waiting {
		c := s.dial()
		c.send(request)
		clients = append(clients, c)
	}
	s.listener.stop()
	s.start()
	if got := s.shutdown(testTimeout); got != (Summary{}) {
		t.Errorf("shutdown: %+v, want nothing cut", got)
	}
	for _, c := range clients {
		c.expectResponse(true)
	}
	if _, err := net.Dial("tcp", s.Address()); err == nil {
		t.Error("the address still accepts connections")
	}
}

// TestShutdownAcceptsABoundedNumberOfConnections guards against a shutdown that does not end
// while callers connect again and again.
func TestShutdownAcceptsABoundedNumberOfConnections(t *testing.T) {
	s := listenTest(t, nil, func() {})
	for range maxWaiting + 20 {
		s.dial().send(request)
	}
	s.listener.stop()
	s.start()
	s.shutdown(testTimeout)
	if n := s.handled.Load(); n != maxWaiting {
		t.Errorf("%d requests were handled, want those of %d connections", n, maxWaiting)
	}
}

func TestShutdownWaitsForRunningRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		limit time.Duration
		want  Summary
	}{
		"that end in time":   {testTimeout, Summary{}},
		"that take too long": {100 * time.Millisecond, Summary{Cut: 1}},
		"without any time":   {0, Summary{Cut: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			respond := make(chan struct{})
			s := listenTest(t, nil, func() { <-respond })
			s.start()
			c := s.dial()
			c.send(request)
			for s.handled.Load() == 0 {
				time.Sleep(time.Millisecond)
			}
			if tc.want.Cut == 0 {
				time.AfterFunc(300*time.Millisecond, func() { close(respond) })
			} else {
				defer close(respond)
			}
			if got := s.shutdown(tc.limit); got != tc.want {
				t.Errorf("shutdown: %+v, want %+v", got, tc.want)
			}
			if tc.want.Cut == 0 {
				c.expectResponse(true)
			}
		})
	}
}

func TestShutdownReadsTheRestOfARequest(t *testing.T) {
	s := listenTest(t, nil, func() {})
	s.start()
	kept, fresh := s.dial(), s.dial()
	kept.send(request)
	kept.expectResponse(false)
	kept.send(request[:10])
	fresh.send(request[:10])
	for s.countPhase(phaseReading) < 2 {
		time.Sleep(time.Millisecond)
	}
	// late is longer than an idle connection and a new one stay open.
	const late = 2 * time.Second
	time.AfterFunc(late, func() {
		kept.send(request[10:])
		fresh.send(request[10:])
	})
	if got := s.shutdown(testTimeout); got != (Summary{}) {
		t.Errorf("shutdown: %+v, want nothing cut", got)
	}
	kept.expectResponse(true)
	fresh.expectResponse(true)
}

func (s *testServer) countPhase(p phase) int {
	s.listener.mu.Lock()
	defer s.listener.mu.Unlock()
	n := 0
	for c := range s.listener.open {
		c.mu.Lock()
		if c.phase == p {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// TestShutdownAnswersWhatWasRead guards against a connection that ends while its next
// request is read and handled.
func TestShutdownAnswersWhatWasRead(t *testing.T) {
	for name, server := range map[string]func() (*tls.Config, *tls.Config){
		"plain": func() (*tls.Config, *tls.Config) { return nil, nil },
		"TLS":   func() (*tls.Config, *tls.Config) { return testTLS(t) },
	} {
		for stop := range 4 {
			t.Run(fmt.Sprintf("%s, stop %d", name, stop), func(t *testing.T) {
				t.Parallel()
				serverTLS, clientTLS := server()
				s := listenTest(t, serverTLS, func() {})
				s.clientTLS = clientTLS
				s.start()
				answered := s.sendUntilEnd(64)
				time.Sleep(200 * time.Millisecond)
				if got := s.shutdown(testTimeout); got.Cut > 0 {
					t.Errorf("shutdown: %+v, want nothing cut", got)
				}
				if got, want := <-answered, s.handled.Load(); got != want || want == 0 {
					t.Errorf("%d requests were handled, %d answered", want, got)
				}
			})
		}
	}
}

// sendUntilEnd sends requests on a number of connections until the server ends them, and
// passes on the number of complete responses.
func (s *testServer) sendUntilEnd(connections int) <-chan int32 {
	result := make(chan int32, 1)
	var answered atomic.Int32
	clients := sillgroup.New(context.Background())
	for i := range connections {
		c := s.dial()
		clients.Go(func(context.Context) {
			for {
				time.Sleep(time.Duration(i%4) * time.Millisecond)
				if _, err := io.WriteString(c.conn, request); err != nil {
					return
				}
				resp, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					return
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					return
				}
				resp.Body.Close()
				answered.Add(1)
				if resp.Close {
					return
				}
			}
		})
	}
	s.group.Go(func(context.Context) {
		clients.Wait()
		result <- answered.Load()
	})
	return result
}

// testTLS returns the configurations of a server and of its clients.
func testTLS(t *testing.T) (server, client *tls.Config) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(certificate)
	server = &tls.Config{Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, MinVersion: tls.VersionTLS12}
	client = &tls.Config{RootCAs: pool, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS12}
	return server, client
}
