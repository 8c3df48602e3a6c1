package silldev

import (
	"fmt"
	"strings"
)

// Examples returns commands that work against the deployment when pasted.
func (d *Deployment) Examples() string {
	url := "http://" + d.Gateway.Addresses.Callers
	auth := "-H 'Authorization: Bearer " + d.Keys[organisations[0].id] + "'"
	json := "-H 'Content-Type: application/json'"
	var b strings.Builder
	example := func(what, command string) {
		fmt.Fprintf(&b, "\n# %s\n%s\n", what, command)
	}
	example("a generation", fmt.Sprintf(`curl -s %s %s %s%s/v1/completions -d '{"prompt":"sing me a line","max_tokens":16}'`, auth, json, url, ModelRoute))
	example("a streamed chat", fmt.Sprintf(`curl -sN %s %s %s%s/v1/chat/completions -d '{"messages":[{"role":"user","content":"hello"}],"max_tokens":16,"stream":true}'`, auth, json, url, ModelRoute))
	example("a booking that runs at most once", fmt.Sprintf(`curl -s %s %s -H 'Idempotency-Key: evening-7' %s%s/bookings -d '{"room":7}'`, auth, json, url, ServiceRoute))
	example("a rollout of two groups", fmt.Sprintf(`curl -s %s %s %s/v1/rollouts -d '{"batch-id":"step-1","trainer":"%s","groups":[{"prompt":"cue one"},{"prompt":"cue two"}],"group-size":4,"max-tokens":32,"deadline-seconds":60,"partial":"deliver"}'`, auth, json, url, Trainer))
	example("its samples", fmt.Sprintf(`curl -s %s '%s/v1/rollouts/step-1/samples?max=8&wait-seconds=20'`, auth, url))
	example("the metrics", fmt.Sprintf(`curl -s http://%s/metrics`, d.Gateway.Addresses.Metrics))
	return b.String()
}
