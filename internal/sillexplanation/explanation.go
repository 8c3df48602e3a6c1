// Package sillexplanation is the API by which operators ask a gateway where a request would go.
package sillexplanation

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Path is the HTTP path on which a gateway answers questions, with the method POST.
const Path = "/explain/route"

// Question describes a request of a caller or a job.
type Question struct {
	// Method may be empty.
	Method string `json:"method,omitempty"`
	// Host may have a port and Path a query; both are ignored.
	Host string `json:"host"`
	Path string `json:"path"`
	// KeySHA256 is the hash of the key of an organisation in hexadecimal digits; empty
	// without a key.
	KeySHA256 string `json:"key-sha256,omitempty"`
	// Model and MinVersion are those of a job.
	Model      sillid.ModelID       `json:"model,omitempty"`
	MinVersion sillid.WeightVersion `json:"min-version,omitempty"`
	// Tokens is the expected length of a generation; 0 if unknown.
	Tokens int `json:"tokens,omitempty"`
	// Content is the fingerprint of the content, to look at crash evidence; empty for none.
	// Gateways of earlier builds refuse a question with one.
	Content string `json:"content,omitempty"`
	// DeadlineMS is the time that the caller gives the request; 0 for that of the route.
	DeadlineMS int64 `json:"deadline-ms,omitempty"`
}

// maxDeadlineMS is above the time limits of all routes and keeps a time from overflowing.
const maxDeadlineMS = 24 * 60 * 60 * 1000

// Deadline returns the time that the caller gives the request; 0 for that of the route.
func (q *Question) Deadline() time.Duration {
	return time.Duration(min(max(q.DeadlineMS, 0), maxDeadlineMS)) * time.Millisecond
}

// Failure is the answer to a question that has no other.
type Failure struct {
	Error string `json:"error"`
}

// Action is what a gateway would do with a request.
type Action string

// The actions.
const (
	Send   Action = "send"
	Wait   Action = "wait"
	Refuse Action = "refuse"
)

// Answer tells where a request would go now.
type Answer struct {
	Gateway       sillid.InstanceID     `json:"gateway"`
	Zone          sillid.ZoneID         `json:"zone"`
	ConfigVersion sillid.BundleVersion  `json:"config-version"`
	Route         sillid.RouteID        `json:"route"`
	Kind          string                `json:"kind"`
	Organisation  sillid.OrganisationID `json:"organisation,omitempty"`
	// Stopping is whether the gateway stops, so that it refuses requests that it could not
	// answer before.
	Stopping bool `json:"stopping"`
	// Owner is the run of the gateway that sends the items of a job, and OwnedHere whether
	// it is the one that answers. Only the owner knows of its other items.
	Owner     string `json:"owner,omitempty"`
	OwnedHere bool   `json:"owned-here,omitempty"`
	Ages      Ages   `json:"ages"`
	// CrashEvidence is that on the content of the question; nil if the question has none, or the
	// gateway does not tell.
	CrashEvidence *CrashEvidence `json:"crash-evidence,omitempty"`
	// Pools are the pools of the route; a request gets one of them by their shares.
	Pools []Pool `json:"pools"`
}

// Ages are the times in milliseconds since the views were last known to be up to date, by which
// the gateway decides; nil for a view that was never read.
type Ages struct {
	ConfigMS   *int64 `json:"config-ms"`
	TargetsMS  *int64 `json:"targets-ms"`
	GatewaysMS *int64 `json:"gateways-ms"`
	JobsMS     *int64 `json:"jobs-ms"`
}

// Pool tells what would become of the request in one pool.
type Pool struct {
	Pool sillid.PoolID `json:"pool"`
	// Share is the share of the route's requests that the pool gets.
	Share  float64         `json:"share"`
	Action Action          `json:"action"`
	Target sillid.TargetID `json:"target,omitempty"`
	// MaxWaitMS is how long a caller's request would wait at most.
	MaxWaitMS int64 `json:"max-wait-ms,omitempty"`
	// Reason and RetryAfterMS are those of a refusal.
	Reason       string `json:"reason,omitempty"`
	RetryAfterMS int64  `json:"retry-after-ms,omitempty"`
	// Behaviours are what the gateway does in this pool since a signal calls for it; nil if it
	// does not tell.
	Behaviours []Behaviour `json:"behaviours,omitzero"`
	// Candidates are the targets of the pool in the order of preference.
	Candidates []Candidate `json:"candidates"`
}

// Behaviour is something that a gateway does only in pools for which a signal calls for it.
type Behaviour struct {
	Behaviour string `json:"behaviour"`
	Signal    string `json:"signal"`
}

// Permits tell what a gateway knows of the permits that requests to a target need.
type Permits struct {
	// GrantedBy is who grants them: this-gateway, other-gateway, or time-slots if that gateway is
	// not known or does not answer. Granter is the gateway; empty if it is not known.
	GrantedBy string            `json:"granted-by"`
	Granter   sillid.InstanceID `json:"granter,omitempty"`
	// Rates are those of the limit that the target names and of the share while it may be cold. A
	// request needs a permit of each.
	Rates []PermitRate `json:"rates"`
	// NextMS is the time until the next permit is expected; nil if only the granter knows.
	NextMS *int64 `json:"next-ms"`
}

// PermitRate is the rate of the permits for one reason: limit or cold.
type PermitRate struct {
	Reason    string  `json:"reason"`
	PerSecond float64 `json:"per-second"`
	Burst     float64 `json:"burst"`
}

// CrashEvidence is what a gateway knows of targets that crashed under requests with a content.
type CrashEvidence struct {
	// Content is the fingerprint by which logs name the content.
	Content string `json:"content"`
	// Refused is whether requests with the content are refused, and RetryAfterMS for how long.
	Refused      bool  `json:"refused"`
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Score is the evidence; Crashes counts the crashes that are kept.
	Score   float64 `json:"score"`
	Crashes int     `json:"crashes"`
	// Targets are those that crashed.
	Targets []sillid.TargetID `json:"targets"`
	// LastCrashAgeMS is the time since the last crash; nil without one.
	LastCrashAgeMS *int64 `json:"last-crash-age-ms"`
}

// Candidate tells what the gateway knows of a target.
type Candidate struct {
	Target sillid.TargetID `json:"target"`
	Zone   sillid.ZoneID   `json:"zone"`
	// Excluded is why the target would not get the request; empty if it could.
	Excluded string  `json:"excluded,omitempty"`
	Cost     float64 `json:"cost"`
	// Running counts the requests of this gateway, Load those of all, as far as known.
	Running int `json:"running"`
	Load    int `json:"load"`
	Slots   int `json:"slots"`
	// LoadAgeMS is the age of the load that the target last reported; nil without one.
	LoadAgeMS *int64 `json:"load-age-ms"`
	// ExpectedMS is the expected time of the request; 0 if unknown.
	ExpectedMS int64                `json:"expected-ms"`
	Version    sillid.WeightVersion `json:"version,omitempty"`
	// PerSecond is the limit on requests that the target names; 0 without one. The question
	// does not ask for a permit.
	PerSecond float64 `json:"limit-per-second,omitempty"`
	// Permits tell what is known of the permits that requests to the target need; nil if they
	// need none or the gateway does not tell.
	Permits *Permits `json:"permits,omitempty"`
	// WaitMS is the time until the reason of the exclusion ends; 0 if it is unknown.
	WaitMS int64 `json:"wait-ms,omitempty"`
}
