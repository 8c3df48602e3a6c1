package silldirectgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

const (
	// runPath is the HTTP path on which a gateway tells its run, unless it is stopping.
	runPath = "/run"
	// maxRunBytes bounds the name of a run.
	maxRunBytes = 256
	// runCallTimeout is the time limit of one call: a kept connection may be silent, so that a
	// second call on a new one follows.
	runCallTimeout = 200 * time.Millisecond
)

// errOtherRun is the error of a process that answers in place of the one that is asked.
var errOtherRun = errors.New("another process answers, or the process is stopping")

// serveRun tells the run of this process. A process that is stopping hands its jobs over.
func (m *membership) serveRun(w http.ResponseWriter, _ *http.Request) {
	if m.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, string(m.run))
}

// overdue returns whether a process has not renewed its row for longer than usual.
func (m *membership) overdue(run silljob.GatewayRun) bool {
	return m.members.IsOverdue(sillclock.Boot(), sillcluster.Run(run))
}

// prober returns a function that asks a process directly whether it runs.
func (m *membership) prober(pool *silltransport.Pool) func(context.Context, silljob.GatewayRun) error {
	return func(ctx context.Context, run silljob.GatewayRun) error {
		address, ok := m.members.AddressOf(sillcluster.Run(run))
		if !ok {
			return eris.New("silldirectgateway.prober: no row of the process is known")
		}
		err := askRun(ctx, pool, address, run)
		if err != nil && !errors.Is(err, errOtherRun) && ctx.Err() == nil {
			pool.CloseIdle(address)
			err = askRun(ctx, pool, address, run)
		}
		return eris.Wrap(err, "silldirectgateway.prober")
	}
}

// askRun returns nil if the process at an address tells that it is a run.
func askRun(ctx context.Context, pool *silltransport.Pool, address string, run silljob.GatewayRun) error {
	ctx, cancel := context.WithTimeout(ctx, runCallTimeout)
	defer cancel()
	resp, err := pool.Send(ctx, address, &silltransport.Request{Method: http.MethodGet, RequestURI: runPath, Host: address})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := sillbody.ReadAll(resp.Body, maxRunBytes)
	switch {
	case err != nil:
		return err
	case resp.StatusCode != http.StatusOK || string(body) != string(run):
		return errOtherRun
	}
	return nil
}
