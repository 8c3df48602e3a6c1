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
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

type behaviour = sillstandtarget.Behaviour

// fixture is a forwarder with stand-in targets.
type fixture struct {
	forwarder *Forwarder
	directory *silltarget.Directory
	targets   []*sillstandtarget.Target
	// restarts counts the new runs of each target.
	restarts int

	mu      sync.Mutex
	started int
}

// newFixture starts a target for each behaviour, which applies to all its requests.
func newFixture(t *testing.T, behaviours ...behaviour) *fixture {
	t.Helper()
	return newFixtureWith(t, silltarget.Config{}, behaviours...)
}

func newFixtureWith(t *testing.T, cfg silltarget.Config, behaviours ...behaviour) *fixture {
	t.Helper()
	cfg.RegionOf = func(z sillid.ZoneID) sillid.RegionID { return sillid.RegionID(z) }
	f := &fixture{directory: silltarget.NewDirectoryWith(cfg)}
	for i, plan := range behaviours {
		id := sillid.TargetID(rune('a' + i))
		target := sillstandtarget.Start(id, func(sillstandtarget.Call, int) behaviour { return plan })
		t.Cleanup(target.Close)
		f.targets = append(f.targets, target)
		f.directory.Apply(target.Entry("p", 4, nil))
	}
	f.forwarder = New(Config{
		Directory: f.directory,
		Pool:      silltransport.NewPool(silltransport.Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute}),
		Codec:     sillstandtarget.Codec(),
		OnStarted: func(sillid.OrganisationID, time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.started++
		},
		Suspects: sillcrash.NewSharedTracker(time.Now),
		Metrics:  NewMetrics(nil), Log: zap.NewNop(),
	})
	return f
}

func (f *fixture) calls() int {
	n := 0
	for _, target := range f.targets {
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

func (f *fixture) do(ctx context.Context, r *sillcatalog.Route, timeout time.Duration) (*Response, error) {
	return f.forwarder.Do(ctx, &Request{
		ID: "req", Route: r, Pool: "p", Organisation: "org", Method: http.MethodPost, RequestURI: "/x?y=1", Host: "h",
		Header: http.Header{"Other": {"1"}}, Body: []byte("in"), Arrived: time.Now(), Deadline: time.Now().Add(timeout),
	})
}

// startRaw starts a target that sends the same bytes to each connection that has sent
// something, closes it, and returns its address.
func startRaw(t *testing.T, response string) string {
	t.Helper()
	target, err := sillstandtarget.StartRaw(response)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target.Address()
}

func checkResponse(t *testing.T, resp *Response, err error) {
	t.Helper()
	if err != nil || resp.Status != http.StatusOK || resp.Metadata.Signature == "" {
		t.Fatalf("response %+v, error %v; want a signed response with status 200", resp, err)
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
		{"idempotent after a broken response", sillcatalog.Idempotent, 2, behaviour{Truncated: true}, 2, "", false},
		{"idempotent after a timeout", sillcatalog.Idempotent, 2, behaviour{NoResponse: true}, 2, "", false},
		{"idempotent after a rejection", sillcatalog.Idempotent, 2, behaviour{NotRun: true}, 2, "", false},
		{"idempotent with one attempt", sillcatalog.Idempotent, 1, behaviour{Truncated: true}, 1, ResponseLost, false},
		{"at most once after a rejection", sillcatalog.AtMostOnce, 2, behaviour{NotRun: true}, 2, "", false},
		{"at most once after a broken response", sillcatalog.AtMostOnce, 3, behaviour{Truncated: true}, 1, ResponseLost, false},
		{"at most once with one attempt rejected", sillcatalog.AtMostOnce, 1, behaviour{NotRun: true}, 1, AllFull, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, tc.first, ok)
			resp, err := f.do(t.Context(), route(tc.kind, tc.attempts), 2*time.Second)
			if tc.reason == "" {
				checkResponse(t, resp, err)
			} else {
				checkRefusal(t, err, tc.reason, tc.notRun)
			}
			if n := f.calls(); n != tc.wantCalls {
				t.Errorf("%d attempts, want %d", n, tc.wantCalls)
			}
		})
	}
}

func TestUnresponsiveTargetTimesOutAtDeadline(t *testing.T) {
	f := newFixture(t, behaviour{NoResponse: true})
	_, err := f.do(t.Context(), route(sillcatalog.AtMostOnce, 3), 150*time.Millisecond)
	checkRefusal(t, err, TimedOut, false)
}

// TestLongRequest uses targets that all take longer than the timeout of the first
// attempt: the second attempt must get the time to finish.
func TestLongRequest(t *testing.T) {
	slow := behaviour{Delay: 600 * time.Millisecond}
	f := newFixture(t, slow, slow, slow, slow)
	resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 4), 780*time.Millisecond)
	checkResponse(t, resp, err)
}

func TestNoTarget(t *testing.T) {
	f := newFixture(t)
	_, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
	checkRefusal(t, err, NoTarget, true)
	var r *Refusal
	if errors.As(err, &r); r.RetryAfter <= 0 {
		t.Error("the refusal has no RetryAfter")
	}
}

// TestUnreachableTargetsUseNoAttempts guards against requests being refused because
// targets that are down use up the attempts of their route.
func TestUnreachableTargetsUseNoAttempts(t *testing.T) {
	plans := make([]behaviour, 6)
	for _, tc := range []struct {
		name     string
		kind     sillcatalog.Kind
		attempts int
		down     int
	}{
		{"idempotent", sillcatalog.Idempotent, 2, 5},
		{"at most once", sillcatalog.AtMostOnce, 1, 5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, plans...)
			for _, target := range f.targets[:tc.down] {
				target.Close()
			}
			resp, err := f.do(t.Context(), route(tc.kind, tc.attempts), time.Second)
			checkResponse(t, resp, err)
		})
	}
	t.Run("all down", func(t *testing.T) {
		const targets = 3 * maxUnreachable
		f := newFixture(t, make([]behaviour, targets)...)
		for _, target := range f.targets {
			target.Close()
		}
		_, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
		checkRefusal(t, err, NoTarget, true)
		// Each target without a connection backs off, the others have four free slots.
		tried := targets - f.directory.FreeSlots(time.Now(), silltarget.Query{Pool: "p"})/4
		if tried != maxUnreachable {
			t.Errorf("%d targets tried, want %d", tried, maxUnreachable)
		}
	})
}

// TestOtherTargetAtTheAddress sends a request to an address that now belongs to
// another target, which is not in the directory yet: that target must not run it.
func TestOtherTargetAtTheAddress(t *testing.T) {
	f := newFixture(t, behaviour{}, behaviour{})
	moved := f.targets[0].Entry("p", 100, nil)
	moved.ID = "gone"
	f.directory.Remove("a")
	f.directory.Apply(moved)
	resp, err := f.do(t.Context(), route(sillcatalog.AtMostOnce, 2), time.Second)
	checkResponse(t, resp, err)
	if n := len(f.targets[0].Calls()); n != 0 {
		t.Errorf("the other target ran %d requests", n)
	}
}

func TestCallerCancels(t *testing.T) {
	f := newFixture(t, behaviour{NoResponse: true})
	ctx, cancel := context.WithCancel(t.Context())
	group := sillgroup.New(ctx)
	defer group.Stop()
	group.Go(func(context.Context) {
		for f.calls() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	})
	_, err := f.do(ctx, route(sillcatalog.Idempotent, 3), 5*time.Second)
	checkRefusal(t, err, CallerGone, false)
	for range 500 {
		if f.targets[0].Disconnects() == 1 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the target still runs a cancelled request")
}

func TestUsageCountsStartedRequests(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first behaviour
		want  int
	}{
		{"answered", behaviour{}, 1},
		{"rejected", behaviour{NotRun: true}, 0},
		{"failed by the target", behaviour{Status: http.StatusInternalServerError}, 1},
		{"broken response", behaviour{Truncated: true}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, tc.first)
			_, _ = f.do(t.Context(), route(sillcatalog.AtMostOnce, 1), time.Second)
			if f.started != tc.want {
				t.Errorf("%d requests counted, want %d", f.started, tc.want)
			}
		})
	}
}

func TestTargetGetsRemainingTime(t *testing.T) {
	f := newFixture(t, behaviour{Truncated: true}, behaviour{})
	resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 2), time.Second)
	checkResponse(t, resp, err)
	for _, target := range f.targets {
		for _, c := range target.Calls() {
			if c.Remaining <= 0 || c.Remaining > time.Second || c.Organisation != "org" || c.Body != "in" || c.Path != "/x?y=1" {
				t.Errorf("the target got %+v", c)
			}
		}
	}
}

func TestAttemptTimeout(t *testing.T) {
	for _, tc := range []struct {
		name                   string
		kind                   sillcatalog.Kind
		used                   int
		attempts               int
		meanLatency, remaining time.Duration
		want                   time.Duration
	}{
		{"share of the objective", sillcatalog.Idempotent, 1, 4, 0, time.Second, 70 * time.Millisecond},
		{"multiple of the mean latency", sillcatalog.Idempotent, 1, 4, 40 * time.Millisecond, time.Second, 160 * time.Millisecond},
		{"half of the remaining time", sillcatalog.Idempotent, 1, 4, 40 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond},
		{"second attempt of many", sillcatalog.Idempotent, 2, 4, 40 * time.Millisecond, time.Second, time.Second},
		{"last attempt", sillcatalog.Idempotent, 1, 1, 40 * time.Millisecond, time.Second, time.Second},
		{"at most once", sillcatalog.AtMostOnce, 1, 4, 40 * time.Millisecond, time.Second, time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := attemptTimeout(route(tc.kind, tc.attempts), progress{attempts: tc.used}, tc.meanLatency, tc.remaining); got != tc.want {
				t.Errorf("timeout %v, want %v", got, tc.want)
			}
		})
	}
}

// TestBeyondTheObjective fills all slots and queues requests at a target, so that
// another one can't be served within the latency objective of 100 ms.
func TestBeyondTheObjective(t *testing.T) {
	loaded := func(t *testing.T, requests int) *fixture {
		f := newFixture(t, behaviour{})
		for range requests {
			g, _ := f.directory.Pick(time.Now(), silltarget.Query{Pool: "p"})
			if f.directory.UnitLatency(g.ID) == 0 {
				f.directory.Observe(time.Now(), g, nil, 50*time.Millisecond)
			}
		}
		return f
	}
	t.Run("refused with a delay to work off the load", func(t *testing.T) {
		f := loaded(t, 19)
		_, err := f.do(t.Context(), route(sillcatalog.Idempotent, 3), time.Second)
		checkRefusal(t, err, AllFull, true)
		var r *Refusal
		if errors.As(err, &r); r.RetryAfter != 170*time.Millisecond {
			t.Errorf("RetryAfter %v, want the expected 250 ms less the accepted 80 ms", r.RetryAfter)
		}
		if f.calls() > 0 {
			t.Error("a target got the request")
		}
	})
	t.Run("served behind a short queue", func(t *testing.T) {
		resp, err := loaded(t, 5).do(t.Context(), route(sillcatalog.Idempotent, 3), time.Second)
		checkResponse(t, resp, err)
	})
	t.Run("served by a slow target with a free slot", func(t *testing.T) {
		f := newFixture(t, behaviour{})
		g, _ := f.directory.Pick(time.Now(), silltarget.Query{Pool: "p"})
		f.directory.Observe(time.Now(), g, nil, time.Second)
		resp, err := f.do(t.Context(), route(sillcatalog.Idempotent, 3), time.Second)
		checkResponse(t, resp, err)
	})
	t.Run("served late if allowed", func(t *testing.T) {
		f := loaded(t, 19)
		resp, err := f.forwarder.Do(t.Context(), &Request{
			ID: "req", Route: route(sillcatalog.Idempotent, 3), Pool: "p", Method: http.MethodPost, RequestURI: "/x", Host: "h",
			Header: make(http.Header), Arrived: time.Now(), Deadline: time.Now().Add(time.Second), AllowLate: true,
		})
		checkResponse(t, resp, err)
	})
}
