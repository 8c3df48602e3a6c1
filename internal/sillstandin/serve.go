package sillstandin

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// ServeConfig holds what Serve needs.
type ServeConfig struct {
	// Listen is "IP:PORT" on loopback; port 0 takes a free one.
	Listen string
	// ExitAfter ends the program after this time; 0 stands for never.
	ExitAfter time.Duration
	// Handler answers the calls.
	Handler http.Handler
	// Panel closes all connections at a simulated crash.
	Panel *Panel
	// Ready takes one line of JSON once the address is open.
	Ready io.Writer
}

type readyLine struct {
	Ready bool   `json:"ready"`
	URL   string `json:"url"`
}

// stopTime bounds the wait for running calls at the end.
const stopTime = 2 * time.Second

// Serve answers calls until the context or ExitAfter ends.
func Serve(ctx context.Context, cfg ServeConfig) error {
	addr, err := netip.ParseAddrPort(cfg.Listen)
	if err != nil || !addr.Addr().IsLoopback() {
		return eris.Errorf("sillstandin.Serve: listen address %q: give IP:PORT on loopback", cfg.Listen)
	}
	l, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return eris.Wrap(err, "sillstandin.Serve: listen")
	}
	if cfg.ExitAfter > 0 {
		bounded, cancel := context.WithTimeout(ctx, cfg.ExitAfter)
		defer cancel()
		ctx = bounded
	}
	conns := &connections{open: map[net.Conn]struct{}{}}
	cfg.Panel.onCrash(conns.closeAll)
	srv := &http.Server{Handler: cfg.Handler, ConnState: conns.note, ReadHeaderTimeout: time.Minute}
	g := sillgroup.New(ctx)
	defer g.Stop()
	g.Go(func(ctx context.Context) {
		<-ctx.Done()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTime)
		defer cancel()
		if srv.Shutdown(bounded) != nil {
			_ = srv.Close()
		}
	})
	ready := readyLine{Ready: true, URL: "http://" + l.Addr().String()}
	if err := json.NewEncoder(cfg.Ready).Encode(ready); err != nil {
		return eris.Wrap(err, "sillstandin.Serve: ready line")
	}
	if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return eris.Wrap(err, "sillstandin.Serve")
	}
	return nil
}

// connections keeps the open connections of a server.
type connections struct {
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

func (c *connections) note(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateNew:
		c.open[conn] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(c.open, conn)
	}
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.open {
		_ = conn.Close()
	}
}
