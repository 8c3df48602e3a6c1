// Package sillgateway serves the HTTP API for callers and trainers. It
// authenticates organisations by their keys, bounds the running requests of each,
// and either returns the complete response of a target or a refusal with its reason.
package sillgateway

import (
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillidempotency"
	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// requestIDHeader carries the request's id to targets and back to callers.
const requestIDHeader = "X-Request-Id"

// Access is what the gateway knows about keys at one moment.
type Access struct {
	// Index is the configuration in force; nil if there is none yet.
	Index *sillbundle.Index
	// Withdrawn reports a key that was withdrawn ahead of the next bundle; it
	// may be nil.
	Withdrawn func(sillbundle.KeyHash) bool
	// Unconfirmed is true if the configuration could not be confirmed for
	// longer than the limit. Only open routes are served then.
	Unconfirmed bool
}

// Config holds what the callers' side of a gateway needs.
type Config struct {
	// Access returns the configuration in force.
	Access func() Access
	// Dispatch runs requests on targets.
	Dispatch *silldispatch.Dispatcher
	// Admission bounds the running requests of each organisation.
	Admission *silllimit.Admission
	// Repeat claims idempotency keys.
	Repeat *sillidempotency.Keeper
	// Trainers adds the trainers' calls to the router; it may be nil.
	Trainers func(g *Gateway, r *mux.Router)
	Metrics  *Metrics
	Log      *zap.Logger
	Now      func() time.Time
}

// Gateway answers callers.
type Gateway struct {
	cfg    Config
	active *activeRequests
}

// New returns a gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, active: newActiveRequests()}
}

// EndWithdrawn ends running requests whose keys are not valid any more.
func (g *Gateway) EndWithdrawn() {
	access := g.cfg.Access()
	ended := g.active.endWithdrawn(func(hash sillbundle.KeyHash) bool {
		return access.organisation(hash) != nil
	})
	if ended > 0 {
		g.cfg.Metrics.EndedWithdrawn.Add(float64(ended))
		g.cfg.Log.Info("ended requests of withdrawn keys", zap.Int("requests", ended))
	}
}

// Handler returns the callers' handler.
func (g *Gateway) Handler() http.Handler {
	r := mux.NewRouter().UseEncodedPath().SkipClean(true)
	if g.cfg.Trainers != nil {
		g.cfg.Trainers(g, r)
	}
	r.PathPrefix("/").HandlerFunc(g.serveCaller)
	return g.withRequestID(r)
}

// organisation returns the organisation of a valid key, or nil.
func (a *Access) organisation(hash sillbundle.KeyHash) *sillbundle.Organisation {
	if a.Index == nil || (a.Withdrawn != nil && a.Withdrawn(hash)) {
		return nil
	}
	return a.Index.ByKey(hash)
}

// newRequestID returns the id of one request.
func newRequestID() sillid.RequestID {
	return sillid.RequestID(sillid.Fresh("r"))
}
