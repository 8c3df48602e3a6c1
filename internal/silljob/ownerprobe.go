package silljob

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silllog"
)

// The row of a process that is not renewed in time does not prove that the process is dead: while
// the table refuses a part of its calls, running processes can't renew their rows. A job that is
// taken from a running owner loses all that the owner has generated and not listed yet. So an
// owner is asked directly before one of its jobs is taken over, if the table refused calls of this
// process as well. If it did not, the owner is cut off from the table, and can't list results.

const (
	// probeTimeout bounds one question to an owner: a call and a second one on a new connection.
	probeTimeout = 400 * time.Millisecond
	// probeValidity is how long the result of a probe counts.
	probeValidity = time.Second
	// maxOrphanTime is the time without a renewed row after which a job is taken over even if
	// its owner answers: such an owner can't list results.
	maxOrphanTime = 10 * time.Second
)

// ownerProbe is the newest question to the owner of a job whose row is not renewed.
type ownerProbe struct {
	startedAt time.Time
	done      bool
	// answered is whether the owner told that it runs; it is set once done.
	answered bool
}

// probeOwner returns whether an owner answered lately, and false for known while that is asked.
func (r *Runner) probeOwner(now time.Time, owner GatewayRun) (answered, known bool) {
	if r.cfg.ProbeOwner == nil || owner == "" {
		return false, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.probes[owner]
	switch {
	case p == nil || p.done && now.Sub(p.startedAt) >= probeValidity:
		r.startProbe(now, owner)
		return false, false
	case !p.done:
		return false, false
	}
	return p.answered, true
}

// startProbe asks an owner in the background. The caller holds r.mu.
func (r *Runner) startProbe(now time.Time, owner GatewayRun) {
	for other, p := range r.probes {
		if p.done && now.Sub(p.startedAt) >= probeValidity {
			delete(r.probes, other)
		}
	}
	p := &ownerProbe{startedAt: now}
	r.probes[owner] = p
	r.group.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		err := r.cfg.ProbeOwner(ctx, owner)
		r.mu.Lock()
		p.done, p.answered = true, err == nil
		r.mu.Unlock()
		select {
		case r.probeDone <- struct{}{}:
		default:
		}
		if err != nil {
			r.cfg.Log.Warn("Owner of jobs does not answer.", zap.String("owner", string(owner)), silllog.Err(err))
		}
	})
}

// mustWait returns whether the takeover of a job must wait: its owner answers, or is being asked.
func (r *Runner) mustWait(now time.Time, job ID, o *orphan) bool {
	if r.cfg.TableFails == nil || !r.cfg.TableFails() {
		return false
	}
	answered, known := r.probeOwner(now, o.owner)
	if !known {
		return true
	}
	if !answered || now.Sub(o.since) >= maxOrphanTime {
		return false
	}
	r.mu.Lock()
	first := !o.left
	o.left = true
	r.mu.Unlock()
	if first {
		r.cfg.Metrics.jobsLeft.Inc()
		r.cfg.Log.Warn("Owner of a job does not renew its row, but answers; leaving it the job.", zap.String("job", string(job)), zap.String("owner", string(o.owner)))
	}
	return true
}
