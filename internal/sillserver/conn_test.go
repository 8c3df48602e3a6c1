package sillserver

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillsocket"
)

// connect returns an accepted connection and the caller's end of it.
func connect(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	caller, err := net.Dial("tcp", socket.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = caller.Close() })
	l := newListener(socket.(*net.TCPListener))
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = accepted.Close() })
	return accepted.(*conn), caller
}

// TestReadAtTheDeadline checks what a read gives if its deadline has passed before it
// looked at what the caller had sent, as in a process that gets no processor time.
func TestReadAtTheDeadline(t *testing.T) {
	past := time.Now().Add(-time.Hour)
	for name, tc := range map[string]struct {
		phase phase
		// ended is whether idle connections are ended, unread whether bytes have arrived,
		// and expired whether net/http's deadline has passed.
		ended, unread, expired bool
		want                   error
	}{
		"ended idle, nothing sent":            {phase: phaseIdle, ended: true, want: errEnded},
		"ended idle, request sent":            {phase: phaseIdle, ended: true, unread: true},
		"ended new, nothing sent":             {phase: phaseNew, ended: true, want: errEnded},
		"ended new, request sent":             {phase: phaseNew, ended: true, unread: true},
		"ended within a request":              {phase: phaseReading, ended: true, want: errEnded},
		"idle timeout, nothing sent":          {phase: phaseIdle, expired: true, want: os.ErrDeadlineExceeded},
		"idle timeout, request sent":          {phase: phaseIdle, expired: true, unread: true},
		"header timeout":                      {phase: phaseReading, expired: true, unread: true, want: os.ErrDeadlineExceeded},
		"read that a handler has interrupted": {phase: phaseHandling, ended: true, expired: true, unread: true, want: os.ErrDeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			c, caller := connect(t)
			if tc.unread {
				_, _ = io.WriteString(caller, "POST")
				for sillsocket.Peek(c.TCPConn) != sillsocket.Unread {
					time.Sleep(time.Millisecond)
				}
			}
			c.phase, c.since = tc.phase, past
			if tc.expired {
				_ = c.SetReadDeadline(past)
			}
			if tc.ended {
				c.ending, c.endingSince = true, past
				_ = c.applyDeadline()
			}
			var b [8]byte
			n, err := c.Read(b[:])
			if !errors.Is(err, tc.want) || (tc.want == nil) != (string(b[:n]) == "POST") {
				t.Errorf("read %q, %v; want error %v", b[:n], err, tc.want)
			}
		})
	}
}

// TestLinger checks when a connection ends at a shutdown.
func TestLinger(t *testing.T) {
	shutdown := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		phase phase
		// since is when the phase began, after the shutdown.
		since time.Duration
		ended bool
		// linger is how long the connection stays open after the shutdown, if it ends.
		ends   bool
		linger time.Duration
	}{
		"no shutdown":       {phase: phaseIdle},
		"new":               {phase: phaseNew, since: -time.Hour, ended: true, ends: true, linger: lingerTime},
		"reading":           {phase: phaseReading, since: -time.Hour, ended: true, ends: true, linger: lingerTime},
		"handling":          {phase: phaseHandling, ended: true},
		"idle for a while":  {phase: phaseIdle, since: -lingerTime / 2, ended: true, ends: true, linger: lingerTime / 2},
		"idle after it":     {phase: phaseIdle, since: lingerTime / 2, ended: true, ends: true, linger: lingerTime},
		"idle long after":   {phase: phaseIdle, since: time.Hour, ended: true, ends: true, linger: lingerTime},
		"accepted after it": {phase: phaseNew, since: time.Millisecond, ended: true, ends: true, linger: lingerTime},
	} {
		t.Run(name, func(t *testing.T) {
			c := &conn{phase: tc.phase, since: shutdown.Add(tc.since), ending: tc.ended, endingSince: shutdown}
			end, ends := c.lingerEnd()
			if ends != tc.ends || (ends && !end.Equal(shutdown.Add(tc.linger))) {
				t.Errorf("ends: %t, %v after the shutdown; want %t, %v", ends, end.Sub(shutdown), tc.ends, tc.linger)
			}
		})
	}
}

// TestLingeringConnectionReadsItsRequest guards against ending an idle connection at once, on
// the next request of a caller that could not know of the end.
func TestLingeringConnectionReadsItsRequest(t *testing.T) {
	c, caller := connect(t)
	future := time.Now().Add(time.Hour)
	c.phase, c.since, c.ending, c.endingSince = phaseIdle, future, true, future
	_ = c.applyDeadline()
	time.AfterFunc(50*time.Millisecond, func() { _, _ = io.WriteString(caller, "POST") })
	var b [8]byte
	if n, err := c.Read(b[:]); err != nil || string(b[:n]) != "POST" {
		t.Errorf("read %q, %v; want the request", b[:n], err)
	}
}
