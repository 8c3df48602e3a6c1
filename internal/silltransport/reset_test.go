package silltransport

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

const (
	// uploadBytes is more than the buffers of a connection take, so that the write of a
	// request is still running when its response comes.
	uploadBytes = 16 << 20
	// settleTime is how long a test lets a connection that has ended come to rest.
	settleTime = 30 * time.Millisecond
)

// startEarly starts a peer that answers requests before it has read their bodies.
func startEarly(t *testing.T, respond func(conn *net.TCPConn, r *http.Request) bool) string {
	t.Helper()
	target, err := sillstandtarget.StartEarly(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return target.Address()
}

// upload sends a long request and reads its response once the peer has ended the connection.
func upload(t *testing.T, p *Pool, address string, ended <-chan struct{}) (string, error) {
	t.Helper()
	req := request("upload")
	req.Body = make([]byte, uploadBytes)
	resp, err := p.Send(t.Context(), address, req)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	<-ended
	time.Sleep(settleTime)
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestResetDuringAnUpload guards against a response whose connection was reset while its
// request was still being written looking complete.
func TestResetDuringAnUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: upload\r\n"
	for _, tc := range []struct{ name, response string }{
		{"without a length", head + "\r\npart"},
		{"without a length, close", head + "Connection: close\r\n\r\npart"},
		{"without a length, no body yet", head + "\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nId: upload\r\n\r\npart"},
		{"after an informational response", "HTTP/1.1 100 Continue\r\n\r\n" + head + "\r\npart"},
		{"a failure without a length", "HTTP/1.1 500 Oops\r\nId: upload\r\n\r\npart"},
		{"with a length", head + "Content-Length: 9\r\n\r\npart"},
		{"chunked", head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"},
	} {
		for _, order := range []string{"first", "later"} {
			t.Run(tc.name+", "+order+" response", func(t *testing.T) {
				t.Parallel()
				ended := make(chan struct{})
				address := startEarly(t, func(conn *net.TCPConn, r *http.Request) bool {
					if r.Header.Get("Id") != "upload" {
						_, _ = io.WriteString(conn, responseWith(r.Header.Get("Id"), "", "ok"))
						return true
					}
					_, _ = io.WriteString(conn, tc.response)
					// The response arrives; the write of the request has filled the buffers.
					time.Sleep(settleTime)
					sillstandtarget.Reset(conn)
					close(ended)
					return false
				})
				pool := newTestPool(sameID)
				if order == "later" {
					checkBody(t, pool, address, "1", "ok")
				}
				if body, err := upload(t, pool, address, ended); err == nil || NotSent(err) {
					t.Errorf("got %q, %v; want an error of a request that was sent", body, err)
				}
			})
		}
	}
}

// TestEndDuringAnUpload guards against a response that its peer ended in order, before it had
// read the request, being taken for an incomplete one.
func TestEndDuringAnUpload(t *testing.T) {
	const head = "HTTP/1.1 413 Too Large\r\nId: upload\r\n"
	for _, tc := range []struct {
		name, response string
		// reset is whether the connection is reset after its end.
		reset bool
	}{
		{"without a length", head + "\r\nwhole", false},
		{"without a length, reset after the end", head + "\r\nwhole", true},
		{"with a length", head + "Content-Length: 5\r\n\r\nwhole", false},
		{"with a length, reset after the end", head + "Content-Length: 5\r\n\r\nwhole", true},
		{"chunked, reset after the end", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ended, read := make(chan struct{}), make(chan struct{})
			defer close(read)
			address := startEarly(t, func(conn *net.TCPConn, _ *http.Request) bool {
				_, _ = io.WriteString(conn, tc.response)
				_ = conn.CloseWrite()
				time.Sleep(settleTime)
				if tc.reset {
					sillstandtarget.Reset(conn)
				}
				close(ended)
				<-read
				return false
			})
			if body, err := upload(t, newTestPool(sameID), address, ended); err != nil || body != "whole" {
				t.Errorf("got %q, %v; want the whole response", body, err)
			}
		})
	}
}

// TestEndAfterTheRequest guards against a response without a length whose connection was reset
// after the request had been written looking complete.
func TestEndAfterTheRequest(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			t.Parallel()
			address := startEarly(t, func(conn *net.TCPConn, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart")
				time.Sleep(settleTime)
				if reset {
					sillstandtarget.Reset(conn)
				}
				return false
			})
			_, body, err := send(t, newTestPool(sameID), address, request("1"))
			if complete := err == nil; complete == reset {
				t.Errorf("got %q, %v; reset: %t", body, err, reset)
			}
		})
	}
}
