package sillsoak

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxTold bounds the faults of a kind that are told in full.
const maxTold = 3

// faultKind is a way in which a process breaks a promise.
type faultKind string

const (
	lostAnswer    faultKind = "a target got the request and the caller no answer"
	lostHandled   faultKind = "the gateway handled the request and the caller got no answer"
	lostRead      faultKind = "the gateway read the request and did not answer"
	lateAnswer    faultKind = "no answer within the timeout"
	cutAnswer     faultKind = "the answer ended early"
	wrongAnswer   faultKind = "wrong answer"
	refusedAndRan faultKind = "refused as not run, and ran"
	ranTwice      faultKind = "ran more than once"
	strayBytes    faultKind = "bytes that belong to no request"
	readyInStop   faultKind = "stopped without telling that it is not ready"
	badStop       faultKind = "bad stop"
	endedByItself faultKind = "process ended by itself"
	notStarted    faultKind = "process did not start"
)

// Verdict is what a complete answer says.
type Verdict struct {
	// Served is whether it is the answer of a target to this request, NotRun whether it
	// promises that the request did not run, and TimedOut whether it tells that the
	// timeout has passed. If it is none of them, Reason tells what is wrong.
	Served, NotRun, TimedOut bool
	Reason                   string
}

// AuditConfig holds what an audit needs.
type AuditConfig struct {
	// Timeout is the time after which a request may end without the answer of a target.
	Timeout time.Duration
	// Judge returns the verdict on an answer.
	Judge func(id RequestID, a *Answer) Verdict
	// MayRepeat returns whether requests of a kind may run more than once.
	MayRepeat func(k Kind) bool
	// Log returns the lines of the gateway's log that name the request.
	Log func(e *Exchange) string
}

// Audit compares what callers got with what targets ran.
type Audit struct {
	cfg AuditConfig

	mu     sync.Mutex
	counts map[string]int
	faults map[faultKind][]string
	// pending are requests without an answer and refused are those that were answered as
	// not run; both are judged once all processes have ended.
	pending, refused []*Exchange
	// ended holds all requests that have ended.
	ended map[RequestID]*Exchange
}

// NewAudit returns an audit without findings.
func NewAudit(cfg AuditConfig) *Audit {
	return &Audit{cfg: cfg, counts: make(map[string]int), faults: make(map[faultKind][]string), ended: make(map[RequestID]*Exchange)}
}

// Count adds to a count of the report.
func (a *Audit) Count(what string, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.counts[what] += n
}

func (a *Audit) fault(kind faultKind, format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faults[kind] = append(a.faults[kind], fmt.Sprintf(format, args...))
}

// record records a request that has ended; got is its answer, if there is a complete one.
func (a *Audit) record(e *Exchange, got *Answer) {
	a.Count("requests", 1)
	a.recordEnded(e)
	switch {
	case e.err == nil:
		a.answered(e, got)
	case e.began && e.ended.Sub(e.sent) >= a.cfg.Timeout:
		a.Count("answers that were cut at the timeout", 1)
	case e.began:
		a.fault(cutAnswer, "%v", e)
	default:
		a.mu.Lock()
		defer a.mu.Unlock()
		a.pending = append(a.pending, e)
	}
}

func (a *Audit) recordEnded(e *Exchange) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended[e.ID] = e
}

// Ended returns a request that has ended, or nil.
func (a *Audit) Ended(id RequestID) *Exchange {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ended[id]
}

func (a *Audit) answered(e *Exchange, got *Answer) {
	switch v := a.cfg.Judge(e.ID, got); {
	case v.Served:
		a.Count("answers", 1)
	case v.NotRun:
		a.Count("refusals", 1)
		a.mu.Lock()
		defer a.mu.Unlock()
		a.refused = append(a.refused, e)
	case v.TimedOut && e.ended.Sub(e.sent) >= a.cfg.Timeout:
		a.Count("timeouts", 1)
	default:
		a.fault(wrongAnswer, "status %d, %s: %v", got.Status, v.Reason, e)
	}
}

// Finish judges what can be told only once all processes have ended. runs holds how often
// each request ran at targets.
func (a *Audit) Finish(runs map[RequestID]int) {
	a.Count("requests that ran", len(runs))
	for _, e := range a.pending {
		a.judgePending(e, runs[e.ID])
	}
	for _, e := range a.refused {
		if n := runs[e.ID]; n > 0 {
			a.fault(refusedAndRan, "%d times: %v", n, e)
		}
	}
	for id, n := range runs {
		if n > 1 && !a.cfg.MayRepeat(id.Kind()) {
			a.fault(ranTwice, "request %s, %d times", id, n)
		}
	}
}

// judgePending tells whether a request may lack an answer.
func (a *Audit) judgePending(e *Exchange, runs int) {
	log := a.cfg.Log(e)
	switch {
	case errors.Is(e.err, os.ErrDeadlineExceeded):
		a.fault(lateAnswer, "%v%s", e, log)
	case runs > 0:
		a.fault(lostAnswer, "%v%s", e, log)
	case log != "":
		a.fault(lostHandled, "%v%s", e, log)
	case e.unread && e.number > 1:
		a.Count("requests that crossed the close of an idle connection", 1)
	case e.unread:
		a.Count("first requests on connections that were closed unread", 1)
	default:
		a.fault(lostRead, "%v", e)
	}
}

// Report returns the counts and the faults as text.
func (a *Audit) Report() (counts, faults []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, what := range slices.Sorted(maps.Keys(a.counts)) {
		counts = append(counts, fmt.Sprintf("%s: %d", what, a.counts[what]))
	}
	for _, kind := range slices.Sorted(maps.Keys(a.faults)) {
		list := a.faults[kind]
		faults = append(faults, fmt.Sprintf("%s: %d times, such as\n%s", kind, len(list), strings.Join(list[:min(maxTold, len(list))], "\n")))
	}
	if a.counts["answers"] == 0 {
		faults = append(faults, "no request was answered")
	}
	return counts, faults
}
