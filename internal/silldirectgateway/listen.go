package silldirectgateway

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillserver"
)

// servers are the process's listeners; those without an address are nil.
type servers struct {
	callers, ready, peers, metrics *sillserver.Server
}

// listenSpec describes a listener to open; an empty address opens none.
type listenSpec struct {
	server  **sillserver.Server
	name    string
	address string
	handler http.Handler
	limits  sillserver.Limits
}

// headLimits are those of the platform's clients until the configuration is known, and those
// of all other listeners.
var headLimits = sillserver.HeadLimits{Timeout: sillserver.DefaultHeaderTimeout, Bytes: maxHeaderBytes}

func (s *servers) open(budget *sillbudget.Budget, metrics *sillserver.Metrics, log *zap.Logger, list ...listenSpec) error {
	for _, o := range list {
		if o.address == "" {
			continue
		}
		o.limits.Budget = budget
		server, err := sillserver.Listen(sillserver.Config{
			Address: o.address, Handler: o.handler, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
			MaxHeaderBytes: maxHeaderBytesLimit, Limits: o.limits, Metrics: metrics, Name: o.name, Log: log,
		})
		if err != nil {
			s.close()
			return err
		}
		server.SetHeadLimits(headLimits)
		*o.server = server
	}
	return nil
}

// all returns the open listeners.
func (s *servers) all() []*sillserver.Server {
	var open []*sillserver.Server
	for _, server := range [...]*sillserver.Server{s.callers, s.ready, s.peers, s.metrics} {
		if server != nil {
			open = append(open, server)
		}
	}
	return open
}

func (s *servers) serve(group *sillgroup.Group) {
	for _, server := range s.all() {
		group.Go(func(context.Context) { server.Serve() })
	}
}

// drain makes the next response on each connection its last one.
func (s *servers) drain() {
	for _, server := range s.all() {
		server.Drain()
	}
}

// shutdown ends the listeners but that of readiness checks, after the calls that run on
// them or when ctx ends. It returns the number of callers' requests that it cut.
func (s *servers) shutdown(ctx context.Context) int {
	group := sillgroup.New(ctx)
	for _, server := range s.all() {
		if server != s.callers && server != s.ready {
			group.Go(func(ctx context.Context) { server.Shutdown(ctx) })
		}
	}
	summary := s.callers.Shutdown(ctx)
	group.Wait()
	return summary.Cut
}

func (s *servers) close() {
	for _, server := range s.all() {
		server.Close()
	}
}
