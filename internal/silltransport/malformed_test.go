package silltransport

import (
	"io"
	"maps"
	"net"
	"net/http"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// malformedWith returns malformed answers to the request "bad".
func malformedWith() map[string]string {
	return sillstandtarget.MalformedAnswers("Id: bad\r\n", "ok")
}

// TestMalformedHeads guards against a response whose head the protocol doesn't allow being
// passed on, and against the bytes after such a head being taken for the next response.
func TestMalformedHeads(t *testing.T) {
	early := map[string]string{}
	for name, malformed := range malformedWith() {
		early[name+", after an informational response"] = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + malformed
	}
	maps.Copy(early, malformedWith())
	for name, malformed := range early {
		for order, bodyBytes := range map[string]int{"first": 4, "later": 4, "during an upload, first": uploadBytes, "during an upload, later": uploadBytes} {
			t.Run(name+", "+order, func(t *testing.T) {
				t.Parallel()
				address := startEarly(t, func(conn *net.TCPConn, r *http.Request) bool {
					id := r.Header.Get("Id")
					if id != "bad" {
						_, _ = io.WriteString(conn, responseWith(id, "", "ok"))
						return true
					}
					_, _ = io.WriteString(conn, malformed)
					_ = conn.CloseWrite()
					_, _ = io.Copy(io.Discard, r.Body)
					return false
				})
				pool := newTestPool(sameID)
				if order == "later" || order == "during an upload, later" {
					checkBody(t, pool, address, "1", "ok")
				}
				req := request("bad")
				req.Body = make([]byte, bodyBytes)
				if status, body, err := send(t, pool, address, req); err == nil || NotSent(err) {
					t.Errorf("got %d, %q, %v; want an error of a request that was sent", status, body, err)
				}
				checkBody(t, pool, address, "2", "ok")
			})
		}
	}
}

// TestOddHeads guards against heads that are unusual but allowed being refused.
func TestOddHeads(t *testing.T) {
	for name, tc := range sillstandtarget.OddAnswers("Id: 1\r\n", "ok") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, func(c net.Conn, _ string) bool {
				_, _ = io.WriteString(c, tc.Bytes)
				return false
			})
			status, body, err := send(t, newTestPool(sameID), p.address(), request("1"))
			if err != nil || status != tc.Status || body != "ok" {
				t.Errorf("got %d, %q, %v; want %d and the whole body", status, body, err, tc.Status)
			}
		})
	}
}
