package silltarget

import (
	"math"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Outlier detection leaves out a target that answers errors while the other targets of its
// pool answer well, where the settings say that targets may be unsound. Its state may say that it is sound, and its errors may come fast, so that
// it always has free slots. The decision responds to the share of errors among the recent
// responses of a target, compared with that of the others: requests that fail at every target
// raise all shares alike and eject none.

const (
	// errorWeight is the weight of one response in the share of errors: three errors in a
	// row are above minErrorShare.
	errorWeight = 0.25
	// minErrorShare is the least share of errors of an ejected target if the others have none.
	// Each error of the others raises it by othersWeight: among many requests that fail
	// everywhere, a few in a row at one target say little.
	minErrorShare = 0.5
	othersWeight  = 2
	// errorHalfLife is the time in which a share halves without responses.
	errorHalfLife = 2 * time.Second
	// readmittedShare is the share of a target whose probe succeeded: two more errors
	// eject it again.
	readmittedShare = 0.3
	// initialEjection is the time of the first ejection; each further one within
	// ejectionMemory doubles it, up to maxEjection.
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second
	ejectionMemory  = 10 * time.Second
	// maxEjectedShare bounds the targets of a pool that are ejected at once.
	maxEjectedShare = 0.5
	// probePrecedence is the time after an ejection in which only requests that can be
	// tried again elsewhere probe the target. A caller would get the error.
	probePrecedence = time.Second
)

// EjectionDecision is a decision on a target with errors, for logs and metrics.
type EjectionDecision string

const (
	// Ejected targets get no requests for a time.
	Ejected EjectionDecision = "ejected"
	// ProbeFailed targets are ejected again, since the request that probed them got an error.
	ProbeFailed EjectionDecision = "probe-failed"
	// Readmitted targets answered a probe.
	Readmitted EjectionDecision = "readmitted"
	// Spared targets would be ejected, but too many others of their pool are already.
	Spared EjectionDecision = "spared"
)

// Ejection is a decision with the inputs that decided it.
type Ejection struct {
	Decision EjectionDecision
	Run      Run
	Pool     sillid.PoolID
	// ErrorShare is the share of errors of the target, OthersShare the median of the others.
	ErrorShare, OthersShare float64
	// For is how long the target is left out.
	For time.Duration
}

// errorRecord holds what is known of the errors of a target.
type errorRecord struct {
	// share is the share of errors among the recent responses, as of updatedAt.
	share     float64
	updatedAt time.Time
	// until is the end of the current or last ejection; zero if there was none.
	until time.Time
	// times counts the ejections that follow each other within ejectionMemory.
	times int
	// probation is whether the target is ejected, or has been since its last probe.
	probation bool
	// probing is whether a probe is at the target.
	probing bool
	// spared is whether the last decision was Spared.
	spared bool
}

// currentShare returns the share of errors, decayed to now.
func (e *errorRecord) currentShare(now time.Time) float64 {
	if e.share == 0 {
		return 0
	}
	return e.share * math.Exp2(-now.Sub(e.updatedAt).Seconds()/errorHalfLife.Seconds())
}

func (e *errorRecord) add(now time.Time, failed bool) {
	observed := 0.0
	if failed {
		observed = 1
	}
	share := e.currentShare(now)
	e.share, e.updatedAt = share+errorWeight*(observed-share), now
}

// leavesOut returns whether requests of a class are kept from the target: it is ejected, or
// another request probes it.
func (e *errorRecord) leavesOut(now time.Time, c sillrate.Class) bool {
	if !e.probation {
		return false
	}
	until := e.until
	if c == sillrate.Interactive {
		until = until.Add(probePrecedence)
	}
	return e.probing || now.Before(until)
}

// eject leaves the target out for a time and returns it.
func (e *errorRecord) eject(now time.Time) time.Duration {
	if now.Sub(e.until) >= ejectionMemory {
		e.times = 0
	}
	d := min(initialEjection<<min(e.times, maxFailureDoublings), maxEjection)
	e.times++
	e.until, e.probation, e.probing, e.spared = now.Add(d), true, false, false
	return d
}

// startProbe returns whether a request that is granted now probes the target.
func (e *errorRecord) startProbe() bool {
	if !e.probation || e.probing {
		return false
	}
	e.probing = true
	return true
}

// recordErrors updates the error record of a grant's target with the outcome of its attempt,
// and ejects or readmits the target. The caller holds d.mu.
func (d *Directory) recordErrors(now time.Time, g Grant, o Outcome) {
	if !d.switchOf(g.target.entry.Pool).On(OutlierEjection) {
		return
	}
	e := &g.target.errors
	failed := o == Errored
	if o != Answered && !failed {
		if g.probe {
			e.probing = false
		}
		return
	}
	switch {
	case g.probe && failed:
		d.reportEjection(now, g.target, ProbeFailed, e.eject(now))
	case g.probe:
		e.probation, e.probing = false, false
		e.share, e.updatedAt = readmittedShare, now
		d.reportEjection(now, g.target, Readmitted, 0)
	case e.probation:
		// The request was sent before the ejection.
	default:
		e.add(now, failed)
		if failed {
			d.ejectOutlier(now, g.target)
		}
	}
}

// ejectOutlier ejects a target whose share of errors stands out from its pool, unless too
// many are ejected.
func (d *Directory) ejectOutlier(now time.Time, t *target) {
	share := t.errors.currentShare(now)
	if share < minErrorShare+othersWeight*d.errorShareOfOthers(now, t) {
		return
	}
	if !d.mayEject(t.entry.Pool) {
		if !t.errors.spared {
			d.reportEjection(now, t, Spared, 0)
		}
		t.errors.spared = true
		return
	}
	d.reportEjection(now, t, Ejected, t.errors.eject(now))
}

// errorShareOfOthers returns the median share of errors of the other targets of a pool that are
// not ejected. A mean would keep several targets that fail at once from being ejected.
func (d *Directory) errorShareOfOthers(now time.Time, t *target) float64 {
	var shares []float64
	for _, o := range d.targets {
		if o != t && o.entry.Pool == t.entry.Pool && o.entry.State == Ready && !o.errors.probation {
			shares = append(shares, o.errors.currentShare(now))
		}
	}
	if len(shares) == 0 {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

// mayEject returns whether one more target of a pool may be ejected.
func (d *Directory) mayEject(pool sillid.PoolID) bool {
	ready, ejected := 0, 0
	for _, t := range d.targets {
		if t.entry.Pool != pool || t.entry.State != Ready {
			continue
		}
		ready++
		if t.errors.probation {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedShare*float64(ready)
}

func (d *Directory) reportEjection(now time.Time, t *target, decision EjectionDecision, left time.Duration) {
	if d.cfg.OnEjection != nil {
		d.cfg.OnEjection(Ejection{
			Decision: decision, Run: t.entry.Run(), Pool: t.entry.Pool, For: left,
			ErrorShare: t.errors.currentShare(now), OthersShare: d.errorShareOfOthers(now, t),
		})
	}
}

// AnyAvailable returns whether some target may get one of the query's requests now.
func (d *Directory) AnyAvailable(now time.Time, q Query) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	meanServiceTime := d.meanServiceTime(q.Pool)
	for _, t := range d.targets {
		if t.isEligible(now, &q, meanServiceTime) {
			return true
		}
	}
	return false
}
