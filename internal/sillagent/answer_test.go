package sillagent

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillwire"
)

// endless is a body that never ends.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

func checkKept(t *testing.T, n *run) {
	t.Helper()
	if kept := n.answer.bytes(); kept > maxAnswerBytes {
		t.Errorf("%d bytes are kept, want at most %d", kept, maxAnswerBytes)
	}
}

// TestEndlessAnswers guards against a target that sends bytes or tokens without end
// filling the memory of the agent.
func TestEndlessAnswers(t *testing.T) {
	t.Run("body", func(t *testing.T) {
		n := newTestRun("r", 1, true)
		result := (&Agent{}).copyAnswer(t.Context(), n, &http.Response{Body: io.NopCloser(endless{})})
		if result.failure == nil || result.brokeOff {
			t.Errorf("result %+v, want a failure that is no crash", result)
		}
		checkKept(t, n)
	})
	t.Run("tokens", func(t *testing.T) {
		n := newTestRun("r", 1, true)
		tokens := &sillwire.Tokens{Text: string(make([]byte, 1<<20)), IDs: []int32{1}}
		for range 2 * maxAnswerBytes >> 20 {
			_ = n.answer.append(false, tokens)
		}
		checkKept(t, n)
	})
}

// TestFailureClearsNoEvidence guards against a request that crashes its target being admitted
// because the target fails it instead, now and then.
func TestFailureClearsNoEvidence(t *testing.T) {
	for status, refused := range map[int]bool{http.StatusInternalServerError: true, http.StatusGatewayTimeout: true, http.StatusOK: false} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			a := &Agent{cfg: Config{Suspects: sillcrash.NewSharedTracker(time.Now)}}
			n := newTestRun("r", 1, true)
			for i := range 3 {
				running := []sillcrash.RunningRequest{{Fingerprint: n.req.Fingerprint, Started: time.Now()}}
				a.cfg.Suspects.RecordCrash(time.Now(), "t", fmt.Sprint(i), running)
				a.suspect(n, &outcome{status: status})
			}
			if got := a.cfg.Suspects.Check(n.req.Fingerprint) != nil; got != refused {
				t.Errorf("refused: %t, want %t", got, refused)
			}
		})
	}
}
