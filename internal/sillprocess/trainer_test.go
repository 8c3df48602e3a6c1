package sillprocess

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The shape of the tests' batches: the engines need 1 to 2 s for a sample.
const (
	batchGroups    = 2
	batchGroupSize = 4
	batchSamples   = batchGroups * batchGroupSize
	batchMaxTokens = 60
	trainerBound   = 2
	firstVersion   = sillid.WeightVersion(1)
	leaseSeconds   = 3
	// fetchLimit bounds the calls of a trainer for one batch.
	fetchLimit = 400
)

// rolloutSize is a cluster for rollouts with slow engines.
func rolloutSize(gateways int) size {
	return size{
		engines: 2, gateways: gateways, relays: true,
		engineArgs: []string{"--tokens-per-second", "40"},
		tune:       func(s *sillsettings.Gateway) { s.Control.Lease = leaseSeconds },
		edit: func(b *sillbundle.Bundle) {
			second := b.Trainers[0]
			second.ID = "second"
			b.Trainers = append(b.Trainers, second)
		},
	}
}

// trainer is a trainer that keeps what it took of one batch. It holds the last
// delivery, as docs/INTERFACES.md asks of trainers.
type trainer struct {
	c     *cluster
	t     *testing.T
	id    sillid.TrainerID
	batch sillid.BatchID
	// version is the trainer's current version, as the test published it.
	version sillid.WeightVersion
	// bodies holds the samples of each delivery, byte for byte.
	bodies  map[string]string
	samples map[sillid.SampleID]sillrollout.Sample
	// unacked is the delivery that the trainer holds without acknowledgement.
	unacked string
	done    bool
}

// newRolloutCluster returns a cluster whose trainers may ask for samples.
func newRolloutCluster(t *testing.T, gateways int) *cluster {
	t.Helper()
	c := newCluster(t, rolloutSize(gateways))
	c.awaitServing()
	return c
}

// submit publishes the first version and asks for a batch.
func (c *cluster) submit(t *testing.T, id sillid.TrainerID) *trainer {
	t.Helper()
	tr := &trainer{
		c: c, t: t, id: id, batch: sillid.BatchID(string(id) + "-step"),
		bodies: map[string]string{}, samples: map[sillid.SampleID]sillrollout.Sample{},
	}
	tr.publish(firstVersion)
	groups := make([]map[string]string, batchGroups)
	for g := range groups {
		groups[g] = map[string]string{"prompt": fmt.Sprintf("%s tells story %d", id, g)}
	}
	body, err := json.Marshal(map[string]any{
		"batch-id": tr.batch, "trainer": id, "groups": groups, "group-size": batchGroupSize,
		"max-tokens": batchMaxTokens, "deadline-seconds": 120, "partial": "drop",
	})
	check(t, err)
	tr.persist("the batch is taken", request{path: "/v1/rollouts", body: string(body)})
	return tr
}

// call sends a request to the first gateway that answers.
func (tr *trainer) call(r request) answer {
	r.organisation = "hall"
	var a answer
	for _, g := range tr.c.gateways {
		if a = tr.c.send(g, r); a.err == nil {
			return a
		}
	}
	return a
}

// persist repeats a call until it succeeds.
func (tr *trainer) persist(what string, r request) {
	tr.t.Helper()
	eventually(tr.t, what, func() bool { return tr.call(r).status/100 == 2 })
}

// publish moves the trainer's version; a repeated call finds it moved.
func (tr *trainer) publish(version sillid.WeightVersion) {
	tr.t.Helper()
	body := fmt.Sprintf(`{"model":"cue-lm","version":%d}`, version)
	eventually(tr.t, "the version is published", func() bool {
		a := tr.call(request{path: "/v1/weights", body: body})
		return a.status/100 == 2 || a.status == http.StatusConflict
	})
	tr.version = version
}

// swapUnordered loads a version behind the agents' backs.
func (c *cluster) swapUnordered(version sillid.WeightVersion) {
	c.t.Helper()
	for _, tg := range c.targets {
		c.control(tg.url+"/v1/orders", map[string]any{
			"order-id": sillid.Fresh("order"), "action": "load-weights", "model": "cue-lm", "version": version,
		})
	}
}

func (tr *trainer) samplesCall() request {
	return request{method: http.MethodGet, path: fmt.Sprintf("/v1/rollouts/%s/samples?max=256&wait-seconds=1", tr.batch)}
}

// fetch asks for a delivery once and checks it.
func (tr *trainer) fetch() {
	tr.t.Helper()
	a := tr.call(tr.samplesCall())
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	var d struct {
		ID      string          `json:"delivery-id"`
		Samples json.RawMessage `json:"samples"`
		Done    bool            `json:"done"`
	}
	check(tr.t, json.Unmarshal([]byte(a.body), &d))
	if d.ID == "" {
		tr.done = d.Done
		return
	}
	tr.take(d.ID, string(d.Samples))
}

// take takes one delivery in; one with a known id must be the same.
func (tr *trainer) take(id, body string) {
	tr.t.Helper()
	tr.unacked = id
	if known, ok := tr.bodies[id]; ok {
		if known != body {
			tr.t.Errorf("delivery %s changed", id)
		}
		return
	}
	tr.bodies[id] = body
	var samples []sillrollout.Sample
	check(tr.t, json.Unmarshal([]byte(body), &samples))
	for _, s := range samples {
		if _, ok := tr.samples[s.ID]; ok {
			tr.t.Errorf("sample %s came in a second delivery", s.ID)
		}
		tr.samples[s.ID] = s
		tr.checkSample(s)
	}
}

func (tr *trainer) ack() {
	if tr.unacked == "" {
		return
	}
	a := tr.call(request{path: fmt.Sprintf("/v1/rollouts/%s/acks", tr.batch), body: fmt.Sprintf(`{"delivery-id":%q}`, tr.unacked)})
	if a.err == nil && a.status == http.StatusOK {
		tr.unacked = ""
	}
}

// finish takes and acknowledges deliveries until the batch is done.
func (tr *trainer) finish() {
	tr.t.Helper()
	finishAll(tr.t, tr)
}

// finishAll lets several trainers take turns until each batch is done.
func finishAll(t *testing.T, trainers ...*trainer) {
	t.Helper()
	open := slices.Clone(trainers)
	for range fetchLimit {
		for _, tr := range open {
			tr.fetch()
			tr.ack()
		}
		open = slices.DeleteFunc(open, func(tr *trainer) bool { return tr.done })
		if len(open) == 0 {
			break
		}
	}
	for _, tr := range trainers {
		if !tr.done || len(tr.samples) != batchSamples {
			t.Errorf("%s: done is %v with %d samples, want %d", tr.batch, tr.done, len(tr.samples), batchSamples)
		}
	}
}

// checkSample holds a sample against the tokens that its named versions make
// and the trainer's version at the time of the call.
func (tr *trainer) checkSample(s sillrollout.Sample) {
	tr.t.Helper()
	if s.Text != sillstandengine.TextOf(s.TokenIDs) {
		tr.t.Errorf("sample %s: the text is not that of its tokens", s.ID)
	}
	if want := min(sillstandengine.StopLength(s.Prompt, 0), batchMaxTokens); len(s.TokenIDs) != want {
		tr.t.Errorf("sample %s has %d tokens, want %d", s.ID, len(s.TokenIDs), want)
	}
	position := 0
	for _, span := range s.Spans {
		if int(span.From) != position {
			tr.t.Errorf("sample %s: spans leave a gap or overlap at %d", s.ID, position)
		}
		for ; position < min(int(span.To), len(s.TokenIDs)); position++ {
			if sillstandengine.TokenAt(s.Prompt, 0, position, span.Version) != s.TokenIDs[position] {
				tr.t.Errorf("sample %s: version %d did not make token %d", s.ID, span.Version, position)
				return
			}
		}
	}
	if position != len(s.TokenIDs) {
		tr.t.Errorf("sample %s: spans name %d of %d tokens", s.ID, position, len(s.TokenIDs))
	}
	if oldest, ok := sillattribution.Oldest(s.Spans); !ok || oldest+trainerBound < tr.version {
		tr.t.Errorf("sample %s is of version %d and the trainer at %d", s.ID, oldest, tr.version)
	}
}

// engineRun is a generation in the record of an engine.
type engineRun struct {
	Prompt string                 `json:"prompt"`
	Prefix int                    `json:"prefix"`
	Tokens []int                  `json:"tokens"`
	Spans  []sillstandengine.Span `json:"weight-spans"`
}

// madeBy tells whether the run made a token at a position with a version.
func (r engineRun) madeBy(position, token int, version sillid.WeightVersion) bool {
	i := position - r.Prefix
	if i < 0 || i >= len(r.Tokens) || r.Tokens[i] != token {
		return false
	}
	return slices.ContainsFunc(r.Spans, func(s sillstandengine.Span) bool {
		return s.From <= position && position < s.To && s.Version == version
	})
}

// checkRecords fails unless an engine recorded each token of the samples with
// the version that the sample names. Every engine's record must be readable.
func (tr *trainer) checkRecords() {
	tr.t.Helper()
	runs := map[string][]engineRun{}
	for _, tg := range tr.c.targets {
		b, err := json.Marshal(tr.c.record(tg, ""))
		check(tr.t, err)
		var all []engineRun
		check(tr.t, json.Unmarshal(b, &all))
		for _, r := range all {
			runs[r.Prompt] = append(runs[r.Prompt], r)
		}
	}
	for _, s := range tr.samples {
		for _, span := range s.Spans {
			for i := span.From; i < span.To; i++ {
				recorded := slices.ContainsFunc(runs[s.Prompt], func(r engineRun) bool {
					return r.madeBy(int(i), s.TokenIDs[i], span.Version)
				})
				if !recorded {
					tr.t.Errorf("sample %s: no engine recorded token %d of version %d", s.ID, i, span.Version)
					return
				}
			}
		}
	}
}

// counter returns the sum of a gateway's counters whose line starts so.
func (c *cluster) counter(g *gateway, prefix string) float64 {
	resp, err := http.Get(g.metric + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	b, _ := io.ReadAll(resp.Body)
	sum := 0.0
	for line := range strings.Lines(string(b)) {
		var value float64
		if strings.HasPrefix(line, prefix) {
			if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' ')+1:], &value); err == nil {
				sum += value
			}
		}
	}
	return sum
}

// discarded returns how many generations the owners discarded for a reason.
func (c *cluster) discarded(reason sillattribution.Reason) float64 {
	sum := 0.0
	for _, g := range c.gateways {
		sum += c.counter(g, fmt.Sprintf("wasabisill_rollout_unattributable_total{reason=%q}", reason))
	}
	return sum
}

// owner returns the gateway that runs the cluster's only batch, once there is one.
func (c *cluster) owner() *gateway {
	c.t.Helper()
	var found *gateway
	eventually(c.t, "a gateway starts samples", func() bool {
		for _, g := range c.gateways {
			if c.counter(g, `wasabisill_rollout_samples_total{event="started"}`) > 0 {
				found = g
			}
		}
		return found != nil
	})
	return found
}

// awaitFormed waits until the table holds n deliveries of the batch.
func (tr *trainer) awaitFormed(n int) {
	tr.t.Helper()
	eventually(tr.t, "a delivery is formed", func() bool {
		resp, err := http.Get(tr.c.platformURL + "/table/rows?prefix=batch/" + string(tr.batch) + "/delivery/&limit=1000")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		b, _ := io.ReadAll(resp.Body)
		return strings.Count(string(b), `"key"`) >= n
	})
}
