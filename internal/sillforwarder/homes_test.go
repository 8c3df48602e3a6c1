package sillforwarder

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// put moves a target to a zone, whose region has the same name.
func (f *fixture) put(target int, zone sillid.ZoneID) {
	e := f.targets[target].Entry("p", 4, nil)
	e.Zone = zone
	f.directory.Apply(e)
}

func (f *fixture) doAtHome(t *testing.T, r *sillcatalog.Route, owed bool) (*Response, error) {
	t.Helper()
	now := time.Now()
	return f.forwarder.Do(t.Context(), &Request{
		ID: "req", Route: r, Pool: "p", Method: http.MethodPost, RequestURI: "/x", Host: "h",
		Header: make(http.Header), Body: []byte("in"), Arrived: now, Deadline: now.Add(5 * time.Second),
		Owed: owed, AllowLate: owed, Homes: sillhome.New([]sillid.RegionID{"home"}),
	})
}

// TestHomesHoldForRetries guards against a first attempt or a retry outside the home regions,
// of a caller's request and of a score request.
func TestHomesHoldForRetries(t *testing.T) {
	for name, owed := range map[string]bool{"caller": false, "score": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, behaviour{NotRun: true}, behaviour{}, behaviour{})
			f.put(0, "home")
			f.put(1, "away")
			for range 10 {
				// The only target at home rejects it.
				if resp, err := f.doAtHome(t, route(sillcatalog.Idempotent, 3), owed); err == nil {
					t.Fatalf("response %+v", resp)
				}
			}
			f.put(2, "home")
			resp, err := f.doAtHome(t, route(sillcatalog.Idempotent, 3), owed)
			checkResponse(t, resp, err)
			if n := len(f.targets[1].Calls()); n > 0 {
				t.Errorf("%d requests reached a target outside their home regions", n)
			}
		})
	}
}

// TestNoTargetAtHome checks that a request is refused at once if its home regions have no
// target.
func TestNoTargetAtHome(t *testing.T) {
	f := newFixture(t, behaviour{})
	f.put(0, "away")
	r := route(sillcatalog.Idempotent, 3)
	// A request would wait for a target for 2 s.
	r.LatencyObjective = 10 * time.Second
	began := time.Now()
	_, err := f.doAtHome(t, r, false)
	var refusal *Refusal
	if !errors.As(err, &refusal) || !refusal.NotRun || refusal.RetryAfter == 0 {
		t.Errorf("error %v, want a refusal", err)
	}
	if took := time.Since(began); took > time.Second || f.calls() > 0 {
		t.Errorf("refused after %v and %d calls", took, f.calls())
	}
}
