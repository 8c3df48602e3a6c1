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

// shutdown lets connections end with their next answer and waits for the
// requests that run; it cuts them when ctx ends.
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

// opening is a listener to be opened; an empty address opens none.
type opening struct {
	listener *listener
	address  string
	handler  http.Handler
}

func (s *servers) open(list ...opening) error {
	for _, o := range list {
		if o.address == "" {
			continue
		}
		socket, err := net.Listen("tcp", o.address)
		if err != nil {
			s.close()
			return eris.Wrapf(err, "silldirectgateway.open: %s; choose a free address of this instance", o.address)
		}
		*o.listener = listener{
			socket: socket,
			server: &http.Server{Handler: o.handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle},
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
