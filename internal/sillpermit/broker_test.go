package sillpermit

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

// member is a gateway that asks for permits or grants them.
type member struct {
	*Broker
	directory *silltarget.Directory
}

func newMember(place func() Place, position Position) *member {
	m := &member{directory: silltarget.NewDirectory()}
	m.Broker = New(Config{
		Directory: m.directory,
		Pool:      silltransport.NewPool(silltransport.Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute}),
		Place:     func(silltarget.Run) Place { return place() }, Position: func() Position { return position },
		Now: time.Now, Metrics: NewMetrics(nil),
	})
	return m
}

func (m *member) observe(limit sillrate.PerSecond) {
	m.directory.ObserveLimit(time.Now(), time.Now(), limitedRun, sillrate.Notice{Kind: sillrate.Named, Limit: limit}, true)
}

// startGranter starts a gateway that grants, and returns it with its address.
func startGranter(t *testing.T) (*member, string) {
	granting := newMember(func() Place { return Place{Self: true} }, Position{Count: 2})
	server := httptest.NewServer(granting)
	t.Cleanup(server.Close)
	return granting, strings.TrimPrefix(server.URL, "http://")
}

// acquireFor asks for permits for a time, asks at a time, and returns how many it got.
func (m *member) acquireFor(length time.Duration, asks int) int {
	var granted atomic.Int32
	end := time.Now().Add(length)
	group := sillgroup.New(context.Background())
	for range asks {
		group.Go(func(ctx context.Context) {
			for time.Now().Before(end) {
				v := m.Acquire(ctx, Ask{Run: limitedRun, Organisation: "o"})
				if v.Granted {
					granted.Add(1)
				}
				time.Sleep(min(v.RetryAfter, time.Until(end)))
			}
		})
	}
	group.Wait()
	return int(granted.Load())
}

// TestPermitsOfTwoGateways checks that a limit holds over the gateways, one of which has not
// heard of it.
func TestPermitsOfTwoGateways(t *testing.T) {
	granting, address := startGranter(t)
	asking := newMember(func() Place { return Place{Address: address} }, Position{Index: 1, Count: 2})
	asking.observe(20)
	var first, second int
	group := sillgroup.New(t.Context())
	group.Go(func(context.Context) { first = asking.acquireFor(2*time.Second, 4) })
	group.Go(func(context.Context) {
		time.Sleep(200 * time.Millisecond)
		second = granting.acquireFor(1800*time.Millisecond, 4)
	})
	group.Wait()
	if sum := first + second; sum > 44 || sum < 30 {
		t.Errorf("%d and %d permits in 2 s at 20 a second", first, second)
	}
	if l, _ := granting.directory.Limit(time.Now(), limitedRun); l.Limit != 20 {
		t.Errorf("the granting gateway was told a limit of %g", l.Limit)
	}
}

// TestEndOfALimitIsTold checks that a gateway learns from the one that grants that the limit
// has ended.
func TestEndOfALimitIsTold(t *testing.T) {
	granting, address := startGranter(t)
	asking := newMember(func() Place { return Place{Address: address} }, Position{Index: 1, Count: 2})
	asking.directory.MergeLimits(time.Now(), []silltarget.RunLimit{{Run: limitedRun, Limit: 1, AgeMS: 5000}})
	granting.observe(1)
	granting.directory.ObserveLimit(time.Now(), time.Now(), limitedRun, sillrate.Notice{}, true)
	if !asking.Acquire(t.Context(), Ask{Run: limitedRun}).Granted {
		t.Error("no permit was granted after the end of the limit")
	}
	if l, ok := asking.directory.Limit(time.Now(), limitedRun); ok && l.Limit != 0 {
		t.Errorf("the asking gateway still knows a limit of %g", l.Limit)
	}
}

// TestUnreachableGranter checks that a gateway that reaches no granter sends a share of the
// limit, and does not wait for each request.
func TestUnreachableGranter(t *testing.T) {
	for name, address := range map[string]string{"refused": "127.0.0.1:1", "not known": ""} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			asking := newMember(func() Place { return Place{Address: address} }, Position{Index: 0, Count: 1})
			asking.observe(40)
			if n := asking.acquireFor(2*time.Second, 4); n < 10 || n > 22 {
				t.Errorf("%d permits in 2 s, want about 20", n)
			}
		})
	}
}
