package sillforwarder

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// permits answers asks for permits in place of a broker.
type permits struct {
	mu sync.Mutex
	// verdicts are the answers by target.
	verdicts map[sillid.TargetID]sillpermit.Verdict
	asks     map[sillid.TargetID]int
}

func (p *permits) acquire(_ context.Context, a sillpermit.Ask) sillpermit.Verdict {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asks[a.Run.Target]++
	return p.verdicts[a.Run.Target]
}

// limit makes targets of a fixture name a limit, and answers asks with verdicts.
func (f *fixture) limit(verdicts map[sillid.TargetID]sillpermit.Verdict) *permits {
	p := &permits{verdicts: verdicts, asks: make(map[sillid.TargetID]int)}
	f.forwarder.cfg.AcquirePermit = p.acquire
	for _, target := range f.targets {
		if _, limited := verdicts[target.ID]; limited {
			e := target.Entry("p", 4, nil)
			f.directory.ObserveLimit(time.Now(), time.Now(), e.Run(), sillrate.Notice{Kind: sillrate.Named, Limit: 1}, true)
		}
	}
	return p
}

// TestDeniedRequestsGoElsewhere checks that requests that get no permit go to a target without
// a limit, and that one denial answers those that follow.
func TestDeniedRequestsGoElsewhere(t *testing.T) {
	f := newFixture(t, behaviour{}, behaviour{})
	p := f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {RetryAfter: time.Minute}})
	for range 20 {
		resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), 2*time.Second)
		checkResponse(t, resp, err)
	}
	if n := len(f.targets[0].Calls()); n > 0 || p.asks["a"] > 1 {
		t.Errorf("%d requests and %d asks for the limited target, want none and at most 1", n, p.asks["a"])
	}
}

// TestNoPermitInTime checks that a caller's request is refused at once, with the time of the
// next permit, if no target takes it in time.
func TestNoPermitInTime(t *testing.T) {
	f := newFixture(t, behaviour{}, behaviour{})
	f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {RetryAfter: 700 * time.Millisecond}, "b": {RetryAfter: 5 * time.Second}})
	began := time.Now()
	_, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), 2*time.Second)
	checkRefusal(t, err, RateLimited, true)
	var refusal *Refusal
	if errors.As(err, &refusal); refusal.RetryAfter < 600*time.Millisecond || refusal.RetryAfter > 700*time.Millisecond {
		t.Errorf("retry after %v, want about 700 ms", refusal.RetryAfter)
	}
	if took := time.Since(began); took > 50*time.Millisecond {
		t.Errorf("the refusal took %v; the objective is 100 ms", took)
	}
}

// TestPermitThatComesSoon checks that a caller's request waits for a permit that comes in
// time: longer than for a target, and until the time at which the broker expects the permit.
// The times are so long that a busy machine's delays don't use up the wait.
func TestPermitThatComesSoon(t *testing.T) {
	const retryAfter = 600 * time.Millisecond
	f := newFixture(t, behaviour{})
	f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {RetryAfter: retryAfter}})
	var asked []time.Time
	f.forwarder.cfg.AcquirePermit = func(context.Context, sillpermit.Ask) sillpermit.Verdict {
		asked = append(asked, time.Now())
		if len(asked) == 1 {
			return sillpermit.Verdict{RetryAfter: retryAfter}
		}
		return sillpermit.Verdict{Granted: true}
	}
	r := route(sillcatalog.Idempotent, 2)
	// A request waits for a target for a fifth of the objective, and for a limit until half of it.
	r.LatencyObjective = 2 * time.Second
	resp, err := f.do(t.Context(), r, 20*time.Second)
	checkResponse(t, resp, err)
	if len(asked) != 2 {
		t.Fatalf("asked %d times for a permit, want twice", len(asked))
	}
	if early := retryAfter - asked[1].Sub(asked[0]); early > 0 {
		t.Errorf("asked again %v before the permit was due", early)
	}
}

// TestOverShareAsksOnce checks that an organisation that had more than its share is not asked
// for again at each change.
func TestOverShareAsksOnce(t *testing.T) {
	f := newFixture(t, behaviour{})
	p := f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {OverShare: true, RetryAfter: time.Second}})
	_, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), 2*time.Second)
	var refusal *Refusal
	if !errors.As(err, &refusal) || !refusal.NotRun || refusal.RetryAfter == 0 {
		t.Errorf("error %v, want a refusal with a retry delay", err)
	}
	if p.asks["a"] > 1 {
		t.Errorf("asked %d times", p.asks["a"])
	}
}

// TestEvacuatedWhileWaiting guards against a request that is sent to a zone that is evacuated
// while the request waits for a permit.
func TestEvacuatedWhileWaiting(t *testing.T) {
	f := newFixture(t, behaviour{})
	f.limit(map[sillid.TargetID]sillpermit.Verdict{"a": {Granted: true}})
	f.forwarder.cfg.AcquirePermit = func(context.Context, sillpermit.Ask) sillpermit.Verdict {
		f.directory.SetEvacuated(time.Now(), []sillid.ZoneID{f.targets[0].Entry("p", 4, nil).Zone})
		return sillpermit.Verdict{Granted: true}
	}
	_, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), 2*time.Second)
	var refusal *Refusal
	if !errors.As(err, &refusal) || !refusal.NotRun || refusal.RetryAfter == 0 {
		t.Errorf("error %v, want a refusal that says when to retry", err)
	}
	if n := len(f.targets[0].Calls()); n > 0 {
		t.Errorf("%d requests reached an evacuated zone", n)
	}
}
