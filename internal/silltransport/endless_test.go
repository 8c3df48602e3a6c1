package silltransport

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

// maxAllocatedBytes bounds the memory that one endless response may cost. A gateway
// may have 184 MB and meet some at once.
const maxAllocatedBytes = 8 << 20

// writeForever writes a start, and then more until the connection is closed.
func writeForever(conn net.Conn, start, more string) {
	chunk := []byte(strings.Repeat(more, 1+64<<10/len(more)))
	_, err := io.WriteString(conn, start)
	for err == nil {
		_, err = conn.Write(chunk)
	}
}

func allocatedBytes() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.TotalAlloc
}

// TestEndlessResponses guards against a server that sends bytes without end filling the
// memory of the process.
func TestEndlessResponses(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tc := range []struct{ name, start, more string }{
		{"status line", "HTTP/1.1 200 ", "x"},
		{"no protocol", "", "x"},
		{"header name", "HTTP/1.1 200 OK\r\n", "x"},
		{"header value", "HTTP/1.1 200 OK\r\nA: ", "x"},
		{"header lines", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"folded header lines", "HTTP/1.1 200 OK\r\nA: b\r\n", " c\r\n"},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"header lines of an informational response", "HTTP/1.1 100 Continue\r\n", "A: b\r\n"},
		{"responses to other requests", "", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\n"},
		{"body of another response", "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "x"},
		{"chunk size", chunked, "0"},
		{"chunk extension", chunked + "1;", "x"},
		{"trailer", chunked + "1\r\nx\r\n0\r\n", "A: b\r\n"},
		{"trailer value", chunked + "1\r\nx\r\n0\r\nA: ", "x"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPeer(t, func(conn net.Conn, _ string) bool {
				writeForever(conn, tc.start, tc.more)
				return false
			})
			pool := NewPool(Config{
				ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute,
				ResponseMatches: func(_ *Request, h http.Header, _ bool) bool { return h.Get("Id") != "other" },
			})
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			before := allocatedBytes()
			resp, err := pool.Send(ctx, p.listener.Addr().String(), &Request{Method: http.MethodGet, RequestURI: "/", Host: "h"})
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			if err == nil || errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("error %v, want one before the deadline", err)
			}
			if n := allocatedBytes() - before; n > maxAllocatedBytes {
				t.Errorf("%d MiB were allocated, want at most %d", n>>20, maxAllocatedBytes>>20)
			}
		})
	}
}
