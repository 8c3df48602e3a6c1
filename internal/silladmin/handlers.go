package silladmin

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"

	"github.com/gorilla/mux"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// versionAnswer holds an accepted version; Signed is absent before the first.
type versionAnswer struct {
	Version sillid.BundleVersion `json:"version"`
	Signed  *sillbundle.Signed   `json:"signed,omitempty"`
}

// getBundle answers with the version of the query, or with the current one.
func (s *server) getBundle(w http.ResponseWriter, r *http.Request) {
	v, err := versionOf(r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	if v == 0 {
		head, err := s.Publisher.Head(r.Context())
		if err != nil {
			s.refuse(w, r, err)
			return
		}
		v = head.Version
	}
	if v == 0 {
		answer(w, http.StatusOK, versionAnswer{})
		return
	}
	signed, err := s.Publisher.Load(r.Context(), v)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	answer(w, http.StatusOK, versionAnswer{Version: v, Signed: signed})
}

func versionOf(r *http.Request) (sillid.BundleVersion, error) {
	text := r.URL.Query().Get("version")
	if text == "" {
		return 0, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n == 0 {
		return 0, sillproblem.New(sillproblem.BadRequest, "version %q is no number from 1", text)
	}
	return sillid.BundleVersion(n), nil
}

func (s *server) postBundle(w http.ResponseWriter, r *http.Request) {
	var signed sillbundle.Signed
	if err := readJSON(r, &signed); err != nil {
		s.refuse(w, r, err)
		return
	}
	s.accept(w, r, &signed)
}

func (s *server) accept(w http.ResponseWriter, r *http.Request, signed *sillbundle.Signed) {
	accepted, err := s.Publisher.Accept(r.Context(), signed)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	s.Log.Info("Accepted a bundle.", zap.Uint64("version", uint64(accepted.Version)),
		zap.String("by", string(accepted.By)), zap.String("operator", string(operatorOf(r))))
	s.Metrics.accepted.Inc()
	s.Apply(accepted.Version, signed)
	answer(w, http.StatusCreated, accepted)
}

type rollBackCall struct {
	// To is the version whose content comes back.
	To     sillid.BundleVersion `json:"to-version"`
	Signed sillbundle.Signed    `json:"signed"`
}

// rollBack accepts a bundle only if it is the content of the version named.
func (s *server) rollBack(w http.ResponseWriter, r *http.Request) {
	var call rollBackCall
	if err := readJSON(r, &call); err != nil {
		s.refuse(w, r, err)
		return
	}
	old, err := s.Publisher.Load(r.Context(), call.To)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	if !bytes.Equal(old.Bundle, call.Signed.Bundle) {
		s.refuse(w, r, sillproblem.New(sillproblem.BundleInvalid, "the signed bundle is not the content of version %d", call.To))
		return
	}
	s.accept(w, r, &call.Signed)
}

type diffAnswer struct {
	Base    sillid.BundleVersion `json:"base-version"`
	Changes []sillbundle.Change  `json:"changes"`
	Faults  []sillbundle.Fault   `json:"faults"`
}

// diff compares a bundle that is not signed yet with the current one.
func (s *server) diff(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	b, err := sillbundle.Decode(data)
	if err != nil {
		s.refuse(w, r, sillproblem.New(sillproblem.BadRequest, "%v", err))
		return
	}
	head, current, err := s.current(r)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	result := diffAnswer{Base: head, Changes: sillbundle.Diff(current, b)}
	var invalid *sillbundle.InvalidError
	if errors.As(b.Validate(), &invalid) {
		result.Faults = invalid.Faults
	}
	answer(w, http.StatusOK, result)
}

func (s *server) current(r *http.Request) (sillid.BundleVersion, *sillbundle.Bundle, error) {
	head, err := s.Publisher.Head(r.Context())
	if err != nil || head.Version == 0 {
		return 0, &sillbundle.Bundle{}, err
	}
	signed, err := s.Publisher.Load(r.Context(), head.Version)
	if err != nil {
		return 0, nil, err
	}
	b, err := sillbundle.Decode(signed.Bundle)
	return head.Version, b, err
}

// statusAnswer is what is known of the processes; Current is absent while the
// store does not answer.
type statusAnswer struct {
	Current   *sillbundlestore.Head `json:"current,omitempty"`
	Processes []ProcessStatus       `json:"processes"`
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	result := statusAnswer{Processes: s.Processes()}
	if head, err := s.Publisher.Head(r.Context()); err == nil {
		result.Current = &head
	}
	answer(w, http.StatusOK, result)
}

// Limits of the number of versions in one answer.
const (
	defaultHistory = 20
	maxHistory     = 500
)

type historyAnswer struct {
	Versions []sillbundlestore.Accepted `json:"versions"`
}

func (s *server) history(w http.ResponseWriter, r *http.Request) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			s.refuse(w, r, sillproblem.New(sillproblem.BadRequest, "limit %q is no number from 1 to %d", text, maxHistory))
			return
		}
		limit = n
	}
	versions, err := s.Publisher.History(r.Context(), limit)
	if err != nil {
		s.refuse(w, r, err)
		return
	}
	answer(w, http.StatusOK, historyAnswer{Versions: versions})
}

type withdrawAnswer struct {
	// Recorded is whether the notice is in the store already.
	Recorded bool `json:"recorded"`
}

// withdraw applies a notice first and writes it to the store afterwards, so that
// the key stops working in an outage of the store too.
func (s *server) withdraw(w http.ResponseWriter, r *http.Request) {
	var notice sillbundle.Withdrawal
	if err := readJSON(r, &notice); err != nil {
		s.refuse(w, r, err)
		return
	}
	if err := notice.Verify(s.Operators); err != nil {
		s.refuse(w, r, err)
		return
	}
	if err := s.Withdraw(notice); err != nil {
		s.refuse(w, r, err)
		return
	}
	s.Metrics.withdrawn.Inc()
	s.Log.Warn("Withdrew a key.", zap.String("operator", string(notice.Operator)))
	recorded := s.Publisher.RecordWithdrawal(r.Context(), notice) == nil
	answer(w, http.StatusAccepted, withdrawAnswer{Recorded: recorded})
}

type targetsAnswer struct {
	Targets []TargetStatus `json:"targets"`
}

func (s *server) targets(w http.ResponseWriter, _ *http.Request) {
	answer(w, http.StatusOK, targetsAnswer{Targets: s.Targets()})
}

func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	target := sillid.TargetID(mux.Vars(r)["target"])
	if err := s.Drain(r.Context(), target); err != nil {
		s.refuse(w, r, err)
		return
	}
	s.Log.Info("Draining a target.", zap.String("target", string(target)), zap.String("operator", string(operatorOf(r))))
	w.WriteHeader(http.StatusAccepted)
}
