// Package sillclient creates HTTP clients that take no broken response for a whole one.
package sillclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/sillsocket"
)

// maxHeadBytes bounds the status line and header of a response.
const maxHeadBytes = 64 << 10

// New returns a client that sends requests with a transport, which must not be used otherwise.
// New sets how the transport connects and how long the head of a response may be. The client
// returns sillheader.ErrMalformed for a response with a head that the protocol doesn't allow.
func New(transport *http.Transport) *http.Client {
	transport.DialContext = dial
	transport.MaxResponseHeaderBytes = maxHeadBytes
	// With a DialContext, net/http uses HTTP/2 only where it is told to.
	transport.ForceAttemptHTTP2 = transport.TLSClientConfig == nil
	return &http.Client{Transport: &checkedTransport{transport}}
}

// checkedTransport checks the heads of responses.
type checkedTransport struct {
	transport *http.Transport
}

// RoundTrip implements http.RoundTripper.
func (t *checkedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used net.Conn
	// malformed is the error of an informational response.
	var malformed atomic.Pointer[error]
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used = info.Conn },
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			err := sillheader.CheckFields(http.Header(h))
			if err != nil {
				malformed.Store(&err)
			}
			return err
		},
	}
	resp, err := t.transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		if m := malformed.Load(); m != nil {
			// The transport may return the error of the write that it interrupted.
			return nil, *m
		}
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		_ = resp.Body.Close()
		// A response without a body has left the connection to the next request.
		_ = used.Close()
		return nil, err
	}
	return resp, nil
}

// checkHead checks the head of a final response.
func checkHead(resp *http.Response) error {
	if err := sillheader.CheckStatus(resp.StatusCode); err != nil {
		return err
	}
	return sillheader.CheckFields(resp.Header)
}

// CloseIdleConnections implements the method of the same name of http.Client.
func (t *checkedTransport) CloseIdleConnections() { t.transport.CloseIdleConnections() }

// dial connects to an address, so that a connection that was lost doesn't look as if its peer
// had ended it in order.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return sillsocket.NewConn(tcp), nil
	}
	return conn, nil
}
