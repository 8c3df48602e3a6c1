package silljob

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// brokenScores is how many responses of a scorer are broken: which system call learns of a reset
// is a matter of microseconds.
const brokenScores = 6

// TestBrokenScores guards against the signature in a broken response of a scorer becoming the
// score of an item.
func TestBrokenScores(t *testing.T) {
	const (
		signed      = "Stand-Signature: wrong\r\n"
		soundAnswer = "HTTP/1.1 200 OK\r\nStand-Signature: signed-scorer\r\nContent-Length: 5\r\n\r\nsound"
	)
	malformed := sillstandtarget.MalformedAnswers(signed, "score")
	for name, broken := range map[string]string{
		"reset during an upload":      "HTTP/1.1 200 OK\r\n" + signed + "\r\npart",
		"status 000":                  malformed["status 000"],
		"blank before the colon":      malformed["blank before the colon, length"],
		"control byte in a name":      malformed["control byte in a name"],
		"status 000 before an answer": malformed["status 000 before an answer"],
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, completeStream)
			var calls atomic.Int32
			scorer, err := sillstandtarget.StartEarly(func(conn *net.TCPConn, r *http.Request) bool {
				if calls.Add(1) <= brokenScores {
					sillstandtarget.AnswerEarly(conn, broken, sillstandtarget.Reset)
					return false
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(conn, soundAnswer)
				return false
			})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(scorer.Close)
			a := c.start("a")
			// A later start replaces the scorer of the cluster.
			a.directory.Apply(silltarget.Entry{
				ID: c.scorer.ID, Pool: "scorers", Address: scorer.Address(), State: silltarget.Ready, Slots: 8, StartedAt: time.UnixMilli(2),
			})
			sub := submission("job", 1)
			sub.Items[0].ScoreRequest.Body = slices.Repeat([]byte("s"), sillstandtarget.UploadBytes)
			a.submit(t, sub)
			checkComplete(t, sub, a.results(t, "job", 1), testEvents)
		})
	}
}
