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
	// survived is whether the target's response shows that it has survived the request.
	survived bool
	// endedAt is when the attempt broke off or was given up; zero before.
	endedAt time.Time
}

// sameRun returns whether two attempts are at the same run of a target.
func (r *run) sameRun(other *run) bool {
	return r.target == other.target && r.targetStart.Equal(other.targetStart)
}

// crashMonitor records crashes of targets under requests. It holds the running
// attempts of this process, so that a crash is attributed to the likeliest of them. It
// is safe for concurrent use.
type crashMonitor struct {
	suspects *sillcrash.SharedTracker
	// onCrash is called for each content that a crashed target ran.
	onCrash func(content sillcrash.Fingerprint, target sillid.TargetID)
	// onCleared is called when an answer clears the evidence on a content.
	onCleared func(content sillcrash.Fingerprint, target sillid.TargetID, before sillcrash.State)

	mu sync.Mutex
	// running holds the attempts that run, and those that broke within bystanderWindow.
	running map[sillid.TargetID][]*run
	// silent holds the attempts that were given up without a response, oldest first.
	silent []*run
}

func newCrashMonitor(suspects *sillcrash.SharedTracker) *crashMonitor {
	return &crashMonitor{
		suspects: suspects, running: make(map[sillid.TargetID][]*run),
		onCrash:   func(sillcrash.Fingerprint, sillid.TargetID) {},
		onCleared: func(sillcrash.Fingerprint, sillid.TargetID, sillcrash.State) {},
	}
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

// end records the outcome of an attempt. A target that broke off may have crashed. A complete
// response clears the request if it shows that the target survived. A target without a
// connection has crashed if it stopped responding before.
func (m *crashMonitor) end(r *run, o silltarget.Outcome) {
	if o == silltarget.Broken {
		m.recordCrash(time.Now(), m.breakOff(r))
		return
	}
	r.survived = r.survived && o == silltarget.Answered
	if r.survived {
		m.recordSuccess(r)
	}
	if silent := m.finish(r, o); len(silent) > 0 {
		m.recordCrash(silent[len(silent)-1].endedAt, silent)
	}
}

// finish removes an attempt, and keeps it as a silent one if it has no response. It
// returns the silent attempts at a target that turned out to be unreachable.
func (m *crashMonitor) finish(r *run, o silltarget.Outcome) []*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.removeRunning(r.target, func(other *run) bool { return other == r })
	switch {
	case o == silltarget.Unreachable:
		return m.takeSilent(r)
	case r.survived:
		m.silent = slices.DeleteFunc(m.silent, func(other *run) bool { return other.request.Fingerprint == r.request.Fingerprint })
	case o == silltarget.TimedOut, o == silltarget.Abandoned:
		r.endedAt = time.Now()
		m.silent = append(m.silent, r)
		m.silent = m.silent[max(0, len(m.silent)-maxSilentRuns):]
	}
	return nil
}

// takeSilent removes and returns the silent attempts at the same run of a target. The
// caller holds m.mu.
func (m *crashMonitor) takeSilent(r *run) []*run {
	var taken []*run
	m.silent = slices.DeleteFunc(m.silent, func(other *run) bool {
		same := other.sameRun(r)
		if same {
			taken = append(taken, other)
		}
		return same
	})
	return taken
}

// recordCrash records the crash of a target under some attempts, of which there is at
// least one.
func (m *crashMonitor) recordCrash(at time.Time, under []*run) {
	m.suspects.RecordCrash(at, under[0].target, strconv.FormatInt(under[0].targetStart.UnixMilli(), 10), requestsOf(under))
	for _, r := range under {
		m.onCrash(r.request.Fingerprint, r.target)
	}
}

// recordSuccess clears the evidence on the content of an attempt.
func (m *crashMonitor) recordSuccess(r *run) {
	if before := m.suspects.RecordSuccess(r.request.Fingerprint); before.Crashes > 0 {
		m.onCleared(r.request.Fingerprint, r.target, before)
	}
}

// breakOff marks an attempt as broken and returns the attempts that this run of the
// target had at that time, among them those that broke just before or got no response.
func (m *crashMonitor) breakOff(r *run) []*run {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	r.endedAt = now
	for target := range m.running {
		m.removeRunning(target, func(other *run) bool {
			return !other.endedAt.IsZero() && now.Sub(other.endedAt) > bystanderWindow
		})
	}
	under := m.takeSilent(r)
	for _, other := range m.running[r.target] {
		if other.sameRun(r) {
			under = append(under, other)
		}
	}
	return under
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
// registry or started again. entryOf returns the registry entry of a target, and false
// if it has none.
func (m *crashMonitor) resolveSilent(now time.Time, entryOf func(sillid.TargetID) (silltarget.Entry, bool)) {
	for _, r := range m.takeEnded(now, entryOf) {
		m.recordCrash(r.endedAt, []*run{r})
	}
}

// takeEnded removes and returns the silent attempts at runs of targets that have ended.
// It also removes those older than silentWindow, and those at targets that drain: these
// end as planned.
func (m *crashMonitor) takeEnded(now time.Time, entryOf func(sillid.TargetID) (silltarget.Entry, bool)) []*run {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ended []*run
	m.silent = slices.DeleteFunc(m.silent, func(r *run) bool {
		if now.Sub(r.endedAt) > silentWindow {
			return true
		}
		e, registered := entryOf(r.target)
		if registered && e.StartedAt.Equal(r.targetStart) {
			return e.State == silltarget.Draining
		}
		ended = append(ended, r)
		return true
	})
	return ended
}
