// Package sillserver serves HTTP and stops without losing a request that it has read.
//
// For net/http, a kept connection is idle until the header of its next request is read,
// and Shutdown closes idle connections at once. A request that is being read at that
// moment is handled all the same, but its caller gets no response. Here the goroutine that
// reads a connection ends it, and only if no byte of a request has arrived.
package sillserver

import (
	"bytes"
	"context"
	"crypto/tls"
	"log"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// Config holds what a Server needs.
type Config struct {
	// Address is "IP:PORT"; port 0 takes a free one.
	Address string
	Handler http.Handler
	// TLS, if not nil, encrypts the connections.
	TLS *tls.Config
	// HeaderTimeout is the time limit for reading a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may be idle.
	IdleTimeout time.Duration
	// MaxHeaderBytes bounds the header of a request; 0 stands for the default of net/http.
	MaxHeaderBytes int
	// Limits bound what clients may take.
	Limits Limits
	// Metrics counts the connections that are closed; nil for none. Name is the listener's
	// name in metrics and log lines.
	Metrics *Metrics
	Name    string
	// Log gets bounded lines about clients that misbehave; nil for none.
	Log *zap.Logger
}

// faultLog writes what net/http logs to stderr, but for lines that clients cause, which
// would be without bound.
type faultLog struct{}

var handshakeFault = []byte("TLS handshake error")

// Write writes a line.
func (faultLog) Write(line []byte) (int, error) {
	if bytes.Contains(line, handshakeFault) {
		return len(line), nil
	}
	return os.Stderr.Write(line)
}

// Server is an HTTP/1.1 server on one address.
type Server struct {
	http     *http.Server
	listener *listener
	tls      *tls.Config
	handler  http.Handler
	draining atomic.Bool
	// served is closed once Serve accepts no more connections.
	served chan struct{}
	// watching is the goroutine that looks for clients that misbehave.
	watching *sillgroup.Group
}

// Summary tells how the connections of a server ended at its shutdown.
type Summary struct {
	// Idle is the number of connections that were ended while no request was on them.
	Idle int
	// Cut is the number of connections that were closed under a request.
	Cut int
}

// Listen opens the address. The caller calls Serve, and Shutdown or Close.
func Listen(cfg Config) (*Server, error) {
	var listen net.ListenConfig
	// The kernel can't ignore attempts to connect to a listener that uses MPTCP.
	listen.SetMultipathTCP(false)
	socket, err := listen.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "sillserver.Listen: can't listen on %s; choose a free address of this instance", cfg.Address)
	}
	l := newListener(socket.(*net.TCPListener))
	l.limits, l.encrypted = cfg.Limits.withDefaults(), cfg.TLS != nil
	l.counts.expose(cfg.Metrics, cfg.Name, l.countOpen)
	s := &Server{listener: l, watching: sillgroup.New(context.Background()), tls: cfg.TLS, handler: cfg.Handler, served: make(chan struct{})}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: recordState, ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes, ConnContext: withConn,
		ErrorLog: log.New(faultLog{}, "", 0),
	}
	s.watching.Go(func(ctx context.Context) { l.watch(ctx, cfg.Log) })
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Serve serves until Shutdown or Close.
func (s *Server) Serve() {
	defer close(s.served)
	var l net.Listener = s.listener
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	_ = s.http.Serve(l)
}

// handle passes a request on.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	own := &responseWriter{ResponseWriter: w, draining: &s.draining}
	c := connOf(r)
	if c == nil {
		s.handler.ServeHTTP(own, r)
		own.announceLast()
		return
	}
	own.conn = c
	if len(r.Header) > s.listener.limits.HeaderFields {
		s.listener.count(reasonFields, c.activity.address)
		own.isLast = true
		own.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if c.countAhead() > s.listener.limits.Pipelined {
		s.listener.count(reasonPipelined, c.activity.address)
		own.isLast = true
	}
	defer c.begin(own, r)()
	s.handler.ServeHTTP(own, r)
	if own.body != nil && own.body.short && !own.begun {
		own.refuse()
	}
	own.announceLast()
}

// begin prepares a request of the connection, and returns the function that ends it.
func (c *conn) begin(w *responseWriter, r *http.Request) (end func()) {
	a := c.listener.limits.Budget.Open(c.drop)
	c.activity.account.Store(a)
	if r.Body != nil && r.Body != http.NoBody {
		c.activity.bodyBytes.Store(0)
		w.body = newBody(c, a, r)
		r.Body = w.body
	}
	return func() {
		if w.body != nil && !w.body.ended {
			// net/http reads the rest.
			c.activity.bodyBegan.Store(time.Now().UnixNano())
		}
		c.activity.account.Store(nil)
		a.Close()
	}
}

// countAhead counts a request and returns how many in a row the client had sent before the
// answer to the one before.
func (c *conn) countAhead() int {
	reads := c.activity.reads.Load()
	if reads != c.activity.handled {
		c.activity.ahead = 0
	}
	c.activity.handled = reads
	c.activity.ahead++
	return c.activity.ahead
}

type connContextKey struct{}

// withConn puts the connection into the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	return context.WithValue(ctx, connContextKey{}, c)
}

func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connContextKey{}).(*conn)
	return c
}

// Drain makes the next response on each connection its last one, which says so. The server
// goes on accepting connections. Called some time before Shutdown, it leaves few
// connections on which a request could still come.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown serves the connections that wait to be accepted, takes no more, ends idle
// ones, and waits for running requests. If ctx ends first, it closes what is left. Serve
// must have been called.
func (s *Server) Shutdown(ctx context.Context) Summary {
	s.Drain()
	s.listener.stop()
	s.listener.endIdle()
	var summary Summary
	select {
	case <-s.served:
		s.listener.awaitClosed(ctx)
	case <-ctx.Done():
	}
	summary.Idle, summary.Cut = s.listener.countEnded(), s.listener.countHandling()
	s.Close()
	return summary
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	_ = s.listener.Close()
	_ = s.http.Close()
	s.watching.Stop()
}
