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
		"ended idle, nothing sent":            {phase: phaseIdle, ended: true, want: io.EOF},
		"ended idle, request sent":            {phase: phaseIdle, ended: true, unread: true},
		"ended new, nothing sent":             {phase: phaseNew, ended: true, want: io.EOF},
		"ended new, request sent":             {phase: phaseNew, ended: true, unread: true},
		"ended within a request":              {phase: phaseReading, ended: true, want: io.EOF},
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
				c.end()
			}
			var b [8]byte
			n, err := c.Read(b[:])
			if !errors.Is(err, tc.want) || (tc.want == nil) != (string(b[:n]) == "POST") {
				t.Errorf("read %q, %v; want error %v", b[:n], err, tc.want)
			}
		})
	}
}

// TestIdleConnectionLingers guards against closing on the next request of a caller that
// could not know that the response before was the last one.
func TestIdleConnectionLingers(t *testing.T) {
	for name, tc := range map[string]struct {
		phase phase
		ended bool
		// linger is how long the connection stays open; 0 if it does not end by itself.
		linger time.Duration
	}{
		"not ended": {phaseIdle, false, 0},
		"new":       {phaseNew, true, newLinger},
		"reading":   {phaseReading, true, partLinger},
		"handling":  {phaseHandling, true, 0},
		"idle":      {phaseIdle, true, idleLinger},
	} {
		t.Run(name, func(t *testing.T) {
			since := time.Unix(1000, 0)
			c := &conn{phase: tc.phase, since: since, ending: tc.ended}
			end, ends := c.lingerEnd()
			if ends != (tc.linger > 0) || (ends && !end.Equal(since.Add(tc.linger))) {
				t.Errorf("ends: %t, after %v; want after %v", ends, end.Sub(since), tc.linger)
			}
		})
	}
	if idleLinger < 100*time.Millisecond {
		t.Errorf("an idle connection lingers %v, want more than callers need for their next request", idleLinger)
	}
}
