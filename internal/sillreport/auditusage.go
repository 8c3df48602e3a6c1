package sillreport

import (
	"fmt"
	"sort"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// windowName names a usage window.
type windowName struct {
	organisation sillid.OrganisationID
	start        int64
}

// figures add up one organisation's use.
type figures struct {
	requests         int64
	promptTokens     int64
	completionTokens int64
}

// distinctWindows returns the first report of each window and the names of
// windows that were reported with different figures.
func distinctWindows(reports []Usage) (first map[windowName]Usage, differing []windowName) {
	first = map[windowName]Usage{}
	known := map[windowName]bool{}
	for _, u := range reports {
		n := windowName{u.Organisation, u.WindowStart}
		f, seen := first[n]
		if !seen {
			first[n] = u
			continue
		}
		u.ReceivedAt = f.ReceivedAt
		if u != f && !known[n] {
			known[n] = true
			differing = append(differing, n)
		}
	}
	return first, differing
}

// expectedUse bounds an organisation's use: what complete requests used, and
// what all runs used. Between the two lies work that was cut off, or whose end
// only the target knows. A request counts once and only with a whole answer,
// over however many runs it went.
type expectedUse struct {
	least figures
	most  figures
}

func (a *auditor) expected() map[sillid.OrganisationID]*expectedUse {
	use := map[sillid.OrganisationID]*expectedUse{}
	for id, runs := range a.requests() {
		u, ok := use[id.organisation]
		if !ok {
			u = &expectedUse{}
			use[id.organisation] = u
		}
		u.add(runs)
	}
	return use
}

// requestName names a request of an organisation.
type requestName struct {
	organisation sillid.OrganisationID
	request      sillid.RequestID
}

func (a *auditor) requests() map[requestName][]*TargetRun {
	all := map[requestName][]*TargetRun{}
	for i := range a.evidence.Runs {
		r := &a.evidence.Runs[i]
		n := requestName{r.Organisation, r.RequestID}
		all[n] = append(all[n], r)
	}
	return all
}

// add counts the runs of one request. Resumed runs are one request, whose
// prompt may have been read more than once.
func (u *expectedUse) add(runs []*TargetRun) {
	complete, known := false, false
	prompt, promptAll, made := 0, 0, 0
	longest := 0
	for _, r := range runs {
		complete = complete || r.Complete
		known = known || r.Complete && !r.AnswerLost
		prompt = max(prompt, r.PromptTokens)
		promptAll += r.PromptTokens
		made += len(r.Tokens)
		longest = max(longest, r.Prefix+len(r.Tokens))
	}
	if complete {
		u.most.requests++
	}
	u.most.promptTokens += int64(promptAll)
	u.most.completionTokens += int64(made)
	if !known {
		return
	}
	u.least.requests++
	u.least.promptTokens += int64(prompt)
	u.least.completionTokens += int64(min(longest, made))
}

func (a *auditor) checkUsage() {
	first, differing := distinctWindows(a.evidence.Usage)
	for _, n := range differing {
		a.find(UsageConflict, fmt.Sprintf("%s@%d", n.organisation, n.start), "reported with different figures")
	}
	if !a.evidence.UsageExpected {
		return
	}
	told := map[sillid.OrganisationID]figures{}
	for n, u := range first {
		f := told[n.organisation]
		f.requests += u.Requests
		f.promptTokens += u.PromptTokens
		f.completionTokens += u.CompletionTokens
		told[n.organisation] = f
	}
	expected := a.expected()
	for _, org := range organisations(told, expected) {
		u := expected[org]
		if u == nil {
			u = &expectedUse{}
		}
		a.compareUse(org, told[org], u)
	}
}

func organisations(told map[sillid.OrganisationID]figures, expected map[sillid.OrganisationID]*expectedUse) []sillid.OrganisationID {
	seen := map[sillid.OrganisationID]bool{}
	for org := range told {
		seen[org] = true
	}
	for org := range expected {
		seen[org] = true
	}
	var all []sillid.OrganisationID
	for org := range seen {
		all = append(all, org)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

func (a *auditor) compareUse(org sillid.OrganisationID, told figures, u *expectedUse) {
	for _, c := range []struct {
		name              string
		told, least, most int64
	}{
		{"requests", told.requests, u.least.requests, u.most.requests},
		{"prompt tokens", told.promptTokens, u.least.promptTokens, u.most.promptTokens},
		{"completion tokens", told.completionTokens, u.least.completionTokens, u.most.completionTokens},
	} {
		if c.told < c.least || c.told > c.most {
			a.find(UsageMismatch, string(org), "%s reported %d, targets ran %d to %d", c.name, c.told, c.least, c.most)
		}
	}
}
