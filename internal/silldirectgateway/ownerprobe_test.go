package silldirectgateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// learn applies the row of a gateway.
func (m *membership) learn(t *testing.T, instance sillid.InstanceID, run sillcluster.Run, address string) {
	t.Helper()
	w, err := sillcluster.Encode(sillcluster.Member{Instance: instance, Run: run, Address: address, Capacity: 1})
	if err != nil {
		t.Fatal(err)
	}
	m.apply([]silltable.Change{{Row: silltable.Row{Key: w.Key, Value: w.Value, Revision: 1}}}, 0)
}

// TestProbeOfAnOwner guards against a probe that takes a gateway that stops, another run at the
// same address, or nobody for a running owner.
func TestProbeOfAnOwner(t *testing.T) {
	other := newTestMembership("front-b")
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+runPath, other.serveRun)
	server := httptest.NewServer(mux)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	m := newTestMembership("front-a")
	probe := m.prober(newTestMembership("front-a").evidence.pool)
	check := func(t *testing.T, run sillcluster.Run, runs bool) {
		t.Helper()
		if err := probe(t.Context(), silljob.GatewayRun(run)); (err == nil) != runs {
			t.Errorf("%v, want an answer: %t", err, runs)
		}
	}
	t.Run("no row", func(t *testing.T) { check(t, other.run, false) })
	m.learn(t, "front-b", other.run, address)
	m.learn(t, "front-c", "run-before", address)
	m.learn(t, "front-d", "run-gone", "127.0.0.1:1")
	t.Run("running", func(t *testing.T) { check(t, other.run, true) })
	t.Run("another run", func(t *testing.T) { check(t, "run-before", false) })
	t.Run("nobody listens", func(t *testing.T) { check(t, "run-gone", false) })
	other.stopping.Store(true)
	t.Run("stopping", func(t *testing.T) { check(t, other.run, false) })
}

// TestOverdue guards against an owner that is asked only once it counts as dead, and against one
// that is asked while it renews its row.
func TestOverdue(t *testing.T) {
	m := newTestMembership("front-a")
	m.learn(t, "front-b", "run-b", "127.0.0.1:1")
	now := sillclock.Boot()
	for age, want := range map[time.Duration]bool{sillcluster.RenewEvery: false, sillcluster.MemberTimeout - 400*time.Millisecond: true} {
		if got := m.members.IsOverdue(now.Add(age), "run-b"); got != want {
			t.Errorf("overdue after %v: %t, want %t", age, got, want)
		}
	}
}

// TestOwnerWhileTheTableFails guards against a new job that its owner can't read while the table
// refuses calls.
func TestOwnerWhileTheTableFails(t *testing.T) {
	m := newTestMembership("front-a")
	m.learn(t, "front-b", "run-b", "127.0.0.1:1")
	fails := false
	m.tableFails = func(time.Duration) bool { return fails }
	check := func(t *testing.T, want sillcluster.Run) {
		t.Helper()
		if got := m.owner(silljob.Placement{Model: "m"}); got != silljob.GatewayRun(want) {
			t.Errorf("owner %s, want %s", got, want)
		}
	}
	t.Run("table serves", func(t *testing.T) { check(t, "run-b") })
	fails = true
	t.Run("table fails", func(t *testing.T) { check(t, m.run) })
}
