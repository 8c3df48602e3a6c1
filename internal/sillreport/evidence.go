// Package sillreport turns the evidence of a load run into a report: audit,
// measures, plots, and the comparison of two reports.
package sillreport

import (
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// CallKind tells what a caller asked for.
type CallKind string

// The kinds of calls.
const (
	// Booking is a POST that must run at most once.
	Booking CallKind = "booking"
	// Availability is a GET of a service.
	Availability CallKind = "availability"
	// Stream is a generation streamed to the caller.
	Stream CallKind = "stream"
	// Completion is a generation answered whole.
	Completion CallKind = "completion"
)

// IsModel tells the kinds that engines serve.
func (k CallKind) IsModel() bool {
	return k == Stream || k == Completion
}

// CallID names one call of the load's plan; its repeats carry the same. It is
// part of the call's body, query or prompt.
type CallID string

// Span tells the weight version of the tokens From to To-1.
type Span struct {
	From    int                  `json:"from"`
	To      int                  `json:"to"`
	Version sillid.WeightVersion `json:"version"`
}

// Call is one attempt of a caller, as the caller saw it. Times are Unix milliseconds.
type Call struct {
	CallID       CallID                `json:"call-id"`
	Kind         CallKind              `json:"kind"`
	Organisation sillid.OrganisationID `json:"organisation"`
	// Attempt counts the caller's sends from 1.
	Attempt int `json:"attempt"`
	// IdempotencyKey is empty if the caller sent none.
	IdempotencyKey string `json:"idempotency-key,omitempty"`
	// RequestID is the id in the answer; empty if there was no answer.
	RequestID sillid.RequestID `json:"request-id,omitempty"`
	// Scheduled is the time in the plan, Sent that of the send, First that of
	// the first byte of the answer and Done that of the end.
	Scheduled int64 `json:"scheduled"`
	Sent      int64 `json:"sent"`
	First     int64 `json:"first,omitempty"`
	Done      int64 `json:"done"`
	// Status is the HTTP status; 0 if there was no answer.
	Status int `json:"status"`
	// Whole tells that the answer came to its proper end.
	Whole bool `json:"whole"`
	// Problem and Outcome are those of a refusal.
	Problem sillproblem.Kind    `json:"problem,omitempty"`
	Outcome sillproblem.Outcome `json:"outcome,omitempty"`
	// AnswerHash is the hash of a plain answer's body.
	AnswerHash string `json:"answer-hash,omitempty"`
	// AnswerCallID is the call id inside the answer of a service.
	AnswerCallID CallID `json:"answer-call-id,omitempty"`
	// Tokens and Spans are what a generation answered.
	Tokens []int  `json:"tokens,omitempty"`
	Spans  []Span `json:"weight-spans,omitempty"`
	// WantTokens is the length that the whole generation has.
	WantTokens int `json:"want-tokens,omitempty"`
	// Error is the caller's error in words.
	Error string `json:"error,omitempty"`
}

// Served tells a call that got its whole answer.
func (c *Call) Served() bool {
	return c.Whole && c.Status >= 200 && c.Status < 300
}

// TargetRun is one run of a request in the record of a target.
type TargetRun struct {
	Target    sillid.TargetID  `json:"target"`
	RequestID sillid.RequestID `json:"request-id"`
	// CallID is the call whose mark the run carried; empty for samples.
	CallID CallID `json:"call-id,omitempty"`
	// Organisation is that of the call or the trainer.
	Organisation sillid.OrganisationID `json:"organisation"`
	Start        int64                 `json:"start"`
	End          int64                 `json:"end"`
	Complete     bool                  `json:"complete"`
	// AnswerLost tells that a fault kept the answer between target and agent,
	// so that nobody but the target knows of the end of the run.
	AnswerLost bool `json:"answer-lost,omitempty"`
	// Effect tells a booking that was entered.
	Effect     bool   `json:"effect,omitempty"`
	AnswerHash string `json:"answer-hash,omitempty"`
	// Prompt is kept for samples.
	Prompt       string `json:"prompt,omitempty"`
	PromptTokens int    `json:"prompt-tokens,omitempty"`
	// Prefix counts the tokens that the run was given, before Tokens.
	Prefix int    `json:"prefix,omitempty"`
	Tokens []int  `json:"tokens,omitempty"`
	Spans  []Span `json:"weight-spans,omitempty"`
	// KeySeen tells that a caller's key reached the target.
	KeySeen bool `json:"key-seen,omitempty"`
}

// Sample is one sample as a trainer received it.
type Sample struct {
	Trainer  sillid.TrainerID `json:"trainer"`
	SampleID sillid.SampleID  `json:"sample-id"`
	// Delivery names the delivery; a repeated one carries the same.
	Delivery string `json:"delivery-id"`
	Received int64  `json:"received"`
	// Current is the trainer's weight version when it asked for the sample.
	Current sillid.WeightVersion `json:"current"`
	// Bound is the trainer's staleness bound in versions.
	Bound      int    `json:"bound"`
	Prompt     string `json:"prompt"`
	Tokens     []int  `json:"tokens"`
	Spans      []Span `json:"weight-spans"`
	Acked      bool   `json:"acked"`
	ContentKey string `json:"content-hash"`
}

// Staleness returns how many versions the sample's oldest token lags.
func (s *Sample) Staleness() int {
	if len(s.Spans) == 0 {
		return 0
	}
	oldest := s.Spans[0].Version
	for _, sp := range s.Spans {
		oldest = min(oldest, sp.Version)
	}
	if oldest >= s.Current {
		return 0
	}
	return int(s.Current - oldest)
}

// Batch is one batch of a trainer.
type Batch struct {
	Trainer sillid.TrainerID `json:"trainer"`
	Batch   sillid.BatchID   `json:"batch-id"`
	// Asked counts the samples asked for, Delivered the distinct ones received.
	Asked     int   `json:"asked"`
	Delivered int   `json:"delivered"`
	Start     int64 `json:"start"`
	Done      int64 `json:"done"`
	// Deadline is the end of the time that the trainer gave.
	Deadline int64 `json:"deadline"`
	// Ended tells that the service said that the batch is done.
	Ended bool `json:"ended"`
	// IdleMilliseconds is the time in which the trainer had nothing to train on.
	IdleMilliseconds int64 `json:"idle-milliseconds"`
}

// Usage is one usage report as the platform received it.
type Usage struct {
	ReportID            string                `json:"report-id"`
	Organisation        sillid.OrganisationID `json:"organisation"`
	WindowStart         int64                 `json:"window-start"`
	WindowSeconds       int64                 `json:"window-seconds"`
	Requests            int64                 `json:"requests"`
	PromptTokens        int64                 `json:"prompt-tokens"`
	CompletionTokens    int64                 `json:"completion-tokens"`
	ServiceMilliseconds int64                 `json:"service-milliseconds"`
	ReceivedAt          int64                 `json:"received-at"`
}

// Evidence is all that a run gathered.
type Evidence struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	// Start and End bound the load.
	Start int64 `json:"start"`
	End   int64 `json:"end"`
	// Targets counts the targets at the start.
	Targets int         `json:"targets"`
	Calls   []Call      `json:"calls"`
	Runs    []TargetRun `json:"runs"`
	Samples []Sample    `json:"samples"`
	Batches []Batch     `json:"batches"`
	Usage   []Usage     `json:"usage"`
	// Processes tell what the deployment's processes used during the load.
	Processes []ProcessUse `json:"processes,omitempty"`
	// Table tells the calls of the platform's table during the load.
	Table TableUse `json:"table"`
	// UsageExpected tells that the deployment reports usage at all.
	UsageExpected bool `json:"usage-expected"`
	// Unread names the records that could not be read; the audit fails.
	Unread []string `json:"unread,omitempty"`
	// Faults are the fault steps carried out.
	Faults []FaultNote `json:"faults,omitempty"`
}

// FaultNote tells a fault step that was carried out.
type FaultNote struct {
	At    int64  `json:"at"`
	Step  string `json:"step"`
	Error string `json:"error,omitempty"`
}

// ProcessUse is what one process used during the load.
type ProcessUse struct {
	// Name is the name of the process; Role is the name without its number.
	Name string `json:"name"`
	Role string `json:"role"`
	// CPUSeconds is the processor time.
	CPUSeconds float64 `json:"cpu-seconds"`
	// PeakBytes is the largest resident size since the start of the process.
	PeakBytes int64 `json:"peak-bytes"`
}

// TableUse counts the calls of the platform's table, as it does itself.
type TableUse struct {
	Reads        int `json:"reads"`
	Writes       int `json:"writes"`
	BytesRead    int `json:"bytes-read"`
	BytesWritten int `json:"bytes-written"`
}
