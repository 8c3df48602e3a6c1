package sillretry

import (
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{}))
}

func failure(kind sillproblem.Kind, outcome sillproblem.Outcome) Failure {
	p := sillproblem.New(kind, "").WithOutcome(outcome)
	return Failure{Problem: p, MayHaveReached: outcome != sillproblem.NotRun, Attempts: 1, Jitter: 0.5}
}

func TestDecide(t *testing.T) {
	const unknown, notRun, failed = sillproblem.OutcomeUnknown, sillproblem.NotRun, sillproblem.Failed
	for _, tc := range []struct {
		name   string
		kind   sillproblem.Kind
		out    sillproblem.Outcome
		change func(*Failure)
		action Action
		reason Reason
	}{
		{"not run", sillproblem.Draining, notRun, func(*Failure) {}, RetryElsewhere, ReasonNotRun},
		{"not run, but a byte may have arrived", sillproblem.Draining, notRun, func(f *Failure) { f.MayHaveReached = true }, LookUp, ReasonOutcomeUnknown},
		{"caller's fault", sillproblem.BadRequest, notRun, func(*Failure) {}, Fail, ReasonNotRetryable},
		{"unknown", sillproblem.ConnectionSilent, unknown, func(*Failure) {}, LookUp, ReasonOutcomeUnknown},
		{"unknown after the lookup", sillproblem.ConnectionSilent, unknown, func(f *Failure) { f.LookedUp = true }, Fail, ReasonMayHaveRun},
		{"unknown and idempotent", sillproblem.ConnectionSilent, unknown, func(f *Failure) { f.LookedUp, f.Idempotent = true, true }, RetryElsewhere, ReasonIdempotent},
		{"failed", sillproblem.TargetFailed, failed, func(*Failure) {}, Fail, ReasonMayHaveRun},
		{"failed and idempotent", sillproblem.TargetFailed, failed, func(f *Failure) { f.Idempotent = true }, RetryElsewhere, ReasonIdempotent},
		{"attempts", sillproblem.Draining, notRun, func(f *Failure) { f.Attempts = 4 }, Fail, ReasonMaxAttempts},
		{"deadline", sillproblem.Draining, notRun, func(f *Failure) { f.Deadline = epoch.Add(time.Millisecond) }, Fail, ReasonDeadline},
		{"answered in part", sillproblem.TargetFailed, failed, func(f *Failure) { f.Idempotent, f.ResponseStarted = true, true }, Fail, ReasonResponseStarted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := failure(tc.kind, tc.out)
			tc.change(&f)
			d := DefaultPolicy().Decide(epoch, f, NewBudget())
			if d.Action != tc.action || d.Reason != tc.reason {
				t.Errorf("Decide() = %s, %s; want %s, %s", d.Action, d.Reason, tc.action, tc.reason)
			}
		})
	}
}

// A non-idempotent request is not retried, and its outcome is not reported as
// NotRun, if a byte may have reached a target.
func TestNonIdempotentAtMostOnce(t *testing.T) {
	kinds := []sillproblem.Kind{sillproblem.Overload, sillproblem.TargetFailed, sillproblem.ConnectionSilent, sillproblem.Internal}
	outcomes := []sillproblem.Outcome{sillproblem.NotRun, sillproblem.OutcomeUnknown, sillproblem.Failed}
	rapid.Check(t, func(t *rapid.T) {
		f := failure(rapid.SampledFrom(kinds).Draw(t, "kind"), rapid.SampledFrom(outcomes).Draw(t, "outcome"))
		f.MayHaveReached = rapid.Bool().Draw(t, "may have reached")
		f.EarlierMayHaveReached = !f.MayHaveReached || rapid.Bool().Draw(t, "earlier reached")
		f.LookedUp = rapid.Bool().Draw(t, "looked up")
		f.Attempts = rapid.IntRange(1, 5).Draw(t, "attempts")
		d := DefaultPolicy().Decide(epoch, f, NewBudget())
		if d.Action == RetryElsewhere {
			t.Fatal("retried after a byte may have reached a target")
		}
		if d.Action == Fail && d.Problem.Outcome == sillproblem.NotRun {
			t.Fatal("reported as not run after a byte may have reached a target")
		}
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	b := NewBudgets().Of("o", "p")
	retries := 0
	for range 1000 {
		b.RecordSuccess()
		f := failure(sillproblem.Overload, sillproblem.NotRun)
		if DefaultPolicy().Decide(epoch, f, b).Action == RetryElsewhere {
			retries++
		}
	}
	if want := maxTokens + 1000*tokensPerSuccess; float64(retries) > want {
		t.Errorf("%d retries for 1000 successes, want at most %.0f", retries, want)
	}
}

func TestDrainUsesUpNoBudget(t *testing.T) {
	b := NewBudgets().Of("o", "p")
	for range 1000 {
		d := DefaultPolicy().Decide(epoch, failure(sillproblem.Draining, sillproblem.NotRun), b)
		if d.Action != RetryElsewhere {
			t.Fatalf("Decide() = %s, %s; want %s", d.Action, d.Reason, RetryElsewhere)
		}
	}
	if d := DefaultPolicy().Decide(epoch, failure(sillproblem.Overload, sillproblem.NotRun), b); d.Action != RetryElsewhere {
		t.Errorf("Decide() = %s, %s after refusals of a draining target; want %s", d.Action, d.Reason, RetryElsewhere)
	}
}

// TestLimitUsesUpNoBudget guards against a target at its own limit on requests that uses up the
// retries of requests that others could take.
func TestLimitUsesUpNoBudget(t *testing.T) {
	b := NewBudgets().Of("o", "p")
	for i := range 1000 {
		f := failure(sillproblem.Overload, sillproblem.NotRun)
		f.Problem.AtLimit = true
		if d := DefaultPolicy().Decide(epoch, f, b); d.Action != RetryElsewhere {
			t.Fatalf("retry %d: %+v", i, d)
		}
	}
}
