package silltransport

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// keepAlive finds a peer that lost power or whose connection went silent while
// an answer is awaited. TCP counts these times in whole seconds.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

const (
	// keepAliveMargin is taken off the time that a peer keeps a connection, for
	// a request that is under way when the time ends.
	keepAliveMargin = 100 * time.Millisecond
	// maxSkipped bounds the answers of other requests that are skipped on one connection.
	maxSkipped = 4
	// maxSkippedBytes bounds the body of an answer that is skipped.
	maxSkippedBytes = 1 << 20
	// inlineBody is the size up to which a body is written before the answer is
	// read: it fits into the smallest socket buffer.
	inlineBody = 8 << 10
)

var errTooManySkipped = errors.New("too many answers to other requests")

// past is a deadline that has passed; it wakes blocked reads and writes.
var past = time.Unix(1, 0)

// conn is one connection with at most one request on it.
type conn struct {
	pool    *Pool
	tcp     *net.TCPConn
	address string
	reader  *bufio.Reader
	// expires is when the connection may no longer be used for a new request.
	expires time.Time
	closed  sync.Once
}

func newConn(p *Pool, tcp *net.TCPConn, address string) *conn {
	return &conn{pool: p, tcp: tcp, address: address, reader: bufio.NewReaderSize(tcp, 4<<10)}
}

func (c *conn) close() {
	c.closed.Do(func() { _ = c.tcp.Close() })
}

// usable returns whether the peer still holds the connection open and has sent
// nothing since the last answer.
func (c *conn) usable(now time.Time) bool {
	return now.Before(c.expires) && c.reader.Buffered() == 0 && c.quiet()
}

// quiet peeks at the socket without waiting.
func (c *conn) quiet() bool {
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// exchange writes a request and reads the head of its answer.
func (c *conn) exchange(ctx context.Context, req *Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, func() { _ = c.tcp.SetDeadline(past) })
	fail := func(sent bool, err error) (*http.Response, error) {
		stop()
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: sent, Connected: true, Err: err}
	}
	if ctx.Err() != nil {
		return fail(false, ctx.Err())
	}
	written := c.write(req)
	if err := written.early(); err != nil {
		return fail(true, err)
	}
	resp, err := c.readAnswer(req)
	if err != nil {
		return fail(true, err)
	}
	body := &answerBody{conn: c, body: resp.Body, stop: stop, keep: !resp.Close && written.done(), ctx: ctx}
	body.keepFor(resp.Header)
	resp.Body = body
	return resp, nil
}

// writing is a request on its way.
type writing struct {
	// result gets the outcome of a write that runs beside the reading; nil if
	// the write is over.
	result chan error
	err    error
}

func (w *writing) early() error { return w.err }

// done returns whether the whole request is written.
func (w *writing) done() bool {
	if w.result == nil {
		return w.err == nil
	}
	select {
	case err := <-w.result:
		return err == nil
	default:
		return false
	}
}

// write writes a small request at once. A long body is written while the answer
// is read, since the peer may answer before it has read all.
func (c *conn) write(req *Request) *writing {
	head := encodeHead(req)
	if len(req.Body) <= inlineBody {
		_, err := c.tcp.Write(append(head, req.Body...))
		return &writing{err: err}
	}
	w := &writing{result: make(chan error, 1)}
	var group sync.WaitGroup
	group.Go(func() {
		buffers := net.Buffers{head, req.Body}
		_, err := buffers.WriteTo(c.tcp)
		w.result <- err
	})
	return w
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

// readAnswer reads the head of the answer, past answers of other requests.
func (c *conn) readAnswer(req *Request) (*http.Response, error) {
	asked := &http.Request{Method: req.Method}
	for range maxSkipped {
		resp, err := http.ReadResponse(c.reader, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if c.pool.cfg.ResponseMatches == nil || c.pool.cfg.ResponseMatches(req, resp.Header) {
			return resp, nil
		}
		if c.pool.cfg.OnSkipped != nil {
			c.pool.cfg.OnSkipped()
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes)); err != nil {
			return nil, err
		}
	}
	return nil, errTooManySkipped
}

// answerBody gives the connection back once the body is read to its end.
type answerBody struct {
	conn *conn
	body io.ReadCloser
	stop func() bool
	ctx  context.Context
	keep bool
	over bool
}

// keepFor sets how long the connection may rest after this answer.
func (b *answerBody) keepFor(h http.Header) {
	rest := b.conn.pool.cfg.IdleTimeout
	if named, ok := namedTimeout(h.Get("Keep-Alive")); ok {
		rest = named - keepAliveMargin
	}
	b.conn.expires = time.Now().Add(rest)
}

// namedTimeout reads the timeout of a Keep-Alive header.
func namedTimeout(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		s, err := strconv.Atoi(strings.TrimSpace(number))
		return time.Duration(s) * time.Second, err == nil
	}
	return 0, false
}

// Read reads the body. An answer that breaks off gives an error of type *Error.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.over {
		return 0, io.EOF
	}
	n, err := b.body.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		b.finish()
	case err != nil:
		if b.ctx.Err() != nil {
			err = b.ctx.Err()
		}
		err = &Error{Sent: true, Connected: true, Err: err}
	}
	return n, err
}

// finish puts the connection back, if it can carry another request.
func (b *answerBody) finish() {
	b.over = true
	if !b.stop() || !b.keep || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		return
	}
	rest := time.Until(b.conn.expires)
	if rest <= 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// Close drops the connection unless the body was read to its end.
func (b *answerBody) Close() error {
	if !b.over {
		b.over = true
		b.stop()
		b.conn.close()
	}
	return nil
}

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
