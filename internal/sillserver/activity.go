package sillserver

import (
	"bytes"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbudget"
)

// activity is what a client does on a connection. Its fields are written by the goroutines of
// the connection and read by that which looks for clients that misbehave.
type activity struct {
	// address is that of the client.
	address netip.Addr
	// bodyBegan is when the body of the request began, in Unix nanoseconds; 0 if none
	// arrives. bodyBytes is what has arrived of it, and readAt when.
	bodyBegan atomic.Int64
	bodyBytes atomic.Int64
	readAt    atomic.Int64
	// writingSince is when the write began that the client has not read; 0 if there is none.
	writingSince atomic.Int64
	// account is that of the request.
	account atomic.Pointer[sillbudget.Account]
	// ahead counts requests in a row that were read without a read from the socket.
	ahead int
	// reads counts the reads from the socket, and handled is their number at the last head.
	reads   atomic.Int64
	handled int64
	head    headCount
}

// state is the decision's view of a connection.
type state struct {
	phase phase
	// age is the time since the phase began.
	age time.Duration
	// isBody and isWriting tell whether a body arrives, and whether an answer is not read.
	isBody, isWriting bool
	// bodyAge is the time since the body began, and bodyBytes what has arrived.
	bodyAge   time.Duration
	bodyBytes int64
	// stalled is the time since the client last made progress.
	stalled time.Duration
}

// state returns the state of a connection.
func (c *conn) state(now time.Time) state {
	c.mu.Lock()
	s := state{phase: c.phase, age: now.Sub(c.since)}
	c.mu.Unlock()
	since := func(nanos int64) time.Duration { return time.Duration(now.UnixNano() - nanos) }
	if began := c.activity.bodyBegan.Load(); began != 0 {
		s.isBody, s.bodyAge, s.bodyBytes = true, since(began), c.activity.bodyBytes.Load()
		s.stalled = since(max(began, c.activity.readAt.Load()))
	}
	if began := c.activity.writingSince.Load(); began != 0 {
		s.isWriting, s.stalled = true, since(began)
	}
	return s
}

// Reasons for which connections are closed.
const (
	reasonSlowBody    = "slow-body"
	reasonSlowReader  = "slow-reader"
	reasonConnections = "connections"
	reasonAddress     = "address"
	reasonFields      = "header-fields"
	reasonBytes       = "header-bytes"
	reasonPipelined   = "pipelined"
	reasonMemory      = "memory"
)

// fault returns the reason for which a connection is to be closed, or "".
func (s *state) fault(l *Limits) string {
	switch {
	case s.isWriting && s.stalled > l.StallTimeout:
		return reasonSlowReader
	case s.isWriting || !s.isBody:
		return ""
	case s.stalled > l.StallTimeout, s.bodyAge > l.BodyTimeout:
		return reasonSlowBody
	case s.bodyAge > l.StallTimeout && float64(s.bodyBytes) < float64(l.BodyRate)*s.bodyAge.Seconds():
		return reasonSlowBody
	}
	return ""
}

const (
	// graceAge is the time for which a connection is not closed for a new one: a client sends
	// its request by then, also on a slow link.
	graceAge = 200 * time.Millisecond
	// busyRank is above the rank of every connection that may be closed for a new one.
	busyRank = 3
	// idleRank is the rank of connections without a request.
	idleRank = 2
)

// rank returns how readily a connection is closed for a new one: lower ranks first, and among
// equal ones the longest stalled. busyRank stands for never.
func (s *state) rank() (rank int, stalled time.Duration) {
	switch {
	case s.phase == phaseEnded:
		return busyRank, 0
	case s.phase == phaseHandling && (s.isBody || s.isWriting) && s.stalled > graceAge:
		return 0, s.stalled
	case s.phase == phaseHandling:
		return busyRank, 0
	case s.phase == phaseIdle:
		return idleRank, s.age
	case s.age > graceAge:
		return 1, s.age
	}
	return busyRank, 0
}

// headCount counts the bytes and fields of a head as it is read, so that a head that never
// ends is bounded, too.
type headCount struct {
	bytes, lines int
	complete     bool
}

// headEnd ends a head.
var headEnd = []byte("\n\r\n")

// add counts a read. What comes behind the head does not count, nor further reads.
func (h *headCount) add(p []byte) {
	if h.complete {
		return
	}
	if i := bytes.Index(p, headEnd); i >= 0 {
		p, h.complete = p[:i], true
	}
	h.bytes += len(p)
	h.lines += bytes.Count(p, headEnd[:1])
}

// readSlack is the size of the buffer in which net/http reads a head: as much may be read
// beyond it.
const readSlack = 4 << 10

// fault returns the reason for which a head is refused, or "".
func (h *headCount) fault(l *Limits, maxBytes int) string {
	switch {
	case maxBytes > 0 && h.bytes > maxBytes+readSlack:
		return reasonBytes
	case h.lines > l.HeaderFields+1:
		return reasonFields
	}
	return ""
}
