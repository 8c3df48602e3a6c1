package silltransport

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// responseBody returns the connection to the pool once the body is read to its end.
type responseBody struct {
	conn *conn
	body io.ReadCloser
	// stop unregisters the function that interrupts the connection at the end of ctx.
	stop func() bool
	ctx  context.Context
	// reusable is whether the connection may carry another request.
	reusable bool
	// ended is whether the body was read to its end or closed.
	ended bool
}

// setExpiry sets until when the connection may stay idle after this response.
func (b *responseBody) setExpiry(h http.Header) {
	timeout := b.conn.pool.cfg.IdleTimeout
	if announced, ok := parseKeepAliveTimeout(h.Get("Keep-Alive")); ok {
		timeout = announced - idleTimeoutMargin
	}
	b.conn.expires = time.Now().Add(timeout)
}

// parseKeepAliveTimeout reads the timeout of a Keep-Alive header.
func parseKeepAliveTimeout(value string) (time.Duration, bool) {
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

// Read reads the body. If the response is incomplete, the error is of type *Error.
func (b *responseBody) Read(p []byte) (int, error) {
	if b.ended {
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

// finish returns the connection to the pool if it can carry another request, and
// closes it otherwise.
func (b *responseBody) finish() {
	b.ended = true
	if !b.stop() || !b.reusable || b.conn.reader.Buffered() > 0 {
		b.conn.close()
		return
	}
	remaining := time.Until(b.conn.expires)
	if remaining <= 0 {
		b.conn.close()
		return
	}
	b.conn.pool.put(b.conn)
}

// Close closes the connection unless the body was read to its end.
func (b *responseBody) Close() error {
	if !b.ended {
		b.ended = true
		b.stop()
		b.conn.close()
	}
	return nil
}
