package silldirectgateway

import (
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillexplanation"
	"github.com/wasabisill/wasabisill/internal/sillforwarder"
	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/sillwatch"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// maxQuestionBytes bounds a question for the way of a request.
const maxQuestionBytes = 16 << 10

// serveExplanation answers where a request would go now and why. It sends, counts and reserves
// nothing.
func (s *Service) serveExplanation(w http.ResponseWriter, r *http.Request) {
	var q sillexplanation.Question
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxQuestionBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&q); err != nil {
		writeExplanation(w, http.StatusBadRequest, sillexplanation.Failure{Error: "the question can't be read: " + err.Error()})
		return
	}
	catalog := s.Catalog()
	if catalog == nil {
		writeExplanation(w, http.StatusServiceUnavailable, sillexplanation.Failure{Error: "the gateway has no configuration yet"})
		return
	}
	content, ok := contentOf(&q)
	if !ok {
		writeExplanation(w, http.StatusBadRequest, sillexplanation.Failure{Error: "the content is no fingerprint in hexadecimal digits"})
		return
	}
	route := routeOf(catalog, &q)
	switch {
	case route == nil:
		writeExplanation(w, http.StatusNotFound, sillexplanation.Failure{Error: "no route has this host and path"})
		return
	case route.Kind == sillcatalog.Jobs && q.Method != "" && q.Method != http.MethodPost:
		writeExplanation(w, http.StatusBadRequest, sillexplanation.Failure{Error: "jobs are submitted with POST"})
		return
	}
	organisation, ok := organisationByHash(catalog, route, q.KeySHA256)
	if !ok {
		writeExplanation(w, http.StatusUnauthorized, sillexplanation.Failure{Error: "the route needs a key of an organisation, and the key is missing or belongs to none"})
		return
	}
	writeExplanation(w, http.StatusOK, s.explain(time.Now(), catalog, route, organisation, &q, content))
}

// contentOf returns the fingerprint of the question's content, nil if it has none. It returns false
// if it can't be read.
func contentOf(q *sillexplanation.Question) (*sillcrash.Fingerprint, bool) {
	if q.Content == "" {
		return nil, true
	}
	f, ok := sillcrash.ParseFingerprint(q.Content)
	return &f, ok
}

// routeOf returns the route of the request, or nil.
func routeOf(c *sillcatalog.Catalog, q *sillexplanation.Question) *sillcatalog.Route {
	host := q.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	path, _, _ := strings.Cut(q.Path, "?")
	return c.Route(host, path)
}

// writeExplanation writes an answer. A write fails only if the asker has disconnected.
func writeExplanation(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// organisationByHash returns the organisation that holds the key with a hash, or "" if no key
// is needed. It returns false if one is needed and there is none.
func organisationByHash(c *sillcatalog.Catalog, route *sillcatalog.Route, hash string) (sillid.OrganisationID, bool) {
	if c.Open || route.Open {
		return "", true
	}
	for i := range c.Organisations {
		for _, key := range c.Organisations[i].Keys {
			if key != "" && subtle.ConstantTimeCompare([]byte(sillexplanation.HashKey(key)), []byte(hash)) == 1 {
				return c.Organisations[i].ID, true
			}
		}
	}
	return "", false
}

// explain returns where a request of a route would go.
func (s *Service) explain(now time.Time, c *sillcatalog.Catalog, route *sillcatalog.Route, organisation sillid.OrganisationID, q *sillexplanation.Question, content *sillcrash.Fingerprint) *sillexplanation.Answer {
	a := &sillexplanation.Answer{
		Gateway: s.settings.Instance, Zone: s.settings.Zone, ConfigVersion: c.Version,
		Route: route.ID, Kind: string(route.Kind), Organisation: organisation, Stopping: s.Stopping(),
		Ages: s.ages(),
	}
	if route.Kind == sillcatalog.Jobs {
		homes := c.Homes(organisation, route)
		a.Owner = string(s.members.owner(silljob.Placement{Model: q.Model, Homes: homes, AcceptedIn: s.settings.Region}))
		a.OwnedHere = a.Owner == string(s.members.run)
		a.Pools = []sillexplanation.Pool{s.explainItem(now, route.PickPool(0), homes, organisation, q)}
		return a
	}
	if content != nil {
		a.CrashEvidence = s.explainEvidence(now, *content)
	}
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
	}
	for _, share := range route.Shares {
		if share.Weight <= 0 && len(route.Shares) > 1 {
			continue
		}
		p := s.explainRequest(now, c, route, share.Pool, organisation, q, content)
		if total > 0 {
			p.Share = share.Weight / total
		}
		a.Pools = append(a.Pools, p)
	}
	return a
}

// explainRequest returns what would become of a caller's request in one of its pools.
func (s *Service) explainRequest(now time.Time, c *sillcatalog.Catalog, route *sillcatalog.Route, pool sillid.PoolID, organisation sillid.OrganisationID, q *sillexplanation.Question, content *sillcrash.Fingerprint) sillexplanation.Pool {
	timeLimit := route.Timeout
	for _, limit := range []time.Duration{s.adapter.MaxRequestTime, q.Deadline()} {
		if limit > 0 {
			timeLimit = min(timeLimit, limit)
		}
	}
	d := s.Forwarder.Explain(now, &sillforwarder.Request{
		Route: route, Pool: pool, Organisation: organisation, Priority: c.Priority(organisation, route), Homes: c.Homes(organisation, route),
		Arrived: now, Deadline: now.Add(timeLimit),
	}, content)
	p := sillexplanation.Pool{
		Pool: pool, Share: 1, Action: sillexplanation.Action(d.Action), Target: d.Target, MaxWaitMS: d.MaxWait.Milliseconds(),
		Candidates: s.describeCandidates(d.Candidates, q.Tokens, sillrate.Interactive, organisation), Behaviours: s.behaviours(pool),
	}
	if d.Refusal != nil {
		p.Reason, p.RetryAfterMS = string(d.Refusal.Reason), d.Refusal.RetryAfter.Milliseconds()
	}
	return p
}

// explainItem returns what would become of a job's item that its owner would send now. Items
// wait for a free slot.
func (s *Service) explainItem(now time.Time, pool sillid.PoolID, homes sillhome.Homes, organisation sillid.OrganisationID, q *sillexplanation.Question) sillexplanation.Pool {
	candidates := s.view.directory.Explain(now, silltarget.Query{
		Pool: pool, Homes: homes, Zone: s.settings.Zone, Model: q.Model, MinVersion: q.MinVersion, FreeOnly: true, Class: sillrate.Background,
	})
	p := sillexplanation.Pool{Pool: pool, Share: 1, Action: sillexplanation.Wait, Candidates: s.describeCandidates(candidates, q.Tokens, sillrate.Background, organisation), Behaviours: s.behaviours(pool)}
	if len(candidates) > 0 && candidates[0].Exclusion == silltarget.NotExcluded {
		p.Action, p.Target = sillexplanation.Send, candidates[0].ID
	}
	return p
}

// behaviours returns the behaviours that are switched on for a pool.
func (s *Service) behaviours(pool sillid.PoolID) []sillexplanation.Behaviour {
	list := []sillexplanation.Behaviour{}
	on := s.view.directory.Switch(pool)
	for _, b := range silltarget.Behaviours() {
		if on.On(b) {
			list = append(list, sillexplanation.Behaviour{Behaviour: string(b), Signal: string(b.Signal())})
		}
	}
	return list
}

func (s *Service) describeCandidates(candidates []silltarget.Candidate, tokens int, class sillrate.Class, organisation sillid.OrganisationID) []sillexplanation.Candidate {
	list := make([]sillexplanation.Candidate, 0, len(candidates))
	for _, c := range candidates {
		expected := c.ExpectedResponse
		if tokens > 0 && c.UnitLatency > 0 {
			expected = time.Duration(tokens) * c.UnitLatency
		}
		list = append(list, sillexplanation.Candidate{
			Target: c.ID, Zone: c.Zone, Excluded: string(c.Exclusion), Cost: c.Cost, Running: c.Running, Load: c.Load, Slots: c.Slots,
			LoadAgeMS: ageMS(c.LoadAge, c.LoadAge >= 0), ExpectedMS: expected.Milliseconds(), Version: c.Version,
			PerSecond: float64(c.Limit), Permits: s.explainPermits(&c, class, organisation), WaitMS: c.Wait.Milliseconds(),
		})
	}
	return list
}

// explainPermits returns what is known of the permits for requests of a class to a target, nil if
// they need none.
func (s *Service) explainPermits(c *silltarget.Candidate, class sillrate.Class, organisation sillid.OrganisationID) *sillexplanation.Permits {
	if c.Limit == 0 && c.Cold == nil {
		return nil
	}
	state := s.broker.Explain(sillpermit.Ask{Run: c.Run, Class: class, Organisation: organisation, Cold: c.Cold})
	if len(state.Rates) == 0 {
		return nil
	}
	next, known := state.Next, state.NextKnown
	if c.Exclusion == silltarget.AtLimit || c.Exclusion == silltarget.IsCold {
		// No permit is asked for until then.
		next, known = max(next, c.Wait), true
	}
	p := &sillexplanation.Permits{GrantedBy: string(state.Granter), Granter: state.Gateway, NextMS: ageMS(next, known)}
	for _, r := range state.Rates {
		p.Rates = append(p.Rates, sillexplanation.PermitRate{Reason: string(r.Reason), PerSecond: float64(r.PerSecond), Burst: r.Burst})
	}
	return p
}

// explainEvidence returns the crash evidence on a content.
func (s *Service) explainEvidence(now time.Time, content sillcrash.Fingerprint) *sillexplanation.CrashEvidence {
	state := s.evidence.suspects.State(content)
	e := &sillexplanation.CrashEvidence{
		Content: content.String(), Score: state.Score, Crashes: state.Crashes, Targets: s.evidence.suspects.CrashedTargets(content),
		LastCrashAgeMS: ageMS(now.Sub(state.LastCrash), state.Crashes > 0),
	}
	if problem := s.evidence.suspects.Check(content); problem != nil {
		e.Refused, e.RetryAfterMS = true, problem.RetryAfter.Milliseconds()
	}
	return e
}

// ages returns the ages of the views from which the gateway decides.
func (s *Service) ages() sillexplanation.Ages {
	return sillexplanation.Ages{
		ConfigMS: followerAge(s.followers.operator), TargetsMS: followerAge(s.followers.registry),
		GatewaysMS: followerAge(s.followers.members), JobsMS: followerAge(s.followers.jobs),
	}
}

func followerAge(f *sillwatch.Follower) *int64 { return ageMS(f.Age(sillclock.Boot())) }

// ageMS returns an age in milliseconds, or nil if it is unknown.
func ageMS(age time.Duration, known bool) *int64 {
	if !known {
		return nil
	}
	ms := age.Milliseconds()
	return &ms
}
