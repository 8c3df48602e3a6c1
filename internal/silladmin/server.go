// Package silladmin is the administration API: operators hand in bundles,
// withdraw keys, look at versions and drain targets. It listens on a port of its
// own and takes credentials of operators only.
package silladmin

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/silljson"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Credential lets one operator use the API.
type Credential struct {
	Operator sillbundle.OperatorName `json:"operator"`
	// TokenHash is the hash of the bearer token, as sillbundle.HashKey makes it.
	TokenHash sillbundle.KeyHash `json:"token-hash"`
}

// ProcessStatus is what is known of one process of the system.
type ProcessStatus struct {
	// Process is the process's id.
	Process string `json:"process"`
	// Role is "gateway" or "agent".
	Role string        `json:"role"`
	Zone sillid.ZoneID `json:"availability-zone"`
	// Version is the bundle version in force in the process; 0 before the first.
	Version sillid.BundleVersion `json:"bundle-version"`
	// ConfirmedAgeMS is how long ago the process last knew that no higher version
	// was accepted, in milliseconds; -1 if it never did.
	ConfirmedAgeMS int64 `json:"confirmed-age-ms"`
	// SeenAgeMS is how old this report is, in milliseconds.
	SeenAgeMS int64 `json:"seen-age-ms"`
}

// TargetStatus is what is known of one target.
type TargetStatus struct {
	Target sillid.TargetID `json:"target-id"`
	Pool   sillid.PoolID   `json:"pool"`
	Zone   sillid.ZoneID   `json:"availability-zone"`
	// State is "live", "draining", "leaving" or "unreachable".
	State string `json:"state"`
	// Running is the number of requests that run on the target.
	Running int `json:"running"`
}

// ErrNoTarget is returned by Config.Drain for a target that is not known.
var ErrNoTarget = errors.New("no such target: list the targets first")

// Config holds what the API needs.
type Config struct {
	Publisher *sillbundlestore.Publisher
	// Credentials are those of the operators.
	Credentials []Credential
	// Operators are those whose signatures count.
	Operators sillbundle.Operators
	// Apply puts an accepted version in force in this process at once.
	Apply func(v sillid.BundleVersion, signed *sillbundle.Signed)
	// Withdraw applies a withdrawal in this process at once and tells its peers.
	Withdraw func(w sillbundle.Withdrawal) error
	// Processes returns what is known of every process.
	Processes func() []ProcessStatus
	// Targets returns what is known of every target.
	Targets func() []TargetStatus
	// Drain takes a target out of service and lets its requests finish. Errors: ErrNoTarget.
	Drain func(ctx context.Context, target sillid.TargetID) error
	// Log is the logger of the process; nil logs nothing.
	Log *zap.Logger
	// Metrics counts calls; nil counts nothing.
	Metrics *Metrics
}

type server struct {
	Config
	operators map[sillbundle.KeyHash]sillbundle.OperatorName
}

// New returns the handler of the API.
func New(cfg Config) http.Handler {
	if cfg.Log == nil {
		cfg.Log = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	cfg.Log = cfg.Log.Named("admin")
	s := &server{Config: cfg, operators: map[sillbundle.KeyHash]sillbundle.OperatorName{}}
	for _, c := range cfg.Credentials {
		s.operators[c.TokenHash] = c.Operator
	}
	r := mux.NewRouter()
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = r.NotFoundHandler
	api := r.PathPrefix("/admin/v1").Subrouter()
	api.Use(s.authenticate)
	api.HandleFunc("/bundle", s.getBundle).Methods(http.MethodGet)
	api.HandleFunc("/bundle", s.postBundle).Methods(http.MethodPost)
	api.HandleFunc("/bundle/diff", s.diff).Methods(http.MethodPost)
	api.HandleFunc("/bundle/roll-back", s.rollBack).Methods(http.MethodPost)
	api.HandleFunc("/bundle/status", s.status).Methods(http.MethodGet)
	api.HandleFunc("/bundle/history", s.history).Methods(http.MethodGet)
	api.HandleFunc("/withdrawals", s.withdraw).Methods(http.MethodPost)
	api.HandleFunc("/targets", s.targets).Methods(http.MethodGet)
	api.HandleFunc("/targets/{target}/drain", s.drain).Methods(http.MethodPost)
	return r
}

type operatorContextKey struct{}

func operatorOf(r *http.Request) sillbundle.OperatorName {
	name, _ := r.Context().Value(operatorContextKey{}).(sillbundle.OperatorName)
	return name
}

func (s *server) authenticate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !found || token == "" {
			s.refuse(w, r, sillproblem.New(sillproblem.KeyMissing, "send an operator's credential as a bearer token"))
			return
		}
		name, known := s.operators[sillbundle.HashKey(token)]
		if !known {
			s.refuse(w, r, sillproblem.New(sillproblem.KeyUnknown, "the credential is of no operator of the settings"))
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorContextKey{}, name)))
	})
}

func (s *server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, r, sillproblem.New(sillproblem.NotFound, "the administration API has no %s %s", r.Method, r.URL.Path))
}

// refuse answers with the problem that the error stands for.
func (s *server) refuse(w http.ResponseWriter, r *http.Request, err error) {
	p := problemOf(err)
	s.Metrics.refused.WithLabelValues(string(p.Kind)).Inc()
	s.Log.Info("Refused a call.", zap.String("path", r.URL.Path), zap.String("kind", string(p.Kind)),
		zap.String("operator", string(operatorOf(r))))
	p.Write(w, sillid.Fresh("admin"))
}

// storeRetryAfter is the advice to callers while the store is down.
const storeRetryAfter = 5 * time.Second

func problemOf(err error) *sillproblem.Problem {
	var (
		problem  *sillproblem.Problem
		conflict *sillbundlestore.Conflict
		invalid  *sillbundle.InvalidError
	)
	switch {
	case errors.As(err, &problem):
		return problem
	case errors.As(err, &conflict):
		return sillproblem.New(sillproblem.BundleConflict, "%v", conflict)
	case errors.As(err, &invalid):
		return sillproblem.New(sillproblem.BundleInvalid, "%v", invalid)
	case errors.Is(err, sillbundle.ErrSignature), errors.Is(err, sillbundle.ErrNotCanonical):
		return sillproblem.New(sillproblem.BundleInvalid, "%v", err)
	case errors.Is(err, sillbundlestore.ErrNoVersion), errors.Is(err, ErrNoTarget):
		return sillproblem.New(sillproblem.NotFound, "%v", err)
	case errors.Is(err, sillbundlestore.ErrAcceptUnknown):
		return sillproblem.New(sillproblem.StoreUnavailable, "%v", err).
			WithOutcome(sillproblem.OutcomeUnknown).WithRetryAfter(storeRetryAfter)
	default:
		return sillproblem.New(sillproblem.StoreUnavailable, "%v", err).WithRetryAfter(storeRetryAfter)
	}
}

// maxBodyBytes bounds a call: a bundle and its signatures.
const maxBodyBytes = sillbundle.MaxBytes + 1<<20

// maxValues bounds the JSON values of a call: a bundle names organisations, keys and routes.
const maxValues = 1 << 18

func readBody(r *http.Request) ([]byte, error) {
	data, err := sillserver.ReadBody(nil, r, maxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, sillproblem.New(sillproblem.BodyTooLarge, "the body is above %d bytes", maxBodyBytes)
	case err != nil:
		return nil, sillproblem.New(sillproblem.BadRequest, "the body broke off: %v", err)
	}
	return data, nil
}

// readJSON decodes the body of a call and refuses unknown fields.
func readJSON(r *http.Request, value any) error {
	data, err := readBody(r)
	if err != nil {
		return err
	}
	if err := silljson.Check(data, maxValues); err != nil {
		return sillproblem.New(sillproblem.BadRequest, "the body holds too many values: %v", err)
	}
	d := json.NewDecoder(strings.NewReader(string(data)))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return sillproblem.New(sillproblem.BadRequest, "the body is not the JSON that the call takes: %v", err)
	}
	return nil
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The operator may be gone; there is nobody left to tell.
	_ = json.NewEncoder(w).Encode(value)
}
