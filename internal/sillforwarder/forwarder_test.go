package sillforwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

type behaviour = sillstandtarget.Behaviour

// bench is a forwarder before some targets.
type bench struct {
	forwarder *Forwarder
	directory *silltarget.Directory
	targets   []*sillstandtarget.Target

	mu    sync.Mutex
	began int
}

// newBench starts a target for each behaviour; all requests there get it.
func newBench(t *testing.T, behaviours ...behaviour) *bench {
	t.Helper()
	b := &bench{directory: silltarget.NewDirectory()}
	for i, plan := range behaviours {
		id := sillid.TargetID(rune('a' + i))
		target := sillstandtarget.Start(id, func(sillstandtarget.Call, int) behaviour { return plan })
		t.Cleanup(target.Close)
		b.targets = append(b.targets, target)
		b.directory.Apply(target.Entry("p", 4, nil))
	}
	b.forwarder = New(Config{
		Directory: b.directory,
		Pool:      silltransport.NewPool(silltransport.Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute}),
		Codec:     sillstandtarget.Codec(),
		OnStarted: func(sillid.OrganisationID, time.Time) {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.began++
		},
		Metrics: NewMetrics(nil), Log: zap.NewNop(),
	})
	return b
}

func (b *bench) calls() int {
	n := 0
	for _, target := range b.targets {
		n += len(target.Calls())
	}
	return n
}

func route(kind sillcatalog.Kind, attempts int) *sillcatalog.Route {
	return &sillcatalog.Route{
		ID: "r", Kind: kind, Attempts: attempts, LatencyObjective: 100 * time.Millisecond, Timeout: 5 * time.Second,
		Shares: []sillcatalog.Share{{Pool: "p", Weight: 1}},
	}
}

func (b *bench) do(ctx context.Context, r *sillcatalog.Route, timeout time.Duration) (*Response, error) {
	return b.forwarder.Do(ctx, &Request{
		ID: "req", Route: r, Pool: "p", Organisation: "org", Method: http.MethodPost, RequestURI: "/x?y=1", Host: "h",
		Header: http.Header{"Other": {"1"}}, Body: []byte("in"), Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	})
}

func checkAnswer(t *testing.T, a *Response, err error) {
	t.Helper()
	if err != nil || a.Status != http.StatusOK || a.Metadata.Signature == "" {
		t.Fatalf("answer %+v, error %v", a, err)
	}
}

func checkRefusal(t *testing.T, err error, reason Reason, notRun bool) {
	t.Helper()
	var r *Refusal
	if !errors.As(err, &r) || r.Reason != reason || r.NotRun != notRun {
		t.Fatalf("error %v; want a refusal for %s, not run: %t", err, reason, notRun)
	}
}

func TestRetries(t *testing.T) {
	ok := behaviour{}
	for _, tc := range []struct {
		name      string
		kind      sillcatalog.Kind
		attempts  int
		first     behaviour
		wantCalls int
		reason    Reason
		notRun    bool
	}{
		{"idempotent after a broken answer", sillcatalog.Idempotent, 2, behaviour{Broken: true}, 2, "", false},
		{"idempotent after silence", sillcatalog.Idempotent, 2, behaviour{Silent: true}, 2, "", false},
		{"idempotent after a refusal", sillcatalog.Idempotent, 2, behaviour{NotRun: true}, 2, "", false},
		{"idempotent with one attempt", sillcatalog.Idempotent, 1, behaviour{Broken: true}, 1, ResponseLost, false},
		{"once after a refusal", sillcatalog.AtMostOnce, 2, behaviour{NotRun: true}, 2, "", false},
		{"once after a broken answer", sillcatalog.AtMostOnce, 3, behaviour{Broken: true}, 1, ResponseLost, false},
		{"once with one attempt refused", sillcatalog.AtMostOnce, 1, behaviour{NotRun: true}, 1, AllFull, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, tc.first, ok)
			a, err := b.do(t.Context(), route(tc.kind, tc.attempts), 2*time.Second)
			if tc.reason == "" {
				checkAnswer(t, a, err)
			} else {
				checkRefusal(t, err, tc.reason, tc.notRun)
			}
			if n := b.calls(); n != tc.wantCalls {
				t.Errorf("%d targets asked, want %d", n, tc.wantCalls)
			}
		})
	}
}

func TestSilenceEndsAtTheDeadline(t *testing.T) {
	b := newBench(t, behaviour{Silent: true})
	_, err := b.do(t.Context(), route(sillcatalog.AtMostOnce, 3), 150*time.Millisecond)
	checkRefusal(t, err, TimedOut, false)
}

// TestLongRequest has every target take longer than one attempt may at first.
func TestLongRequest(t *testing.T) {
	slow := behaviour{Pace: 600 * time.Millisecond}
	b := newBench(t, slow, slow, slow, slow)
	a, err := b.do(t.Context(), route(sillcatalog.Idempotent, 4), 780*time.Millisecond)
	checkAnswer(t, a, err)
}

func TestNoTarget(t *testing.T) {
	b := newBench(t)
	_, err := b.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
	checkRefusal(t, err, NoTarget, true)
	var r *Refusal
	if errors.As(err, &r); r.RetryAfter <= 0 {
		t.Error("the refusal does not say when to come back")
	}
}

// TestOtherTargetAtTheAddress has an address be used by a target that the
// directory does not know yet.
func TestOtherTargetAtTheAddress(t *testing.T) {
	b := newBench(t, behaviour{}, behaviour{})
	moved := b.targets[0].Entry("p", 100, nil)
	moved.ID = "gone"
	b.directory.Remove("a")
	b.directory.Apply(moved)
	a, err := b.do(t.Context(), route(sillcatalog.AtMostOnce, 2), time.Second)
	checkAnswer(t, a, err)
	if n := len(b.targets[0].Calls()); n != 0 {
		t.Errorf("the other target ran %d requests", n)
	}
}

func TestCallerLeaves(t *testing.T) {
	b := newBench(t, behaviour{Silent: true})
	ctx, cancel := context.WithCancel(t.Context())
	group := sillgroup.New(ctx)
	defer group.Stop()
	group.Go(func(context.Context) {
		for b.calls() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	})
	_, err := b.do(ctx, route(sillcatalog.Idempotent, 3), 5*time.Second)
	checkRefusal(t, err, CallerGone, false)
	for range 500 {
		if b.targets[0].Left() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the target still works for a caller who left")
}

func TestUsageCountsWhatBegan(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first behaviour
		want  int
	}{
		{"answered", behaviour{}, 1},
		{"refused", behaviour{NotRun: true}, 0},
		{"failed by the target", behaviour{Status: http.StatusInternalServerError}, 1},
		{"broken off", behaviour{Broken: true}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, tc.first)
			_, _ = b.do(t.Context(), route(sillcatalog.AtMostOnce, 1), time.Second)
			if b.began != tc.want {
				t.Errorf("%d requests counted, want %d", b.began, tc.want)
			}
		})
	}
}

func TestTargetIsToldWhatIsLeft(t *testing.T) {
	b := newBench(t, behaviour{Broken: true}, behaviour{})
	a, err := b.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
	checkAnswer(t, a, err)
	for _, target := range b.targets {
		for _, c := range target.Calls() {
			if c.Left <= 0 || c.Left > time.Second || c.Organisation != "org" || c.Body != "in" || c.Path != "/x?y=1" {
				t.Errorf("target was told %+v", c)
			}
		}
	}
}

func TestPatience(t *testing.T) {
	for _, tc := range []struct {
		name        string
		kind        sillcatalog.Kind
		used        int
		attempts    int
		usual, left time.Duration
		want        time.Duration
	}{
		{"part of the objective", sillcatalog.Idempotent, 1, 4, 0, time.Second, 70 * time.Millisecond},
		{"usual answers", sillcatalog.Idempotent, 1, 4, 40 * time.Millisecond, time.Second, 160 * time.Millisecond},
		{"half of what is left", sillcatalog.Idempotent, 1, 4, 40 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond},
		{"second attempt of many", sillcatalog.Idempotent, 2, 4, 40 * time.Millisecond, time.Second, time.Second},
		{"last attempt", sillcatalog.Idempotent, 1, 1, 40 * time.Millisecond, time.Second, time.Second},
		{"not to be repeated", sillcatalog.AtMostOnce, 1, 4, 40 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := patience(route(tc.kind, tc.attempts), progress{attempts: tc.used}, tc.usual, tc.left); got != tc.want {
				t.Errorf("patience %v, want %v", got, tc.want)
			}
		})
	}
}

// TestBeyondTheObjective has every slot taken, and more requests waiting than can
// be answered within the objective of 100 ms.
func TestBeyondTheObjective(t *testing.T) {
	crowded := func(t *testing.T, requests int) *bench {
		b := newBench(t, behaviour{})
		for range requests {
			g, _ := b.directory.Pick(time.Now(), silltarget.Query{Pool: "p"})
			if b.directory.UnitLatency(g.ID) == 0 {
				b.directory.Observe(time.Now(), g, nil, 50*time.Millisecond)
			}
		}
		return b
	}
	t.Run("refused, to come back once the load is worked off", func(t *testing.T) {
		b := crowded(t, 19)
		_, err := b.do(t.Context(), route(sillcatalog.Idempotent, 3), time.Second)
		checkRefusal(t, err, AllFull, true)
		var r *Refusal
		if errors.As(err, &r); r.RetryAfter != 170*time.Millisecond {
			t.Errorf("to come back after %v, want the 250 ms that it takes less the 80 ms that it may", r.RetryAfter)
		}
		if b.calls() > 0 {
			t.Error("a target got the request")
		}
	})
	t.Run("a short queue is no reason", func(t *testing.T) {
		a, err := crowded(t, 5).do(t.Context(), route(sillcatalog.Idempotent, 3), time.Second)
		checkAnswer(t, a, err)
	})
	t.Run("targets that are slow for all but have a free slot", func(t *testing.T) {
		b := newBench(t, behaviour{})
		g, _ := b.directory.Pick(time.Now(), silltarget.Query{Pool: "p"})
		b.directory.Observe(time.Now(), g, nil, time.Second)
		a, err := b.do(t.Context(), route(sillcatalog.Idempotent, 3), time.Second)
		checkAnswer(t, a, err)
	})
	t.Run("a patient request waits", func(t *testing.T) {
		b := crowded(t, 19)
		a, err := b.forwarder.Do(t.Context(), &Request{
			ID: "req", Route: route(sillcatalog.Idempotent, 3), Pool: "p", Method: http.MethodPost, RequestURI: "/x", Host: "h",
			Header: make(http.Header), Arrived: time.Now(), Deadline: time.Now().Add(time.Second), AllowLate: true,
		})
		checkAnswer(t, a, err)
	})
}
