package sillload

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/internal/sillstandservice"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// gatherer reads the records of the stand-ins.
type gatherer struct {
	scenario   *Scenario
	deployment *Deployment
	client     *http.Client
	evidence   *sillreport.Evidence
	// organisations holds the organisation of each call of the plan.
	organisations map[sillreport.CallID]sillid.OrganisationID
}

type engineRecord struct {
	Runs []sillstandengine.Run `json:"runs"`
}

type serviceRecord struct {
	Runs []sillstandservice.Run `json:"runs"`
}

type platformRecord struct {
	Usage []sillreport.Usage `json:"usage"`
}

func (g *gatherer) gather(ctx context.Context) {
	for _, name := range names(g.deployment.Engines) {
		var r engineRecord
		if g.read(ctx, string(name), g.deployment.Engines[name], &r) {
			g.addEngine(name, r.Runs)
		}
	}
	for _, name := range names(g.deployment.Services) {
		var r serviceRecord
		if g.read(ctx, string(name), g.deployment.Services[name], &r) {
			g.addService(name, r.Runs)
		}
	}
	if g.deployment.Platform == "" {
		return
	}
	var r platformRecord
	if g.read(ctx, platformName, g.deployment.Platform, &r) {
		g.evidence.Usage = r.Usage
	}
}

func names(urls map[sillid.TargetID]string) []sillid.TargetID {
	var all []sillid.TargetID
	for name := range urls {
		all = append(all, name)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

// recordTimeout bounds the read of one record.
const recordTimeout = 20 * time.Second

// read notes a record that cannot be read, so that the audit fails.
func (g *gatherer) read(ctx context.Context, name, base string, into any) bool {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	err := getJSON(ctx, g.client, base+"/standin/record", into)
	if err != nil {
		g.evidence.Unread = append(g.evidence.Unread, name)
	}
	return err == nil
}

func getJSON(ctx context.Context, client *http.Client, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "sillload.getJSON")
	}
	resp, err := client.Do(req)
	if err != nil {
		return eris.Wrap(err, "sillload.getJSON")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("sillload.getJSON: %s: status %d", url, resp.StatusCode)
	}
	return eris.Wrap(json.NewDecoder(resp.Body).Decode(into), "sillload.getJSON")
}

func (g *gatherer) addEngine(target sillid.TargetID, runs []sillstandengine.Run) {
	for _, r := range runs {
		t := sillreport.TargetRun{
			Target: target, RequestID: r.RequestID, Start: r.Start, End: r.End, Complete: r.Complete, AnswerLost: r.AnswerLost,
			PromptTokens: r.PromptTokens, Prefix: r.Prefix, Tokens: r.Tokens, KeySeen: g.keySeen(r.Seen),
		}
		for _, s := range r.Spans {
			t.Spans = append(t.Spans, sillreport.Span(s))
		}
		if org, ok := g.trainerOf(r.Prompt); ok {
			t.Organisation = org
			t.Prompt = r.Prompt
		} else if words := strings.Fields(r.Prompt); len(words) > 0 {
			g.mark(&t, sillreport.CallID(words[len(words)-1]))
		}
		g.evidence.Runs = append(g.evidence.Runs, t)
	}
}

// trainerOf returns the organisation of the trainer whose sample the prompt is.
func (g *gatherer) trainerOf(prompt string) (sillid.OrganisationID, bool) {
	for _, t := range g.scenario.Trainers {
		if strings.HasPrefix(prompt, samplePromptPrefix(t.ID)) {
			return t.Organisation, true
		}
	}
	return "", false
}

// mark assigns a run to its call, unless the plan does not hold it.
func (g *gatherer) mark(t *sillreport.TargetRun, id sillreport.CallID) {
	org, ok := g.organisations[id]
	if !ok {
		return
	}
	t.CallID = id
	t.Organisation = org
}

func (g *gatherer) addService(target sillid.TargetID, runs []sillstandservice.Run) {
	for _, r := range runs {
		t := sillreport.TargetRun{
			Target: target, RequestID: sillid.RequestID(r.RequestID), Start: r.Start, End: r.End,
			Complete: r.Complete, AnswerLost: r.AnswerLost, Effect: r.Effect, KeySeen: g.keySeen(r.Seen),
		}
		if r.Complete {
			t.AnswerHash = hashOf([]byte(r.Answer))
		}
		g.mark(&t, serviceMark(r.Seen))
		g.evidence.Runs = append(g.evidence.Runs, t)
	}
}

func serviceMark(seen sillstandin.Seen) sillreport.CallID {
	if seen.Method == http.MethodGet {
		q, _ := url.ParseQuery(seen.Query)
		return sillreport.CallID(q.Get("ref"))
	}
	var b bookingBody
	// A body without a mark is the run of no call.
	_ = json.Unmarshal([]byte(seen.Body), &b)
	return b.Ref
}

// keySeen looks for any organisation's key in all that a target received.
func (g *gatherer) keySeen(seen sillstandin.Seen) bool {
	text := seen.Path + "\n" + seen.Query + "\n" + seen.Body
	for name, values := range seen.Headers {
		text += "\n" + name + ": " + strings.Join(values, "\n")
	}
	for _, key := range g.deployment.Keys {
		if key != "" && strings.Contains(text, key) {
			return true
		}
	}
	return false
}
