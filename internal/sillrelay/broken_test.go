package sillrelay

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltransport"
)

// behindPeer returns a relay that reaches the table only through a peer that answers as respond
// does.
func behindPeer(t *testing.T, respond func(conn *net.TCPConn, r *http.Request) bool) *Relay {
	t.Helper()
	peer, err := sillstandtarget.StartEarly(respond)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(peer.Close)
	r := New(Config{
		Log: zap.NewNop(), Peers: func() []string { return []string{peer.Address()} },
		Pool: silltransport.NewPool(silltransport.Config{ConnectTimeout: time.Second, TCPUserTimeout: time.Second, IdleTimeout: time.Minute}),
	})
	r.setUnreachable(silltable.ErrUnavailable)
	return r
}

// checkNoResponse checks that neither a read nor a write gets a response.
func checkNoResponse(t *testing.T, r *Relay) {
	t.Helper()
	if row, err := r.Table().Get(t.Context(), "t/k"); !errors.Is(err, silltable.ErrUnavailable) {
		t.Errorf("Get() = %+v, %v; want ErrUnavailable", row, err)
	}
	txn := write("t/k", string(make([]byte, sillstandtarget.UploadBytes)))
	if revisions, err := r.Table().Commit(t.Context(), txn); !errors.Is(err, silltable.ErrUnknown) {
		t.Errorf("Commit() = %v, %v; want ErrUnknown", revisions, err)
	}
}

func encodedResult(t *testing.T) string {
	t.Helper()
	b, err := cbor.Marshal(wireResult{Rows: []silltable.Row{{Key: "t/k", Revision: 7}}, Revisions: []silltable.Revision{7}})
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// TestMalformedHeadsOfPeers guards against a response of a peer whose head the protocol doesn't
// allow being taken for that of the table.
func TestMalformedHeadsOfPeers(t *testing.T) {
	for name, malformed := range sillstandtarget.MalformedAnswers("", encodedResult(t)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkNoResponse(t, behindPeer(t, func(conn *net.TCPConn, r *http.Request) bool {
				_, _ = io.WriteString(conn, malformed)
				_, _ = io.Copy(io.Discard, r.Body)
				return false
			}))
		})
	}
}

// TestPeerThatResets guards against a part of a peer's response being taken for that of the
// table.
func TestPeerThatResets(t *testing.T) {
	whole := encodedResult(t)
	for name, response := range map[string]string{
		"part of the body": "HTTP/1.1 200 OK\r\n\r\n" + whole[:len(whole)-2],
		"no body":          "HTTP/1.1 200 OK\r\n\r\n",
		"whole body":       "HTTP/1.1 200 OK\r\n\r\n" + whole,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkNoResponse(t, behindPeer(t, func(conn *net.TCPConn, _ *http.Request) bool {
				sillstandtarget.AnswerEarly(conn, response, sillstandtarget.Reset)
				return false
			}))
		})
	}
}
