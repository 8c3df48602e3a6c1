package sillstandin

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// aborted runs a handler and returns whether it aborted its connection.
func aborted(h http.HandlerFunc) (cut bool) {
	defer func() { cut = recover() != nil }()
	h(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", http.NoBody))
	return false
}

func TestCrashEndsCallsWithoutAServer(t *testing.T) {
	p := NewPanel(PanelConfig{Areas: []string{"work", "still"}})
	if err := p.Set(map[string]Faults{"still": {Silent: true}}); err != nil {
		t.Fatal(err)
	}
	started := make(chan struct{}, 2)
	work := p.Wrap("work", func(_ http.ResponseWriter, r *http.Request) {
		started <- struct{}{}
		<-r.Context().Done()
	})
	still := p.Wrap("still", func(http.ResponseWriter, *http.Request) { t.Error("a silent call took effect") })
	cuts := make(chan bool, 2)
	g := sillgroup.New(t.Context())
	defer g.Wait()
	g.Go(func(context.Context) { cuts <- aborted(work) })
	g.Go(func(context.Context) { started <- struct{}{}; cuts <- aborted(still) })
	<-started
	<-started
	// The silent call may begin after the crash; a second crash ends it too.
	for range 2 {
		for ended := false; !ended; {
			p.Crash()
			select {
			case cut := <-cuts:
				if !cut {
					t.Fatal("a call was answered over a crash")
				}
				ended = true
			default:
			}
		}
	}
}

func TestFailShareIsTheSameForOneSeed(t *testing.T) {
	pattern := func(seed uint64) string {
		p := NewPanel(PanelConfig{Areas: []string{"work"}, Seed: seed})
		if err := p.Set(map[string]Faults{"work": {FailShare: 0.5}}); err != nil {
			t.Fatal(err)
		}
		h := p.Wrap("work", func(http.ResponseWriter, *http.Request) {})
		text := ""
		for range 64 {
			rec := httptest.NewRecorder()
			h(rec, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
			text += http.StatusText(rec.Code)[:1]
		}
		return text
	}
	one, again, other := pattern(1), pattern(1), pattern(2)
	if one != again || one == other {
		t.Fatal("refusals do not follow the seed")
	}
}
