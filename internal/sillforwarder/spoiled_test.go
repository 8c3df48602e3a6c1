package sillforwarder

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillevent"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

const streamHead = "HTTP/1.1 200 OK\r\nStand-Signature: s\r\nContent-Type: text/event-stream\r\n"

// TestSpoiledStreams guards against bytes that are no event stream being passed on in a stream
// that then looks complete.
func TestSpoiledStreams(t *testing.T) {
	for _, tc := range []struct {
		name, sent string
		want       error
	}{
		{"data", "id: 1\ndata: a\n\nid: 2\ndata: \xff\xfe\n\n", sillevent.ErrNotText},
		{"end within a character", "id: 1\ndata: a\n\n\xe2\x82", sillevent.ErrNotText},
		{"line without end", "id: 1\ndata: a\n\n" + strings.Repeat("x", 2<<20), sillevent.ErrTooLong},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.directory.Apply(silltarget.Entry{
				ID: "raw", Pool: "p", Address: startRaw(t, streamHead+"\r\n"+tc.sent), State: silltarget.Ready, Slots: 4, StartedAt: time.UnixMilli(1),
			})
			resp, err := f.do(t.Context(), route(sillcatalog.Stream, 1), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Stream.Close() }()
			b, err := io.ReadAll(resp.Stream)
			if !errors.Is(err, tc.want) {
				t.Errorf("error %v, want %v", err, tc.want)
			}
			if strings.Contains(string(b), "\xff") {
				t.Errorf("%q was passed on", b)
			}
		})
	}
}
