package sillserver

import (
	"strings"
	"testing"
	"time"
)

var testLimits = Limits{}.withDefaults()

// TestFault guards against a client that stalls and keeps its memory, and against the cut of
// one on a slow link.
func TestFault(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		state state
		want  string
	}{
		"waits for its answer": {state{phase: phaseHandling, age: time.Hour}, ""},
		"body moves":           {state{isBody: true, bodyAge: 20 * second, bodyBytes: 1 << 20, stalled: second}, ""},
		"body begins":          {state{isBody: true, bodyAge: 9 * second, bodyBytes: 1, stalled: 9 * second}, ""},
		"body stalls":          {state{isBody: true, bodyAge: 12 * second, bodyBytes: 1 << 20, stalled: 11 * second}, reasonSlowBody},
		"body drips":           {state{isBody: true, bodyAge: 20 * second, bodyBytes: 200, stalled: second / 10}, reasonSlowBody},
		"body without end":     {state{isBody: true, bodyAge: 61 * second, bodyBytes: 1 << 30}, reasonSlowBody},
		"answer is read":       {state{isWriting: true, stalled: second}, ""},
		"answer is not read":   {state{isWriting: true, stalled: 11 * second}, reasonSlowReader},
		"answer before the body's end": {
			state{isWriting: true, isBody: true, bodyAge: 61 * second, stalled: second}, "",
		},
	} {
		t.Run(name, func(t *testing.T) {
			if got := test.state.fault(&testLimits); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}

// TestRank guards against a new connection that closes one with a running request, or an idle
// one while others stall.
func TestRank(t *testing.T) {
	busy := state{phase: phaseHandling, age: time.Hour}
	fresh := state{phase: phaseNew, age: 10 * time.Millisecond}
	moving := state{phase: phaseHandling, isBody: true, stalled: 10 * time.Millisecond}
	for name, s := range map[string]state{"busy": busy, "fresh": fresh, "moving": moving, "ended": {phase: phaseEnded}} {
		if rank, _ := s.rank(); rank != busyRank {
			t.Errorf("%s: rank %d, want %d", name, rank, busyRank)
		}
	}
	w := newWorst(2)
	conns := map[string]*conn{}
	for _, one := range []struct {
		name  string
		state state
	}{
		{"idle", state{phase: phaseIdle, age: time.Hour}},
		{"head", state{phase: phaseReading, age: time.Second}},
		{"body", state{phase: phaseHandling, isBody: true, stalled: time.Second}},
		{"older body", state{phase: phaseHandling, isBody: true, stalled: 2 * time.Second}},
	} {
		conns[one.name] = &conn{}
		rank, stalled := one.state.rank()
		w.add(conns[one.name], rank, stalled)
	}
	list := w.list()
	if len(list) != 2 || list[0] != conns["older body"] || list[1] != conns["body"] {
		t.Errorf("closed %d connections, want the two whose bodies stall", len(list))
	}
	idle := newWorst(2)
	for range 2 {
		idle.add(&conn{}, idleRank, time.Hour)
	}
	if n := len(idle.list()); n != 1 {
		t.Errorf("%d idle connections closed for one, want 1", n)
	}
}

// TestHeadCount guards against heads that have few bytes and many fields, and against a count
// of what comes behind a head.
func TestHeadCount(t *testing.T) {
	fields := func(n int) string { return strings.Repeat("a:\r\n", n) }
	const line = "GET / HTTP/1.1\r\n"
	for name, test := range map[string]struct {
		reads []string
		want  string
	}{
		"ordinary":    {[]string{line + fields(20) + "\r\n"}, ""},
		"in pieces":   {[]string{line, fields(300), fields(300)}, reasonFields},
		"at once":     {[]string{line + fields(600)}, reasonFields},
		"body behind": {[]string{line + fields(1) + "\r\n" + strings.Repeat("\n", 4000), strings.Repeat("\n", 4000)}, ""},
		"long":        {[]string{line + "a: " + strings.Repeat("x", 21<<10)}, reasonBytes},
		"largest":     {[]string{line + "a: " + strings.Repeat("x", 16<<10)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var h headCount
			for _, read := range test.reads {
				h.add([]byte(read))
			}
			if got := h.fault(&testLimits, 16<<10); got != test.want {
				t.Errorf("reason %q, want %q", got, test.want)
			}
		})
	}
}
