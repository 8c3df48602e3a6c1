package silljob

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// TestScorerWithErrorsLosesNoItems guards against items that are given up since one of several
// scorers answers each request with an error at once: it always has free slots, and the score
// requests use up their attempts there.
func TestScorerWithErrorsLosesNoItems(t *testing.T) {
	c := newCluster(t, 4, completeStream)
	c.unsoundTargets = true
	bad := sillstandtarget.Start("a-bad-scorer", func(call, int) behaviour {
		return behaviour{Status: http.StatusInternalServerError}
	})
	t.Cleanup(bad.Close)
	a := c.start("a")
	a.directory.Apply(bad.Entry("scorers", 8, nil))
	sub := submission("job", 24)
	for i := range sub.Items {
		sub.Items[i].ScoreRequest.Body = fmt.Appendf(nil, "text %d", i)
	}
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", len(sub.Items)), testEvents)
}

// TestEngineWithErrorsLosesNoItems guards against items that use up their attempts at one of
// several engines.
func TestEngineWithErrorsLosesNoItems(t *testing.T) {
	c := newCluster(t, 3, func(engine int, ca call, n int) behaviour {
		if engine == 0 {
			return behaviour{Status: http.StatusInternalServerError}
		}
		return completeStream(engine, ca, n)
	})
	c.unsoundTargets = true
	a := c.start("a")
	sub := submission("job", 24)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", len(sub.Items)), testEvents)
	if calls := len(c.engines[0].Calls()); calls > len(sub.Items)/2 {
		t.Errorf("the failing engine got %d calls for %d items", calls, len(sub.Items))
	}
}

// TestItemsLeaveEnginesWithErrors guards against an item that is sent again to the engine that
// answered it with an error, and against one that leaves the engine where the settings don't say that
// targets may be unsound.
func TestItemsLeaveEnginesWithErrors(t *testing.T) {
	for _, unsound := range []bool{true, false} {
		t.Run(fmt.Sprintf("unsound %t", unsound), func(t *testing.T) {
			c := newCluster(t, 2, func(engine int, ca call, n int) behaviour {
				if engine == 0 {
					return behaviour{Status: http.StatusInternalServerError}
				}
				return completeStream(engine, ca, n)
			})
			c.unsoundTargets = unsound
			a := c.start("a")
			sub := submission("job", 1)
			a.submit(t, sub)
			a.results(t, "job", len(sub.Items))
			want := [2]int{sub.MaxFailedAttempts, 0}
			if unsound {
				want = [2]int{1, 1}
			}
			if got := [2]int{len(c.engines[0].Calls()), len(c.engines[1].Calls())}; got != want {
				t.Errorf("the engines got %v calls, want %v", got, want)
			}
		})
	}
}
