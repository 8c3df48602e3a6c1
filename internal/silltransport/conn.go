package silltransport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/sillsocket"
)

// keepAlive detects a peer that lost power or became unreachable while a response
// is pending. TCP takes these times in whole seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

const (
	// idleTimeoutMargin is subtracted from the peer's keep-alive timeout, so that a
	// request that is still under way when it expires does not hit a closed connection.
	idleTimeoutMargin = 100 * time.Millisecond
	// maxReadResponses bounds the responses that are read for one request, skipped
	// ones included.
	maxReadResponses = 4
	// maxCarriedIDs bounds the ids that a connection remembers. A late response comes
	// within the next few requests.
	maxCarriedIDs = 8
	// maxHeadBytes bounds the status line and header of a response.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// maxInlineBodyBytes is the size up to which a body is written before the
	// response is read: it fits into the smallest socket buffer.
	maxInlineBodyBytes = 8 << 10
)

var (
	errTooManySkipped = errors.New("too many responses to other requests")
	errSkippedTooLong = errors.New("the body of a response to another request is too long")
	errHeadTooLong    = errors.New("the head of the response is too long")
)

// expiredDeadline is in the past; setting it unblocks pending reads and writes.
var expiredDeadline = time.Unix(1, 0)

// conn is a connection that carries at most one request at a time.
type conn struct {
	pool *Pool
	tcp  *net.TCPConn
	// socket reads from tcp and writes to it.
	socket  *sillsocket.Conn
	address string
	// source reads from socket, and reader from source.
	source *headLimiter
	reader *bufio.Reader
	// carried holds the ids of the newest requests, maxCarriedIDs at most.
	carried []string
	// used is whether a response was read on the connection.
	used bool
	// expires is when the connection may no longer be used for a new request.
	expires time.Time
	closed  sync.Once
}

func newConn(p *Pool, tcp *net.TCPConn, address string) *conn {
	socket := sillsocket.NewConn(tcp)
	source := &headLimiter{reader: socket}
	return &conn{pool: p, tcp: tcp, socket: socket, address: address, source: source, reader: bufio.NewReaderSize(source, 4<<10)}
}

// headLimiter limits the bytes that are read while a head is expected. It is not safe
// for concurrent use.
type headLimiter struct {
	reader io.Reader
	// limited is whether a head is being read; remaining is the number of bytes that
	// it may still take.
	limited   bool
	remaining int
}

func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.reader.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.reader.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// readHead reads the head of a response, at most maxHeadBytes more than what is
// buffered.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.source.limited, c.source.remaining = true, maxHeadBytes
	defer func() { c.source.limited = false }()
	return http.ReadResponse(c.reader, req)
}

func (c *conn) close() {
	c.closed.Do(func() { _ = c.tcp.Close() })
}

// reset closes the connection without sending what the kernel still holds of a request that was
// given up: the peer could get it after an interruption of the network, and run it late.
func (c *conn) reset() {
	c.closed.Do(func() {
		_ = c.tcp.SetLinger(0)
		_ = c.tcp.Close()
	})
}

// isReusable returns whether the connection has not expired, the peer still keeps
// it open, and nothing was received since the last response.
func (c *conn) isReusable(now time.Time) bool {
	return now.Before(c.expires) && c.reader.Buffered() == 0 && c.isIdle()
}

// isIdle returns whether the connection is open without unread bytes.
func (c *conn) isIdle() bool { return sillsocket.Peek(c.tcp) == sillsocket.Empty }

// hasCarried returns whether one of the newest requests on the connection had the id.
func (c *conn) hasCarried(id string) bool { return id != "" && slices.Contains(c.carried, id) }

func (c *conn) recordCarried(id string) {
	if id == "" {
		return
	}
	if len(c.carried) == maxCarriedIDs {
		c.carried = slices.Delete(c.carried, 0, 1)
	}
	c.carried = append(c.carried, id)
}

// exchange writes a request and reads the head of its response.
func (c *conn) exchange(ctx context.Context, req *Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.SetDeadline(expiredDeadline) })
	written := &requestWrite{}
	fail := func(err error) (*http.Response, error) {
		stop()
		c.reset()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: written.sent(), Connected: true, Err: err}
	}
	if ctx.Err() != nil {
		return fail(ctx.Err())
	}
	c.recordCarried(req.ID)
	written = c.write(req)
	if err := written.failed(); err != nil {
		return fail(err)
	}
	resp, err := c.readResponse(req)
	if err != nil {
		return fail(err)
	}
	body := &responseBody{conn: c, body: resp.Body, stop: stop, reusable: !resp.Close && written.complete(), ctx: ctx}
	body.setExpiry(resp.Header)
	resp.Body = body
	return resp, nil
}

// requestWrite is the write of a request, which may still be running.
type requestWrite struct {
	// running receives the outcome of a write that runs while the response is read;
	// nil if the write has ended.
	running chan writeOutcome
	// outcome is the outcome of a write that has ended.
	outcome writeOutcome
}

// writeOutcome is what a write returned. Without bytes the peer gets nothing.
type writeOutcome struct {
	bytes int64
	err   error
}

// failed returns the error of a write that ended before the response was read.
func (w *requestWrite) failed() error { return w.outcome.err }

// complete returns whether the entire request was written without an error.
func (w *requestWrite) complete() bool {
	if w.running == nil {
		return w.outcome.err == nil
	}
	select {
	case w.outcome = <-w.running:
		w.running = nil
		return w.outcome.err == nil
	default:
		return false
	}
}

// sent returns whether a byte of the request was written. The connection must be closed,
// so that a running write ends.
func (w *requestWrite) sent() bool {
	if w.running != nil {
		w.outcome = <-w.running
		w.running = nil
	}
	return w.outcome.bytes > 0
}

// write writes a request with a short body before it returns. A longer body is
// written while the response is read, since the peer may respond before it has
// read the entire body.
func (c *conn) write(req *Request) *requestWrite {
	head := encodeHead(req)
	if len(req.Body) <= maxInlineBodyBytes {
		n, err := c.socket.Write(append(head, req.Body...))
		return &requestWrite{outcome: writeOutcome{bytes: int64(n), err: err}}
	}
	running := make(chan writeOutcome, 1)
	var group sync.WaitGroup
	group.Go(func() {
		buffers := net.Buffers{head, req.Body}
		n, err := c.socket.WriteBuffers(&buffers)
		running <- writeOutcome{bytes: n, err: err}
	})
	return &requestWrite{running: running}
}

func encodeHead(req *Request) []byte {
	b := make([]byte, 0, 1024+len(req.Body))
	b = append(b, req.Method...)
	b = append(b, ' ')
	b = append(b, req.RequestURI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, req.Host...)
	b = append(b, "\r\n"...)
	for name, values := range req.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(req.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// readResponse reads the head of the response and skips responses to other requests.
func (c *conn) readResponse(req *Request) (*http.Response, error) {
	httpReq := &http.Request{Method: req.Method}
	for range maxReadResponses {
		resp, err := c.readHead(httpReq)
		if err != nil {
			return nil, err
		}
		if err := sillheader.CheckFields(resp.Header); err != nil {
			return nil, err
		}
		if sillheader.IsInformational(resp.StatusCode) {
			continue
		}
		if err := sillheader.CheckStatus(resp.StatusCode); err != nil {
			return nil, err
		}
		first := !c.used
		c.used = true
		if c.pool.cfg.ResponseMatches == nil || c.pool.cfg.ResponseMatches(req, resp.Header, first) {
			return resp, nil
		}
		if c.pool.cfg.OnSkipped != nil {
			c.pool.cfg.OnSkipped()
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, err
		}
		if n > maxSkippedBytes {
			return nil, errSkippedTooLong
		}
	}
	return nil, errTooManySkipped
}

// setUserTimeout sets TCP_USER_TIMEOUT, which Linux takes in milliseconds.
func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var set error
	err = raw.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
