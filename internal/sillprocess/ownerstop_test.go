package sillprocess

import (
	"net/http"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillsettings"
)

func TestStoppedOwnerLeavesNoSampleRunning(t *testing.T) {
	t.Parallel()
	s := rolloutSize(1)
	s.tune = func(s *sillsettings.Gateway) {
		s.Control.Lease = leaseSeconds
		s.Control.StopNotice = 0
	}
	c := newCluster(t, s)
	c.awaitServing()
	c.publish(c.gateways[0], firstVersion)
	body := `{"batch-id":"left","trainer":"trainer","groups":[{"prompt":"long"}],"group-size":8,"max-tokens":2000,"deadline-seconds":120,"partial":"drop"}`
	checkStatus(t, c.send(c.gateways[0], request{organisation: "hall", path: "/v1/rollouts", body: body}), http.StatusAccepted)
	c.busy("cue-lm")
	c.gateways[0].process.terminate(t)
	for _, tg := range c.targets {
		if open := c.openRuns(tg); open != 0 {
			t.Errorf("%s runs %d samples that no gateway reads", tg.id, open)
		}
	}
}
