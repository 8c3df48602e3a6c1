// Package sillproblem lists every way in which wasabisill refuses or fails a
// request, as problem details of RFC 9457.
package sillproblem

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells what is known about the effect of a request that got no answer.
type Outcome string

const (
	// NotRun means that no target received any byte of the request.
	NotRun Outcome = "not-run"
	// OutcomeUnknown means that a target may have run the request.
	OutcomeUnknown Outcome = "outcome-unknown"
	// Failed means that a target ran the request and failed it.
	Failed Outcome = "failed"
)

// Kind names the reason of a refusal or failure.
type Kind string

// The kinds of problems. Each stands in the table of kinds with its status,
// title and remedy.
const (
	BadRequest        Kind = "bad-request"
	KeyMissing        Kind = "key-missing"
	KeyUnknown        Kind = "key-unknown"
	KeyWithdrawn      Kind = "key-withdrawn"
	RouteUnknown      Kind = "route-unknown"
	RouteForbidden    Kind = "route-forbidden"
	BodyTooLarge      Kind = "body-too-large"
	OrganisationLimit Kind = "organisation-limit"
	Overload          Kind = "overload"
	DeadlinePassed    Kind = "deadline-passed"
	NoTarget          Kind = "no-target"
	Draining          Kind = "draining"
	RepeatRunning     Kind = "repeat-running"
	RepeatMismatch    Kind = "repeat-mismatch"
	RepeatUnknown     Kind = "repeat-unknown"
	StoreUnavailable  Kind = "store-unavailable"
	CrashSuspect      Kind = "crash-suspect"
	TargetFailed      Kind = "target-failed"
	ConnectionSilent  Kind = "connection-silent"
	BundleUnconfirmed Kind = "bundle-unconfirmed"
	BundleConflict    Kind = "bundle-conflict"
	BundleInvalid     Kind = "bundle-invalid"
	VersionStale      Kind = "version-stale"
	Duplicate         Kind = "duplicate"
	NotFound          Kind = "not-found"
	NotReady          Kind = "not-ready"
	Internal          Kind = "internal"
)

type entry struct {
	status int
	title  string
	remedy string
}

var entries = map[Kind]entry{
	BadRequest:        {http.StatusBadRequest, "The request is malformed.", "Correct the request as the detail says and send it again."},
	KeyMissing:        {http.StatusUnauthorized, "The request carries no key.", "Send the organisation's key as 'Authorization: Bearer KEY'."},
	KeyUnknown:        {http.StatusUnauthorized, "The key is not known.", "Check the key, or ask the operator for one."},
	KeyWithdrawn:      {http.StatusUnauthorized, "The key was withdrawn.", "Ask the operator for a new key."},
	RouteUnknown:      {http.StatusNotFound, "No route has this path.", "Check the path against the routes of the bundle."},
	RouteForbidden:    {http.StatusForbidden, "The route is not open to this organisation.", "Ask the operator to add the route to the organisation."},
	BodyTooLarge:      {http.StatusRequestEntityTooLarge, "The body is larger than the route allows.", "Send a smaller body, or ask the operator to raise the route's limit."},
	OrganisationLimit: {http.StatusTooManyRequests, "The organisation has too many requests at once.", "Wait as long as Retry-After says, then send the request again."},
	Overload:          {http.StatusServiceUnavailable, "All targets of the route are full.", "Wait as long as Retry-After says, then send the request again."},
	DeadlinePassed:    {http.StatusGatewayTimeout, "The request could not finish before its deadline.", "Send the request again with a later deadline."},
	NoTarget:          {http.StatusServiceUnavailable, "No target of the route can be reached.", "Wait as long as Retry-After says; the operator sees why in the target page of the administration API."},
	Draining:          {http.StatusServiceUnavailable, "The process is shutting down.", "Send the request again; another process answers it."},
	RepeatRunning:     {http.StatusConflict, "A request with this idempotency key is still running.", "Wait as long as Retry-After says, then ask again with the same key."},
	RepeatMismatch:    {http.StatusUnprocessableEntity, "The idempotency key was used for another request.", "Use a fresh key for a different request."},
	RepeatUnknown:     {http.StatusConflict, "The request with this idempotency key may have run, and its answer is lost.", "Check at the target whether it ran before you use a fresh key."},
	StoreUnavailable:  {http.StatusServiceUnavailable, "The platform's store does not answer.", "Wait as long as Retry-After says, then send the request again."},
	CrashSuspect:      {http.StatusUnprocessableEntity, "Targets died while they ran this request.", "Do not send the same request again before Retry-After; change it or report it to the operator."},
	TargetFailed:      {http.StatusBadGateway, "The target failed the request.", "Send the request again if it is idempotent."},
	ConnectionSilent:  {http.StatusBadGateway, "The connection to the target went silent.", "Check whether the request ran; send it again if it is idempotent."},
	BundleUnconfirmed: {http.StatusServiceUnavailable, "The configuration could not be confirmed in time.", "Wait as long as Retry-After says, then send the request again."},
	BundleConflict:    {http.StatusConflict, "Another operator changed the bundle first.", "Rebase the change on the version that the detail names and sign it again."},
	BundleInvalid:     {http.StatusUnprocessableEntity, "The bundle is not valid.", "Correct every fault that the detail lists."},
	VersionStale:      {http.StatusConflict, "The weight version is not newer than the current one.", "Publish a version above the current one."},
	Duplicate:         {http.StatusConflict, "The name is taken.", "Use a fresh name, or the same content as before."},
	NotFound:          {http.StatusNotFound, "There is no such thing.", "Check the name."},
	NotReady:          {http.StatusServiceUnavailable, "The process has no configuration yet.", "Wait as long as Retry-After says, then send the request again."},
	Internal:          {http.StatusInternalServerError, "The process met an error of its own.", "Report the request's id to the operator."},
}

// Kinds returns every kind with its remedy, for the operators' pages.
func Kinds() map[Kind]string {
	kinds := make(map[Kind]string, len(entries))
	for k, e := range entries {
		kinds[k] = e.remedy
	}
	return kinds
}

// Problem is a refusal or a failure of one request. It is an error.
type Problem struct {
	// Kind is one of the listed kinds.
	Kind Kind
	// Outcome is NotRun only if no target received any byte of the request.
	Outcome Outcome
	// Detail tells what is particular to this request. It never holds a key.
	Detail string
	// RetryAfter is how long the caller waits before it asks again; 0 gives no advice.
	RetryAfter time.Duration
	// Status replaces the status of the kind if it is not 0.
	Status int
	// AtLimit is whether the target's own limit on requests refused it. That says nothing of
	// other targets.
	AtLimit bool
}

// New returns a problem whose request did not run.
func New(kind Kind, format string, args ...any) *Problem {
	return &Problem{Kind: kind, Outcome: NotRun, Detail: fmt.Sprintf(format, args...)}
}

// WithOutcome sets what is known about the request's effect and returns the problem.
func (p *Problem) WithOutcome(outcome Outcome) *Problem {
	p.Outcome = outcome
	return p
}

// WithRetryAfter sets when the caller may ask again and returns the problem.
func (p *Problem) WithRetryAfter(wait time.Duration) *Problem {
	p.RetryAfter = wait
	return p
}

// Error returns the kind, the detail and the remedy.
func (p *Problem) Error() string {
	e := entries[p.Kind]
	if p.Detail == "" {
		return fmt.Sprintf("%s: %s %s", p.Kind, e.title, e.remedy)
	}
	return fmt.Sprintf("%s: %s %s", p.Kind, p.Detail, e.remedy)
}

// HTTPStatus returns the status code of the answer.
func (p *Problem) HTTPStatus() int {
	if p.Status != 0 {
		return p.Status
	}
	if e, ok := entries[p.Kind]; ok {
		return e.status
	}
	return http.StatusInternalServerError
}

// From returns the problem in the chain of err, or a problem of the kind
// Internal with an unknown outcome.
func From(err error) *Problem {
	var p *Problem
	if errors.As(err, &p) {
		return p
	}
	return New(Internal, "%v", err).WithOutcome(OutcomeUnknown)
}

type problemDocument struct {
	Type       string  `json:"type"`
	Title      string  `json:"title"`
	Status     int     `json:"status"`
	Detail     string  `json:"detail,omitempty"`
	Instance   string  `json:"instance,omitempty"`
	Kind       Kind    `json:"kind"`
	Outcome    Outcome `json:"outcome"`
	Remedy     string  `json:"remedy"`
	RetryAfter int64   `json:"retry-after-seconds,omitempty"`
}

// retryAfterSeconds rounds up, since the header holds whole seconds.
func (p *Problem) retryAfterSeconds() int64 {
	return int64(math.Ceil(p.RetryAfter.Seconds()))
}

// Document returns the problem as JSON; instance is the request's id.
func (p *Problem) Document(instance string) []byte {
	e := entries[p.Kind]
	d := problemDocument{
		Type:       "urn:wasabisill:problem:" + string(p.Kind),
		Title:      e.title,
		Status:     p.HTTPStatus(),
		Detail:     p.Detail,
		Instance:   instance,
		Kind:       p.Kind,
		Outcome:    p.Outcome,
		Remedy:     e.remedy,
		RetryAfter: p.retryAfterSeconds(),
	}
	// The document holds only strings and numbers, which always encode.
	b, _ := json.Marshal(d)
	return b
}

// Write answers an HTTP request with the problem; instance is the request's id.
func (p *Problem) Write(w http.ResponseWriter, instance string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatInt(p.retryAfterSeconds(), 10))
	}
	w.WriteHeader(p.HTTPStatus())
	// The caller may be gone; there is nobody left to tell.
	_, _ = w.Write(append(p.Document(instance), '\n'))
}
