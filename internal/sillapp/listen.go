// Package sillapp wires the programs: which parts there are, in which order
// they start, and how they stop without cutting a request.
package sillapp

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

// idleTimeout bounds the time for which a caller's connection rests.
const idleTimeout = 2 * time.Minute

// server is one HTTP listener.
type server struct {
	*sillserver.Server
	group *sillgroup.Group
}

// listen opens an address; TLS is used if the files are named. The name is that of the
// listener in metrics.
func (l *listening) listen(name string, limits sillserver.Limits, address sillsettings.Address, files sillsettings.ServerTLS, h http.Handler) (*server, error) {
	cfg := sillserver.Config{
		Address: string(address), Handler: h,
		HeaderTimeout: l.settings.HeaderTimeout.Duration(), IdleTimeout: idleTimeout, MaxHeaderBytes: l.settings.MaxHeaderBytes,
		Limits: l.with(limits), Metrics: l.metrics, Name: name, Log: l.log,
	}
	if files.CertificateFile != "" {
		cert, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "sillapp.listen: certificate")
		}
		cfg.TLS = &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}
	}
	s, err := sillserver.Listen(cfg)
	if err != nil {
		return nil, err
	}
	return &server{Server: s}, nil
}

// start serves until stop.
func (s *server) start(ctx context.Context) {
	s.group = sillgroup.New(ctx)
	s.group.Go(func(context.Context) { s.Serve() })
}

// stop waits for the running requests until ctx ends, then cuts them.
func (s *server) stop(ctx context.Context) error {
	summary := s.Shutdown(ctx)
	s.group.Stop()
	if summary.Cut > 0 {
		return eris.Errorf("sillapp.stop: %d running requests were cut; allow a longer drain time", summary.Cut)
	}
	return nil
}

// newRegistry returns the registry of the process's metrics.
func newRegistry() *prometheus.Registry {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return r
}

// operatorHandler serves metrics, health and profiles to operators.
func operatorHandler(r *prometheus.Registry, ready func() error) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{}))
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

// fxLogger sends the wiring's own messages to the debug log.
func fxLogger(log *zap.Logger) fxevent.Logger {
	l := &fxevent.ZapLogger{Logger: log.Named("wiring")}
	l.UseLogLevel(zap.DebugLevel)
	return l
}

// stopMargin is the time that a stop may take beyond the drain limit.
const stopMargin = 10 * time.Second

// gcPercent lets the heap grow by three quarters between two collections: the processes
// are small and their memory is bounded.
const gcPercent = 75

// program is a wired program.
type program struct {
	app   *fx.App
	drain time.Duration
	// limits are those of the process's settings.
	limits sillsettings.Limits
}

// Start starts every part in order. If one fails, those before it are stopped.
func (p *program) Start(ctx context.Context) error {
	return p.app.Start(ctx)
}

// Stop stops every part in the reverse order.
func (p *program) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), p.drain+stopMargin)
	defer cancel()
	return p.app.Stop(ctx)
}

// Run starts the program, calls ready, waits until ctx ends and stops it.
func (p *program) Run(ctx context.Context, ready func() error) error {
	debug.SetGCPercent(gcPercent)
	applyMemoryLimit(p.limits)
	// A start that has opened listeners is completed, so that the stop is orderly.
	startCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fx.DefaultTimeout)
	defer cancel()
	if err := p.Start(startCtx); err != nil {
		return err
	}
	if err := ready(); err != nil {
		return errors.Join(err, p.Stop())
	}
	<-ctx.Done()
	return p.Stop()
}
