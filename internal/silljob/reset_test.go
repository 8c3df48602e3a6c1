package silljob

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// resets is how many attempts at an item are reset.
const resets = 2

// streamOf returns a response without a length that holds the events first to last-1 of a request.
func streamOf(request string, first, last int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nStand-Signature: s\r\nStand-Version: 1\r\n\r\n")
	for id := first; id < last; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id, sillstandtarget.EventData(sillid.RequestID(request), id))
	}
	return b.String()
}

// TestResetDuringAnItem guards against an item being completed with a part of its text because
// its connection was reset while it was still being written.
func TestResetDuringAnItem(t *testing.T) {
	c := newCluster(t, 0, nil)
	var attempts atomic.Int32
	engine, err := sillstandtarget.StartEarly(func(conn *net.TCPConn, r *http.Request) bool {
		request, next := r.Header.Get("Stand-Request"), 0
		if last, err := strconv.Atoi(r.Header.Get("Stand-Last-Event")); err == nil {
			next = last + 1
		}
		if attempts.Add(1) <= resets {
			sillstandtarget.AnswerEarly(conn, streamOf(request, next, next+1), sillstandtarget.Reset)
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, streamOf(request, next, resets+testEvents))
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	a := c.start("a")
	a.directory.Apply(silltarget.Entry{
		ID: "early", Pool: "p", Address: engine.Address(), State: silltarget.Ready, Slots: 2,
		StartedAt: time.UnixMilli(1), Versions: versions{testModel: 1},
	})
	sub := submission("job", 1)
	sub.Items[0].Body = make([]byte, sillstandtarget.UploadBytes)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 1), resets+testEvents)
}
