package sillagent

import (
	"io"
	"net/http"
	"testing"

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
