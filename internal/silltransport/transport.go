// Package silltransport sends HTTP/1.1 requests over pooled connections, one
// request at a time on each.
//
// net/http's transport resends requests on its own, asks for compressed responses
// and takes the next bytes on a connection for the response. This package sends a
// request at most once, unchanged, skips responses to other requests, and reports
// whether any byte of a failed request may have reached the peer.
package silltransport

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Request is a request to one address.
type Request struct {
	// ID, if not empty, is the id that responses repeat. A request with the id of an
	// earlier one gets another connection than that one, so that a late copy of the
	// earlier response is not taken for its own.
	ID     string
	Method string
	// RequestURI is the path and query, sent unchanged in the request line.
	RequestURI string
	Host       string
	// Header is sent unchanged, with Content-Length added. It must not hold
	// hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Check, if not nil, is called right before the first byte is written. The request is
	// not sent if it returns an error.
	Check func() error
}

// Error is the error of a request without a complete response.
type Error struct {
	// Sent is whether a byte of the request may have reached the peer.
	Sent bool
	// Connected is whether a connection was established.
	Connected bool
	// Err is the cause.
	Err error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no complete response: %v", e.Err)
	}
	return fmt.Sprintf("request not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotSent returns whether err is an *Error of a request of which no byte was sent.
func NotSent(err error) bool {
	var e *Error
	return errors.As(err, &e) && !e.Sent
}

// Config holds what a Pool needs.
type Config struct {
	// ConnectTimeout bounds the time to establish a connection.
	ConnectTimeout time.Duration
	// TCPUserTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	TCPUserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the peer sent no
	// Keep-Alive timeout.
	IdleTimeout time.Duration
	// ResponseMatches returns whether a response belongs to the request. Other
	// responses are skipped. first is whether the connection has carried no response
	// before: only later ones can be extra responses to earlier requests. If nil,
	// every response is accepted.
	ResponseMatches func(req *Request, header http.Header, first bool) bool
	// OnDialed, if not nil, is called for each new connection.
	OnDialed func()
	// OnSkipped, if not nil, is called for each skipped response.
	OnSkipped func()
}

// Pool keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu sync.Mutex
	// idle holds the idle connections of each address, the most recently used last.
	idle map[string][]*conn
}

// NewPool returns an empty pool.
func NewPool(cfg Config) *Pool {
	return &Pool{cfg: cfg, idle: make(map[string][]*conn)}
}

// Send sends a request and returns its response once the head is read. The caller
// must read the body to its end or close it. When ctx ends, the connection is
// closed, also while the body is read. Errors are of type *Error.
func (p *Pool) Send(ctx context.Context, address string, req *Request) (*http.Response, error) {
	if err := req.check(); err != nil {
		return nil, &Error{Err: err}
	}
	c, err := p.acquire(ctx, address, req.ID)
	if err != nil {
		return nil, &Error{Err: err}
	}
	if req.Check != nil {
		if err := req.Check(); err != nil {
			if c.expires.IsZero() {
				c.expires = time.Now().Add(p.cfg.IdleTimeout)
			}
			p.put(c)
			return nil, &Error{Connected: true, Err: err}
		}
	}
	resp, err := c.exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	return resp, nil
}

// acquire returns an idle connection that is still open and has not carried a request
// with the id, or a new one.
func (p *Pool) acquire(ctx context.Context, address, id string) (*conn, error) {
	for {
		c := p.pop(address, id)
		if c == nil {
			return p.dial(ctx, address)
		}
		if c.isReusable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

// pop removes and returns the most recently used idle connection that has not carried a
// request with the id, or nil.
func (p *Pool) pop(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.hasCarried(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
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

// HasIdle returns whether the pool has an idle connection to an address.
func (p *Pool) HasIdle(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	return len(list) > 0 && time.Now().Before(list[len(list)-1].expires)
}

// CloseIdle closes the idle connections of an address, for example after a
// connection to it stopped responding.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// CloseExpired closes the connections whose idle timeout has passed, so that no
// file descriptors are held for addresses that are no longer used.
func (p *Pool) CloseExpired(now time.Time) {
	for _, c := range p.removeExpired(now) {
		c.close()
	}
}

// removeExpired removes the connections whose idle timeout has passed, and returns
// them.
func (p *Pool) removeExpired(now time.Time) []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.expires) {
				expired = append(expired, c)
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
	return expired
}
