package sillserver

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillsocket"
)

// lingerTime is how long a connection without a request stays open at a shutdown: its
// caller may have sent a request that has not arrived.
const lingerTime = 500 * time.Millisecond

// errEnded is what reads of a connection return that has ended itself.
var errEnded error = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// phase is what happens on a connection.
type phase int

const (
	// phaseNew: nothing has been read.
	phaseNew phase = iota
	// phaseReading: a part of a request has been read.
	phaseReading
	// phaseHandling: the header of a request has been read and its response is not complete.
	phaseHandling
	// phaseIdle: the last response is complete and nothing has been read since.
	phaseIdle
	// phaseEnded: the connection was ended while no request was on it.
	phaseEnded
)

// conn is a connection that ends itself when it is idle: its reader gets an error, and
// net/http closes it.
type conn struct {
	*net.TCPConn
	listener *listener
	closed   sync.Once

	mu    sync.Mutex
	phase phase
	// since is when the phase began.
	since time.Time
	// deadline is the read deadline that net/http has set.
	deadline time.Time
	// ending is whether the connection ends when no request is on it, and endingSince is
	// since when.
	ending      bool
	endingSince time.Time

	activity activity
}

func newConn(tcp *net.TCPConn, l *listener) *conn {
	c := &conn{TCPConn: tcp, listener: l, since: time.Now()}
	if a, ok := tcp.RemoteAddr().(*net.TCPAddr); ok {
		c.activity.address = a.AddrPort().Addr()
	}
	return c
}

// recordState follows the state that net/http gives a connection. It is called by the
// goroutine that reads the connection.
func recordState(c net.Conn, state http.ConnState) {
	if encrypted, ok := c.(*tls.Conn); ok {
		c = encrypted.NetConn()
	}
	own, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		own.enter(phaseHandling)
	case http.StateIdle:
		own.activity.head = headCount{}
		own.activity.bodyBegan.Store(0)
		own.enter(phaseIdle)
	case http.StateNew, http.StateHijacked, http.StateClosed:
	}
}

func (c *conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseEnded {
		return
	}
	c.phase, c.since = p, time.Now()
	if c.ending {
		_ = c.applyDeadline()
	}
}

// end makes the connection end once it has lingered without a request.
func (c *conn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending, c.endingSince = true, time.Now()
	_ = c.applyDeadline()
}

func (c *conn) isHandling() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseHandling
}

func (c *conn) isEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == phaseEnded
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.TCPConn.Close()
	c.closed.Do(func() { c.listener.remove(c) })
	return err
}

// SetReadDeadline sets the time limit for reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = c.listener.head.cap(c.phase, t)
	return c.applyDeadline()
}

// SetDeadline sets the time limit for reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// applyDeadline sets the earlier of the deadline of net/http and the end of the linger.
func (c *conn) applyDeadline() error {
	t := c.deadline
	if end, ok := c.lingerEnd(); ok && (t.IsZero() || end.Before(t)) {
		t = end
	}
	return c.TCPConn.SetReadDeadline(t)
}

// lingerEnd returns when the connection ends if no request comes before; false if it does
// not end by itself. A connection that gets rid of its request late ends at once: a new
// one would have too little time.
func (c *conn) lingerEnd() (time.Time, bool) {
	if !c.ending || c.phase == phaseHandling || c.phase == phaseEnded {
		return time.Time{}, false
	}
	from := c.endingSince
	if c.phase == phaseIdle && c.since.Before(from) {
		from = c.since
	}
	return from.Add(lingerTime), true
}

// Read reads what the caller sent. It returns errEnded if the connection has ended itself.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(p)
		if n > 0 {
			if fault := c.recordRead(p[:n]); fault != "" {
				return 0, c.refuseHead(fault)
			}
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		if err := c.expire(time.Now()); err != nil {
			return 0, err
		}
	}
}

// recordRead records a read. It returns the reason for which the head that is being read is
// refused, or "".
func (c *conn) recordRead(p []byte) string {
	now := time.Now()
	c.activity.reads.Add(1)
	c.activity.readAt.Store(now.UnixNano())
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseHandling {
		return ""
	}
	if c.phase != phaseReading || c.ending {
		c.phase, c.since = phaseReading, now
	}
	if c.ending {
		_ = c.applyDeadline()
	}
	// Encrypted bytes can't be counted; net/http bounds their heads.
	if c.listener.encrypted {
		return ""
	}
	c.activity.head.add(p)
	return c.activity.head.fault(&c.listener.limits, c.listener.head.bytes())
}

// headRefusal is the answer to a head that is too long.
const headRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// refuseHead answers a head that is too long and ends the connection.
func (c *conn) refuseHead(reason string) error {
	c.listener.count(reason, c.activity.address)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.TCPConn.Write([]byte(headRefusal))
	_ = c.TCPConn.Close()
	return errEnded
}

// refusalTimeout is the time limit of a refusal, which the socket's buffer takes.
const refusalTimeout = time.Second

// writeStep is the size of the parts in which an answer is written: each must be read in time.
const writeStep = 64 << 10

// Write writes to the client, and records since when the client does not read.
func (c *conn) Write(p []byte) (int, error) {
	defer c.activity.writingSince.Store(0)
	sent := 0
	for {
		now := time.Now()
		c.activity.writingSince.Store(now.UnixNano())
		if sent > 0 {
			c.activity.account.Load().Progress(now)
		}
		n, err := c.TCPConn.Write(p[sent:min(len(p), sent+writeStep)])
		sent += n
		if err != nil || sent == len(p) {
			return sent, err
		}
	}
}

// cut closes the connection under whatever happens on it.
func (c *conn) cut(reason string) {
	c.listener.count(reason, c.activity.address)
	c.drop()
}

// drop closes the connection without a lock of the listener; net/http then closes it, too.
func (c *conn) drop() { _ = c.TCPConn.Close() }

// expire handles a deadline that has passed. It returns nil if the read is to be repeated.
func (c *conn) expire(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := c.phase == phaseNew || c.phase == phaseIdle
	if waiting && sillsocket.Peek(c.TCPConn) == sillsocket.Unread {
		// A request has arrived in time, so it is read whatever the deadline.
		return c.TCPConn.SetReadDeadline(time.Time{})
	}
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return os.ErrDeadlineExceeded
	}
	if end, ok := c.lingerEnd(); ok && !now.Before(end) {
		c.phase = phaseEnded
		// net/http would respond to a part of a request with 400, as if it were the whole.
		_ = c.TCPConn.Close()
		return errEnded
	}
	return c.applyDeadline()
}
