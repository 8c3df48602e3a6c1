package sillcluster

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

var start = time.Unix(1000, 0)

func change(t *testing.T, m Member) silltable.Change {
	t.Helper()
	w, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return silltable.Change{Row: silltable.Row{Key: w.Key, Value: w.Value}}
}

func members(t *testing.T, count int) *Members {
	t.Helper()
	s := NewMembers(func(Member) {})
	for i := range count {
		name := fmt.Sprintf("i%d", i)
		m := Member{Instance: sillid.InstanceID(name), Run: Run("run-" + name)}
		if err := s.Apply(start, []silltable.Change{change(t, m)}); err != nil {
			t.Fatal(err)
		}
	}
	return s
}

func checkAlive(t *testing.T, s *Members, now time.Time, run Run, want bool) {
	t.Helper()
	if got := s.Alive(now, run); got != want {
		t.Errorf("%s is alive: %t, want %t", run, got, want)
	}
}

func TestRowsExpire(t *testing.T) {
	s := members(t, 1)
	checkAlive(t, s, start.Add(MemberTimeout-time.Millisecond), "run-i0", true)
	checkAlive(t, s, start.Add(MemberTimeout), "run-i0", false)
	if err := s.Apply(start.Add(MemberTimeout), []silltable.Change{change(t, Member{Instance: "i0", Run: "run-i0", Renewal: 2})}); err != nil {
		t.Fatal(err)
	}
	checkAlive(t, s, start.Add(MemberTimeout), "run-i0", true)
}

func TestNewRunReplacesTheOld(t *testing.T) {
	s := members(t, 1)
	if err := s.Apply(start, []silltable.Change{change(t, Member{Instance: "i0", Run: "next"})}); err != nil {
		t.Fatal(err)
	}
	checkAlive(t, s, start, "run-i0", false)
	checkAlive(t, s, start, "next", true)
}

func TestRefreshExtendsTimeoutAfterOutage(t *testing.T) {
	s := members(t, 1)
	later := start.Add(10 * time.Second)
	s.Refresh(later)
	checkAlive(t, s, later.Add(MemberTimeout/2), "run-i0", true)
	checkAlive(t, s, later.Add(MemberTimeout), "run-i0", false)
}

func TestLeavingMembersGetNoWork(t *testing.T) {
	s := members(t, 2)
	if err := s.Apply(start, []silltable.Change{change(t, Member{Instance: "i0", Run: "run-i0", Leaving: true})}); err != nil {
		t.Fatal(err)
	}
	checkAlive(t, s, start, "run-i0", true)
	if live := s.Live(start); len(live) != 1 || live[0].Instance != "i1" {
		t.Errorf("live %v, want only i1", live)
	}
	if _, ok := s.Rank(start, "m", "i0"); ok {
		t.Error("a leaving member has a rank")
	}
}

func TestRanksAreAPermutation(t *testing.T) {
	s := members(t, 5)
	for _, name := range []string{"a", "b", "c"} {
		seen := make(map[int]bool)
		for i := range 5 {
			rank, ok := s.Rank(start, name, sillid.InstanceID(fmt.Sprintf("i%d", i)))
			if !ok || seen[rank] || rank < 0 || rank > 4 {
				t.Errorf("%s: rank %d of i%d, ok %t", name, rank, i, ok)
			}
			seen[rank] = true
		}
		first, ok := s.First(start, name)
		if rank, _ := s.Rank(start, name, first.Instance); !ok || rank != 0 {
			t.Errorf("%s: the first has rank %d", name, rank)
		}
	}
}

func TestUnreadableRowsAreLeftOut(t *testing.T) {
	s := members(t, 1)
	err := s.Apply(start, []silltable.Change{
		{Row: silltable.Row{Key: Key("z", "bad"), Value: []byte("?")}},
		change(t, Member{Instance: "good", Run: "run-good"}),
	})
	if err == nil {
		t.Error("no error for a row that can't be read")
	}
	checkAlive(t, s, start, "run-good", true)
}

// TestRowsOfOtherVersions reads rows with a field less and a field more than this
// version writes, as during an upgrade.
func TestRowsOfOtherVersions(t *testing.T) {
	for name, value := range map[string]map[string]any{
		"older": {"instance": "i0", "run": "r", "address": "a", "zone": "z", "leaving": false, "renewal": 3},
		"newer": {"instance": "i0", "run": "r", "address": "a", "zone": "z", "renewal": 3, "crash-evidence": []byte{0x80}, "later": true},
	} {
		t.Run(name, func(t *testing.T) {
			b, err := cbor.Marshal(value)
			if err != nil {
				t.Fatal(err)
			}
			m, err := Decode(silltable.Row{Key: Key("z", "i0"), Value: b})
			if err != nil || m.Run != "r" || m.Address != "a" || m.Renewal != 3 {
				t.Errorf("decoded %+v, %v", m, err)
			}
		})
	}
}

// TestLastLive asks, long after the table was last read, for those that were alive then.
func TestLastLive(t *testing.T) {
	s := members(t, 2)
	later := start.Add(2 * MemberTimeout)
	if err := s.Apply(later, []silltable.Change{change(t, Member{Instance: "i1", Run: "run-i1", Renewal: 9})}); err != nil {
		t.Fatal(err)
	}
	if live := s.LastLive(); len(live) != 1 || live[0].Instance != "i1" {
		t.Errorf("last live %+v, want i1 alone", live)
	}
	if live := s.Live(later.Add(time.Hour)); len(live) != 0 {
		t.Errorf("live %+v an hour later, want none", live)
	}
}

// TestDelayedRowsAreIgnored applies a transaction that was delayed after a newer one of
// the same process: the older row must not undo that the process leaves.
func TestDelayedRowsAreIgnored(t *testing.T) {
	s := members(t, 1)
	leaving := change(t, Member{Instance: "i0", Run: "run-i0", Renewal: 9, Leaving: true})
	delayed := change(t, Member{Instance: "i0", Run: "run-i0", Renewal: 8})
	later := start.Add(MemberTimeout - time.Millisecond)
	if err := s.Apply(start, []silltable.Change{leaving}); err != nil {
		t.Fatal(err)
	}
	if err := s.Apply(later, []silltable.Change{delayed}); err != nil {
		t.Fatal(err)
	}
	if live := s.Live(later); len(live) != 0 {
		t.Errorf("live %+v after the process left", live)
	}
	checkAlive(t, s, later.Add(2*time.Millisecond), "run-i0", false)
}

// TestNewerRowOfAnInstanceCounts reads the rows that two builds wrote for one instance, to
// different partitions.
func TestNewerRowOfAnInstanceCounts(t *testing.T) {
	older, newer := change(t, Member{Instance: "i0", Run: "last"}), change(t, Member{Instance: "i0", Run: "next", Zone: "z"})
	older.Row.Revision, newer.Row.Revision = 3, 8
	for _, rows := range [][]silltable.Row{{older.Row, newer.Row}, {newer.Row, older.Row}} {
		s := NewMembers(func(Member) {})
		if err := s.Reset(start, rows); err != nil {
			t.Fatal(err)
		}
		checkAlive(t, s, start, "next", true)
		checkAlive(t, s, start, "last", false)
	}
}

func TestCommitLeaders(t *testing.T) {
	s := NewMembers(func(Member) {})
	for i := range 200 {
		m := Member{Instance: sillid.InstanceID(fmt.Sprintf("i%d", i)), Run: "r", Zone: "z", GroupCommit: i >= 20}
		if i%2 == 1 {
			m.Zone = "other"
		}
		if err := s.Apply(start, []silltable.Change{change(t, m)}); err != nil {
			t.Fatal(err)
		}
	}
	followers := make(map[sillid.InstanceID]int)
	for _, m := range s.Live(start) {
		leader, ok := s.CommitLeader(start, m.Instance)
		if ok != m.GroupCommit {
			t.Errorf("%s has a leader: %t, want %t", m.Instance, ok, m.GroupCommit)
		}
		if !ok {
			continue
		}
		if leader.Zone != m.Zone || !leader.GroupCommit {
			t.Errorf("%s of %s has the leader %+v", m.Instance, m.Zone, leader)
		}
		followers[leader.Instance]++
	}
	for leader, n := range followers {
		if n > 2*groupCommitSize {
			t.Errorf("%s commits for %d gateways", leader, n)
		}
	}
}

// TestSmallInstancesRarelyComeFirst ranks the gateways of a fleet of which half have a
// fifth of the processor of the others.
func TestSmallInstancesRarelyComeFirst(t *testing.T) {
	s := NewMembers(func(Member) {})
	for i := range 120 {
		m := Member{Instance: sillid.InstanceID(fmt.Sprintf("i%d", i)), Run: "r", Capacity: 0.8}
		if i%2 == 1 {
			m.Capacity = 0.144
		}
		if err := s.Apply(start, []silltable.Change{change(t, m)}); err != nil {
			t.Fatal(err)
		}
	}
	const names = 500
	small := 0
	firsts := make(map[sillid.InstanceID]bool)
	for i := range names {
		first, _ := s.First(start, fmt.Sprint("model-", i))
		firsts[first.Instance] = true
		if first.Capacity < 0.5 {
			small++
		}
	}
	if small > names/50 {
		t.Errorf("a small instance comes first for %d of %d names", small, names)
	}
	if len(firsts) < 50 {
		t.Errorf("%d instances come first for %d names, want most of the 60 large ones", len(firsts), names)
	}
}

// TestEqualInstancesRankAsBefore checks that a fleet of equal instances, of which some
// tell no capacity, has the same order for builds that do not look at capacities.
func TestEqualInstancesRankAsBefore(t *testing.T) {
	s := members(t, 20)
	ids := make([]sillid.GatewayID, 20)
	for i := range ids {
		ids[i] = sillid.GatewayID(fmt.Sprintf("i%d", i))
	}
	for _, id := range ids {
		rank, _ := s.Rank(start, "m", sillid.InstanceID(id))
		if want := silllease.Rank("m", id, ids); rank != want {
			t.Errorf("%s has rank %d, want %d", id, rank, want)
		}
	}
	rank, live := s.Rank(start, "m", "absent")
	if want := silllease.Rank("m", "absent", ids); rank != want || live {
		t.Errorf("an absent process has rank %d, live %t; want %d, false", rank, live, want)
	}
}

// TestRowsOfALeavingProcessDoNotRenewIt guards against the work of a stopping process being
// taken over late, because it still writes what it learns to its row.
func TestRowsOfALeavingProcessDoNotRenewIt(t *testing.T) {
	now := time.Now()
	members := NewMembers(func(Member) {})
	for i := range 3 {
		write, err := Encode(Member{Instance: "a", Run: "run", Leaving: true, Renewal: uint64(i + 1)})
		if err != nil {
			t.Fatal(err)
		}
		at := now.Add(time.Duration(i) * MemberTimeout / 2)
		if err := members.Apply(at, []silltable.Change{{Row: silltable.Row{Key: write.Key, Value: write.Value}}}); err != nil {
			t.Fatal(err)
		}
	}
	if !members.Alive(now.Add(MemberTimeout-1), "run") || members.Alive(now.Add(MemberTimeout), "run") {
		t.Error("the process is not alive for MemberTimeout after its first row that says that it leaves")
	}
}
