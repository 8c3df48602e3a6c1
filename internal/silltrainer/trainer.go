// Package silltrainer serves the trainers' HTTP calls: it creates batches,
// redelivers samples until they are acknowledged, and publishes new weight versions.
package silltrainer

import (
	"context"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Config holds the dependencies of the handlers. Its functions must be safe for
// concurrent use.
type Config struct {
	// Organisation returns the organisation whose key the request carries; the key
	// has already been checked.
	Organisation func(*http.Request) sillid.OrganisationID
	// Trainers returns the trainers of the current bundle.
	Trainers func() []sillbundle.Trainer
	// Create stores a batch, as sillrollout.Ledger.Create does.
	Create func(ctx context.Context, spec sillrollout.Spec) error
	// Next returns the batch's next delivery, as sillrollout.Ledger.Next does.
	Next func(ctx context.Context, organisation sillid.OrganisationID, batch sillid.BatchID, limit int) (sillrollout.Delivery, error)
	// Acknowledge marks a delivery as received, as sillrollout.Ledger.Acknowledge does.
	Acknowledge func(ctx context.Context, organisation sillid.OrganisationID, batch sillid.BatchID, id sillrollout.DeliveryID) error
	// Publish makes a weight version the trainer's current one. It returns a
	// sillproblem of kind VersionStale if the version is not newer.
	Publish func(ctx context.Context, model sillid.ModelID, version sillid.WeightVersion) error
	// Instance returns the request's id for problem documents; nil leaves it empty.
	Instance func(*http.Request) string
	// PollInterval is the time between two calls of Next while a trainer waits; 0
	// stands for defaultPollInterval.
	PollInterval time.Duration
	Logger       *zap.Logger
}

const (
	defaultPollInterval = time.Second
	maxWait             = 60 * time.Second
	maxBodyBytes        = 32 << 20
)

type handlers struct {
	Config
}

// Register adds the routes of the trainers' calls to a router.
func Register(r *mux.Router, cfg Config) {
	if cfg.PollInterval <= 0 {
		cfg.PollInterval = defaultPollInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	cfg.Logger = cfg.Logger.Named("trainer")
	if cfg.Instance == nil {
		cfg.Instance = func(*http.Request) string { return "" }
	}
	h := &handlers{Config: cfg}
	r.HandleFunc("/v1/rollouts", h.handlerFunc(h.create)).Methods(http.MethodPost)
	r.HandleFunc("/v1/rollouts/{batch}/samples", h.handlerFunc(h.samples)).Methods(http.MethodGet)
	r.HandleFunc("/v1/rollouts/{batch}/acks", h.handlerFunc(h.acknowledge)).Methods(http.MethodPost)
	r.HandleFunc("/v1/weights", h.handlerFunc(h.publish)).Methods(http.MethodPost)
}

// reply is the response of a handler that returned no error.
type reply struct {
	status int
	body   any
}

func (h *handlers) handlerFunc(handle func(*http.Request) (reply, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		resp, err := handle(r)
		if err != nil {
			p := problemOf(err)
			h.Logger.Info("call refused", zap.String("kind", string(p.Kind)), zap.String("detail", p.Detail))
			p.Write(w, h.Instance(r))
			return
		}
		writeJSON(w, resp)
	}
}

// trainer returns the trainer with the id if it belongs to the request's organisation.
func (h *handlers) trainer(r *http.Request, id sillid.TrainerID) (sillbundle.Trainer, error) {
	organisation := h.Organisation(r)
	for _, t := range h.Trainers() {
		if t.ID == id && t.Organisation == organisation {
			return t, nil
		}
	}
	return sillbundle.Trainer{}, sillproblem.New(sillproblem.BadRequest, "trainer: the organisation has no trainer %q", id)
}

// trains reports whether a trainer of the request's organisation trains the model.
func (h *handlers) trains(r *http.Request, model sillid.ModelID) bool {
	organisation := h.Organisation(r)
	for _, t := range h.Trainers() {
		if t.Model == model && t.Organisation == organisation {
			return true
		}
	}
	return false
}
