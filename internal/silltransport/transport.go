// Package silltransport sends HTTP/1.1 requests over connections that are kept
// and shared, one request at a time on each.
//
// net/http's transport sends a request again by itself, asks for compressed
// answers and takes whatever bytes come next for the answer. Here a request
// is sent at most once, unchanged, and the caller learns whether any byte of it
// may have reached the other end.
package silltransport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Request is one request to one address.
type Request struct {
	Method string
	// RequestURI is the path and query as they stand in the request line.
	RequestURI string
	Host       string
	// Header is sent as it is, with Content-Length added. It names no
	// header of the connection.
	Header http.Header
	Body   []byte
}

// Error tells how far a request got that has no answer.
type Error struct {
	// Sent is whether a byte of the request may have reached the other end.
	Sent bool
	// Connected is false if no connection could be made.
	Connected bool
	// Err is the cause.
	Err error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no whole answer: %v", e.Err)
	}
	return fmt.Sprintf("request not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent returns whether err says that no byte of the request left.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Config holds what a Pool needs.
type Config struct {
	// ConnectTimeout bounds the making of a connection.
	ConnectTimeout time.Duration
	// TCPUserTimeout is how long a peer may leave sent bytes unacknowledged
	// before the connection counts as dead (TCP_USER_TIMEOUT).
	TCPUserTimeout time.Duration
	// IdleTimeout is how long a connection is kept whose peer named no time.
	IdleTimeout time.Duration
	// ResponseMatches returns whether an answer belongs to the request. Answers that do
	// not are skipped. Nil takes every answer.
	ResponseMatches func(req *Request, answer http.Header) bool
	// OnDialed is told of each new connection. It may be nil.
	OnDialed func()
	// OnSkipped is told of each answer that belonged to no request. It may be nil.
	OnSkipped func()
}

// Pool keeps connections. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds the resting connections of each address, the latest used last.
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, idle: make(map[string][]*conn)}
}

// Send sends a request and returns the head of its answer. The caller reads the
// body to its end or closes it. When ctx ends, the connection is closed, also
// while the body is read. Errors are of type *Error.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*http.Response, error) {
	c, err := p.take(ctx, address)
	if err != nil {
		return nil, &Error{Err: err}
	}
	resp, err := c.exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// take returns a resting connection that is still open, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*conn, error) {
	for {
		c := p.pop(address)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: p.cfg.ConnectTimeout, KeepAliveConfig: keepAlive}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tcp := raw.(*net.TCPConn)
	if err := setUserTimeout(tcp, p.cfg.TCPUserTimeout); err != nil {
		_ = tcp.Close()
		return nil, err
	}
	if p.cfg.OnDialed != nil {
		p.cfg.OnDialed()
	}
	return newConn(p, tcp, address), nil
}

// CloseIdle closes the resting connections of an address, as after a connection
// to it went silent.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// CloseExpired closes the connections that rested too long, so that no descriptors
// are held for addresses that nobody calls any more.
func (p *Pool) CloseExpired(now time.Time) {
	for _, c := range p.expired(now) {
		c.close()
	}
}

func (p *Pool) expired(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	return old
}
