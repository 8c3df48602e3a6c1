package sillforwarder

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// bystanderWindow is how long after the first broken attempt the attempts at the
	// same target may break that the same crash ended.
	bystanderWindow = 200 * time.Millisecond
	// silentWindow is how long after an attempt without a response the target's entry
	// may change for the target to count as crashed in that attempt. An entry lapses
	// some seconds after its target has crashed.
	silentWindow = 10 * time.Second
	// maxSilentRuns bounds the attempts without a response that are kept.
	maxSilentRuns = 1024
)

// run is an attempt at a run of a target.
type run struct {
	request sillcrash.RunningRequest
	target  sillid.TargetID
	// targetStart is when the run of the target started.
	targetStart time.Time
	// endedAt is when the attempt broke off or was given up; zero before.
	endedAt time.Time
}

// crashMonitor records crashes of targets under requests. It holds the running
// attempts of this process, so that a crash is attributed to the likeliest of them. It
// is safe for concurrent use.
type crashMonitor struct {
	suspects *sillcrash.SharedTracker
	// onRefused is called when a crash leads to the refusal of a content.
	onRefused func(content sillcrash.Fingerprint, target sillid.TargetID)

	mu sync.Mutex
	// running holds the attempts that run, and those that broke within bystanderWindow.
	running map[sillid.TargetID][]*run
	// silent holds the attempts that were given up without a response, oldest first.
	silent []*run
}

func newCrashMonitor(suspects *sillcrash.SharedTracker, onRefused func(sillcrash.Fingerprint, sillid.TargetID)) *crashMonitor {
	return &crashMonitor{suspects: suspects, onRefused: onRefused, running: make(map[sillid.TargetID][]*run)}
}

// start records an attempt that end ends.
func (m *crashMonitor) start(g silltarget.Grant, content sillcrash.Fingerprint) *run {
	r := &run{
		request: sillcrash.RunningRequest{Fingerprint: content, Started: time.Now()},
		target:  g.ID, targetStart: g.StartedAt,
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[r.target] = append(m.running[r.target], r)
	return r
}

// end records the outcome of an attempt. A target that broke off may have crashed; one
// that answered has survived the request.
func (m *crashMonitor) end(r *run, o silltarget.Outcome) {
	switch o {
	case silltarget.Broken:
		m.suspects.RecordCrash(r.target, runName(r.targetStart), m.breakOff(r))
		m.reportRefused(r)
		return
	case silltarget.Answered:
		m.suspects.RecordSuccess(r.request.Fingerprint)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeRunning(r.target, func(other *run) bool { return other == r })
	switch o {
	case silltarget.Answered:
		m.silent = slices.DeleteFunc(m.silent, func(other *run) bool { return other.request.Fingerprint == r.request.Fingerprint })
	case silltarget.TimedOut, silltarget.Abandoned:
		r.endedAt = time.Now()
		m.silent = append(m.silent, r)
		m.silent = m.silent[max(0, len(m.silent)-maxSilentRuns):]
	}
}

// reportRefused calls onRefused if the content of an attempt is refused from now on.
func (m *crashMonitor) reportRefused(r *run) {
	if m.suspects.Check(r.request.Fingerprint) != nil {
		m.onRefused(r.request.Fingerprint, r.target)
	}
}

// runName names the run of a target that started at the given time.
func runName(start time.Time) string { return strconv.FormatInt(start.UnixMilli(), 10) }

// breakOff marks an attempt as broken and returns the requests that this run of the
// target ran at that time, among them those whose attempts broke just before.
func (m *crashMonitor) breakOff(r *run) []sillcrash.RunningRequest {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	r.endedAt = now
	for target := range m.running {
		m.removeRunning(target, func(other *run) bool {
			return !other.endedAt.IsZero() && now.Sub(other.endedAt) > bystanderWindow
		})
	}
	var sameRun []*run
	for _, other := range m.running[r.target] {
		if other.targetStart.Equal(r.targetStart) {
			sameRun = append(sameRun, other)
		}
	}
	return requestsOf(sameRun)
}

func requestsOf(runs []*run) []sillcrash.RunningRequest {
	requests := make([]sillcrash.RunningRequest, 0, len(runs))
	for _, r := range runs {
		requests = append(requests, r.request)
	}
	return requests
}

// removeRunning removes attempts at a target. The caller holds m.mu.
func (m *crashMonitor) removeRunning(target sillid.TargetID, ended func(*run) bool) {
	m.running[target] = slices.DeleteFunc(m.running[target], ended)
	if len(m.running[target]) == 0 {
		delete(m.running, target)
	}
}

// resolveSilent records crashes of targets that stopped responding and then left the
// registry or started again. startOf returns when the registered run of a target
// started, and false if the target is not registered.
func (m *crashMonitor) resolveSilent(now time.Time, startOf func(sillid.TargetID) (time.Time, bool)) {
	for _, crashed := range m.takeCrashed(now, startOf) {
		last := crashed[len(crashed)-1]
		m.suspects.RecordPastCrash(last.endedAt, last.target, runName(last.targetStart), requestsOf(crashed))
		for _, r := range crashed {
			m.reportRefused(r)
		}
	}
}

// takeCrashed removes and returns the silent attempts at runs of targets that have
// ended, grouped by run. It also removes those older than silentWindow.
func (m *crashMonitor) takeCrashed(now time.Time, startOf func(sillid.TargetID) (time.Time, bool)) map[string][]*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	crashed := make(map[string][]*run)
	m.silent = slices.DeleteFunc(m.silent, func(r *run) bool {
		if now.Sub(r.endedAt) > silentWindow {
			return true
		}
		start, registered := startOf(r.target)
		if registered && start.Equal(r.targetStart) {
			return false
		}
		key := string(r.target) + " " + runName(r.targetStart)
		crashed[key] = append(crashed[key], r)
		return true
	})
	return crashed
}
