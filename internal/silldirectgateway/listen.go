package silldirectgateway

import (
	"context"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// listener is one HTTP server; the zero listener serves nothing.
type listener struct {
	server *http.Server
	socket net.Listener
}

func (l *listener) address() string { return l.socket.Addr().String() }

// shutdown closes connections after their next response and waits for running
// requests. If ctx ends first, it closes their connections and returns an error.
func (l *listener) shutdown(ctx context.Context) error {
	l.server.SetKeepAlivesEnabled(false)
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	return err
}

// servers are the process's listeners.
type servers struct {
	callers, ready, peers, metrics listener
}

// listenSpec describes a listener to open; an empty address opens none.
type listenSpec struct {
	listener *listener
	address  string
	handler  http.Handler
}

func (s *servers) open(list ...listenSpec) error {
	for _, o := range list {
		if o.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", o.address)
		if err != nil {
			s.close()
			return eris.Wrapf(err, "silldirectgateway.open: can't listen on %s; choose a free address of this instance", o.address)
		}
		*o.listener = listener{
			socket: socket,
			server: &http.Server{Handler: o.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout},
		}
	}
	return nil
}

func (s *servers) all() []*listener {
	return []*listener{&s.callers, &s.ready, &s.peers, &s.metrics}
}

func (s *servers) serve(group *sillgroup.Group) {
	for _, l := range s.all() {
		if l.server != nil {
			group.Go(func(context.Context) { _ = l.server.Serve(l.socket) })
		}
	}
}

func (s *servers) close() {
	for _, l := range s.all() {
		if l.server != nil {
			_ = l.server.Close()
			_ = l.socket.Close()
		}
	}
}
