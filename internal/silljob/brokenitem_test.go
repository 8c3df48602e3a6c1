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

// brokenAttempts is how many attempts at an item get a broken response.
const brokenAttempts = 2

// streamOf returns a response without a length that holds the events first to last-1 of a request.
func streamOf(request string, first, last int) string {
	var b strings.Builder
	b.WriteString("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nStand-Signature: s\r\nStand-Version: 1\r\n\r\n")
	for id := first; id < last; id++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", id, sillstandtarget.EventData(sillid.RequestID(request), id))
	}
	return b.String()
}

// malformedStream returns a malformed response, by its name, with an event of another generation.
func malformedStream(name string, event int) string {
	const fields = "Content-Type: text/event-stream\r\nStand-Signature: s\r\nStand-Version: 1\r\n"
	return sillstandtarget.MalformedAnswers(fields, fmt.Sprintf("id: %d\ndata: wrong\n\n", event))[name]
}

// TestBrokenItems guards against an item being completed with a part of its text because its
// connection was reset while it was still being written, or with the text of a malformed response.
func TestBrokenItems(t *testing.T) {
	for name, broken := range map[string]func(request string, next int) string{
		"reset during an upload": func(request string, next int) string { return streamOf(request, next, next+1) },
		"status 000":             func(_ string, next int) string { return malformedStream("status 000 before an answer", next) },
		"blank in a name":        func(_ string, next int) string { return malformedStream("blank in a name", next) },
		"control byte in a name": func(_ string, next int) string { return malformedStream("control byte in a name", next) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkBrokenItem(t, broken)
		})
	}
}

// checkBrokenItem checks that an item gets its whole text from an engine whose first responses
// are broken and whose connections are reset after them.
func checkBrokenItem(t *testing.T, broken func(request string, next int) string) {
	t.Helper()
	c := newCluster(t, 0, nil)
	var attempts atomic.Int32
	engine, err := sillstandtarget.StartEarly(func(conn *net.TCPConn, r *http.Request) bool {
		request, next := r.Header.Get("Stand-Request"), 0
		if last, err := strconv.Atoi(r.Header.Get("Stand-Last-Event")); err == nil {
			next = last + 1
		}
		if attempts.Add(1) <= brokenAttempts {
			sillstandtarget.AnswerEarly(conn, broken(request, next), sillstandtarget.Reset)
			return false
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, streamOf(request, next, brokenAttempts+testEvents))
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
	checkComplete(t, sub, a.results(t, "job", 1), brokenAttempts+testEvents)
}
