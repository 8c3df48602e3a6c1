package sillserver

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillsocket"
)

const (
	// settleTime is how long connections are accepted whose establishment had begun when the
	// listener was stopped: more than a round trip between instances of a region.
	settleTime = 30 * time.Millisecond
	// acceptRetry is the time limit of accepting a connection that is known to wait.
	acceptRetry = 20 * time.Millisecond
	// maxWaiting bounds the connections that are accepted after stop, so that callers who
	// connect again and again don't keep a stopping server busy.
	maxWaiting = 128
)

// listener accepts connections and keeps those that are open.
type listener struct {
	*net.TCPListener
	limits Limits
	head   headLimits
	// encrypted is whether the bytes of connections are encrypted.
	encrypted bool
	// counts counts the connections that were closed, by reason.
	counts *counts
	// stopping is whether no connection is accepted but those that wait already.
	stopping atomic.Bool
	// waiting is the number of connections that were accepted after stop. Accept alone
	// uses it.
	waiting int

	mu sync.Mutex
	// open holds the connections that are not closed.
	open map[*conn]struct{}
	// byAddress is the number of open connections of each address.
	byAddress map[netip.Addr]int
	// ending is whether idle connections are ended.
	ending bool
	// ended is the number of connections that were ended while idle.
	ended int
	// emptied signals that the last connection was closed; it buffers one signal.
	emptied chan struct{}
}

func newListener(l *net.TCPListener) *listener {
	return &listener{
		TCPListener: l, limits: Limits{}.withDefaults(), counts: newCounts(), open: make(map[*conn]struct{}), byAddress: make(map[netip.Addr]int),
		emptied: make(chan struct{}, 1),
	}
}

// Accept returns the next connection. After stop, it returns those that wait already,
// maxWaiting at most, and then net.ErrClosed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.waiting == maxWaiting {
			return nil, net.ErrClosed
		}
		tcp, err := l.AcceptTCP()
		if err == nil {
			if l.stopping.Load() {
				l.waiting++
			}
			if c := l.add(tcp); c != nil {
				return c, nil
			}
			continue
		}
		if !l.stopping.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		// The deadline may have passed before the kernel was asked.
		if !sillsocket.HasPending(l.TCPListener) {
			return nil, net.ErrClosed
		}
		if err := l.SetDeadline(time.Now().Add(acceptRetry)); err != nil {
			return nil, err
		}
	}
}

// stop makes Accept return once no connection waits. The kernel ignores attempts to connect
// from here on: connections that were established between the last call of Accept and the end
// of the listener would be closed under their first request.
func (l *listener) stop() {
	l.stopping.Store(true)
	// Both fail if the listener is closed; then Accept returns as well.
	_ = sillsocket.IgnoreNew(l.TCPListener)
	_ = l.SetDeadline(time.Now().Add(settleTime))
}

// add returns the connection; nil if it was closed, since there are too many.
func (l *listener) add(tcp *net.TCPConn) *conn {
	c := newConn(tcp, l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.makeRoom(c.activity.address) {
		_ = tcp.Close()
		return nil
	}
	l.open[c] = struct{}{}
	l.byAddress[c.activity.address]++
	if l.ending {
		c.end()
	}
	return c
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(c)
	if c.isEnded() {
		l.ended++
	}
	if len(l.open) > 0 {
		return
	}
	select {
	case l.emptied <- struct{}{}:
	default:
	}
}

// forget removes a connection from those that are open.
func (l *listener) forget(c *conn) {
	if _, ok := l.open[c]; !ok {
		return
	}
	delete(l.open, c)
	if a := c.activity.address; l.byAddress[a] > 1 {
		l.byAddress[a]--
	} else {
		delete(l.byAddress, a)
	}
}

// endIdle ends the connections on which no request is, now and from now on.
func (l *listener) endIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ending = true
	for c := range l.open {
		c.end()
	}
}

// awaitClosed waits until no connection is open or ctx ends.
func (l *listener) awaitClosed(ctx context.Context) {
	for l.countOpen() > 0 {
		select {
		case <-l.emptied:
		case <-ctx.Done():
			return
		}
	}
}

func (l *listener) countOpen() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// countEnded returns the number of connections that were ended while idle.
func (l *listener) countEnded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// countHandling returns the number of open connections with a request.
func (l *listener) countHandling() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.open {
		if c.isHandling() {
			n++
		}
	}
	return n
}
