// Package sillserver serves HTTP and stops without losing a request that it has read.
//
// For net/http, a kept connection is idle until the header of its next request is read,
// and Shutdown closes idle connections at once. A request that is being read at that
// moment is handled all the same, but its caller gets no response. Here the goroutine that
// reads a connection ends it, and only if no byte of a request has arrived.
package sillserver

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
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
	s := &Server{listener: newListener(socket.(*net.TCPListener)), tls: cfg.TLS, handler: cfg.Handler, served: make(chan struct{})}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: recordState, ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout: cfg.IdleTimeout, MaxHeaderBytes: cfg.MaxHeaderBytes,
	}
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
	s.handler.ServeHTTP(own, r)
	own.announceLast()
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
}
