package sillforwarder

import (
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// errorRetention is how long it is kept which targets answered a content with an error.
	// Callers and owners of jobs repeat a request sooner.
	errorRetention = 10 * time.Second
	// maxErrorContents bounds the contents for which this is kept.
	maxErrorContents = 1024
)

// IsTargetError returns whether an HTTP status says that the target failed. A response with
// status 500 may still be due to the request: it fails at other targets, too. One with 504
// says that the target did not finish in time.
func IsTargetError(status int) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

// errorMemory holds the targets that answered a content with an error, so that a repetition
// of the request is sent elsewhere. It is safe for concurrent use.
type errorMemory struct {
	mu       sync.Mutex
	contents map[sillcrash.Fingerprint]*contentErrors
}

type contentErrors struct {
	targets map[sillid.TargetID]bool
	lastAt  time.Time
}

func newErrorMemory() *errorMemory {
	return &errorMemory{contents: make(map[sillcrash.Fingerprint]*contentErrors)}
}

// targets returns the targets that answered a content with an error; the set belongs to the
// caller and is not nil.
func (m *errorMemory) targets(now time.Time, content sillcrash.Fingerprint) map[sillid.TargetID]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.contents[content]
	if known == nil || now.Sub(known.lastAt) >= errorRetention {
		return make(map[sillid.TargetID]bool)
	}
	return maps.Clone(known.targets)
}

// record records an error of a target. It returns Errored, or ErroredAgain if another target
// answered the content with an error, too.
func (m *errorMemory) record(now time.Time, content sillcrash.Fingerprint, target sillid.TargetID) silltarget.Outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.contents[content]
	if known == nil || now.Sub(known.lastAt) >= errorRetention {
		m.trim(now)
		known = &contentErrors{targets: make(map[sillid.TargetID]bool)}
		m.contents[content] = known
	}
	outcome := silltarget.Errored
	if others := len(known.targets); others > 1 || (others == 1 && !known.targets[target]) {
		outcome = silltarget.ErroredAgain
	}
	known.targets[target], known.lastAt = true, now
	return outcome
}

// trim makes room for one more content. The caller holds m.mu.
func (m *errorMemory) trim(now time.Time) {
	if len(m.contents) < maxErrorContents {
		return
	}
	maps.DeleteFunc(m.contents, func(_ sillcrash.Fingerprint, e *contentErrors) bool { return now.Sub(e.lastAt) >= errorRetention })
	for content := range m.contents {
		if len(m.contents) < maxErrorContents {
			return
		}
		delete(m.contents, content)
	}
}

// erroredTargets returns the targets at which a request is not tried, since they answered its
// content with an error: none if no other target is available, or if the pool ejects no targets
// with errors.
func (f *Forwarder) erroredTargets(req *Request, content sillcrash.Fingerprint) map[sillid.TargetID]bool {
	if !f.cfg.Directory.Switch(req.Pool).On(silltarget.OutlierEjection) {
		return make(map[sillid.TargetID]bool)
	}
	now := time.Now()
	targets := f.errors.targets(now, content)
	if len(targets) == 0 {
		return targets
	}
	if !f.cfg.Directory.AnyAvailable(now, silltarget.Query{Pool: req.Pool, Homes: req.Homes, Exclude: targets, Class: req.class()}) {
		clear(targets)
	}
	return targets
}

// completeOutcome returns the outcome of an attempt with a complete response.
func (f *Forwarder) completeOutcome(a activeAttempt, status int) silltarget.Outcome {
	if !IsTargetError(status) {
		return silltarget.Answered
	}
	outcome := f.errors.record(time.Now(), a.content, a.ID)
	f.cfg.Metrics.countFailedAttempt(outcome)
	return outcome
}
