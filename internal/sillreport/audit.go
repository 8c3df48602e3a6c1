package sillreport

import (
	"fmt"
	"sort"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// FindingKind names a way in which a run failed its audit.
type FindingKind string

// The kinds of findings.
const (
	// Lost is an answered call of which no target has a complete run.
	Lost FindingKind = "lost"
	// Doubled is a booking that was entered more than once.
	Doubled FindingKind = "doubled"
	// Mismatch is an answer that the target did not give to this call.
	Mismatch FindingKind = "mismatch"
	// Short is a generation answered as whole that is not.
	Short FindingKind = "short"
	// FalseNotRun is a refusal "not-run" of a request that a target ran.
	FalseNotRun FindingKind = "false-not-run"
	// KeyLeak is a caller's key that reached a target.
	KeyLeak FindingKind = "key-leak"
	// WrongVersion is a token whose told weight version is not the true one.
	WrongVersion FindingKind = "wrong-version"
	// SampleDoubled is a sample in two deliveries, or with two contents.
	SampleDoubled FindingKind = "sample-doubled"
	// SampleStale is a sample older than its trainer's bound.
	SampleStale FindingKind = "sample-stale"
	// SampleMissing is a sample of a batch that was called done before its deadline.
	SampleMissing FindingKind = "sample-missing"
	// BatchUnended is a batch that was not called done by its deadline.
	BatchUnended FindingKind = "batch-unended"
	// UsageConflict is a window reported with different figures.
	UsageConflict FindingKind = "usage-conflict"
	// UsageMismatch is an organisation whose reports do not add up to its runs.
	UsageMismatch FindingKind = "usage-mismatch"
	// NothingServed is a kind of call of which not one was served: a run that
	// shows nothing about it.
	NothingServed FindingKind = "nothing-served"
	// RecordUnread is a record of a target or the platform that could not be read.
	RecordUnread FindingKind = "record-unread"
)

// Finding is one failure of the audit.
type Finding struct {
	Kind FindingKind `json:"kind"`
	// Subject names the call, sample, organisation or record.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Audit is the verdict over a run.
type Audit struct {
	// Passed is true if there are no findings.
	Passed bool `json:"passed"`
	// Calls, Runs, Samples and Reports count what was checked.
	Calls   int `json:"calls"`
	Runs    int `json:"runs"`
	Samples int `json:"samples"`
	Reports int `json:"reports"`
	// Findings are sorted by kind and subject.
	Findings []Finding `json:"findings"`
}

// auditor looks through the evidence of one run.
type auditor struct {
	evidence *Evidence
	byCall   map[CallID][]*TargetRun
	byID     map[sillid.RequestID][]*TargetRun
	byPrompt map[string][]*TargetRun
	findings []Finding
}

// RunAudit checks what callers and trainers got against what targets ran and
// what was reported as usage.
func RunAudit(e *Evidence) Audit {
	a := &auditor{
		evidence: e,
		byCall:   map[CallID][]*TargetRun{},
		byID:     map[sillid.RequestID][]*TargetRun{},
		byPrompt: map[string][]*TargetRun{},
		findings: []Finding{},
	}
	a.index()
	a.checkRecords()
	a.checkServed()
	a.checkCalls()
	a.checkSamples()
	a.checkBatches()
	a.checkUsage()
	sort.SliceStable(a.findings, func(i, j int) bool {
		x, y := a.findings[i], a.findings[j]
		if x.Kind != y.Kind {
			return x.Kind < y.Kind
		}
		return x.Subject < y.Subject
	})
	return Audit{
		Passed: len(a.findings) == 0, Calls: len(e.Calls), Runs: len(e.Runs),
		Samples: len(e.Samples), Reports: len(e.Usage), Findings: a.findings,
	}
}

func (a *auditor) find(kind FindingKind, subject, format string, args ...any) {
	a.findings = append(a.findings, Finding{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

func (a *auditor) index() {
	for i := range a.evidence.Runs {
		r := &a.evidence.Runs[i]
		if r.CallID != "" {
			a.byCall[r.CallID] = append(a.byCall[r.CallID], r)
		}
		if r.RequestID != "" {
			a.byID[r.RequestID] = append(a.byID[r.RequestID], r)
		}
		if r.Prompt != "" {
			a.byPrompt[r.Prompt] = append(a.byPrompt[r.Prompt], r)
		}
	}
}

func (a *auditor) checkRecords() {
	for _, name := range a.evidence.Unread {
		a.find(RecordUnread, name, "the record could not be read, so its runs are unknown")
	}
	for _, r := range a.evidence.Runs {
		if r.KeySeen {
			a.find(KeyLeak, string(r.RequestID), "%s received a caller's key", r.Target)
		}
	}
}

func (a *auditor) checkServed() {
	for _, m := range measureKinds(finalCalls(a.evidence.Calls)) {
		if m.Served == 0 {
			a.find(NothingServed, string(m.Kind), "none of %d calls was served", m.Offered)
		}
	}
	for _, m := range measureTrainers(a.evidence) {
		if m.Delivered == 0 {
			a.find(NothingServed, string(m.Trainer), "none of %d samples was delivered", m.Asked)
		}
	}
}

func (a *auditor) checkCalls() {
	for i := range a.evidence.Calls {
		c := &a.evidence.Calls[i]
		a.checkRefusal(c)
		if !c.Served() {
			continue
		}
		if c.Kind.IsModel() {
			a.checkGeneration(c)
		} else {
			a.checkPlain(c)
		}
	}
	for id, runs := range a.byCall {
		effects := 0
		for _, r := range runs {
			if r.Effect {
				effects++
			}
		}
		if effects > 1 {
			a.find(Doubled, string(id), "entered %d times", effects)
		}
	}
}

// checkRefusal holds a refusal "not-run" against the records.
func (a *auditor) checkRefusal(c *Call) {
	if c.Outcome != sillproblem.NotRun || c.RequestID == "" {
		return
	}
	if runs := a.byID[c.RequestID]; len(runs) > 0 {
		a.find(FalseNotRun, string(c.CallID), "refused as not run (%s), but %s ran it", c.Problem, runs[0].Target)
	}
}

// checkPlain holds the answer of a service against its runs.
func (a *auditor) checkPlain(c *Call) {
	if c.AnswerCallID != c.CallID {
		a.find(Mismatch, string(c.CallID), "got the answer of call %q", c.AnswerCallID)
		return
	}
	complete := 0
	for _, r := range a.byCall[c.CallID] {
		if !r.Complete {
			continue
		}
		complete++
		if r.AnswerHash == c.AnswerHash {
			return
		}
	}
	if complete == 0 {
		a.find(Lost, string(c.CallID), "answered %d, but no target has a complete run", c.Status)
		return
	}
	a.find(Mismatch, string(c.CallID), "no target gave this answer")
}

// checkGeneration holds each token of an answer against the runs of the call.
func (a *auditor) checkGeneration(c *Call) {
	runs := a.byCall[c.CallID]
	if len(runs) == 0 {
		a.find(Lost, string(c.CallID), "answered, but no engine has a run")
		return
	}
	if len(c.Tokens) != c.WantTokens {
		a.find(Short, string(c.CallID), "answered as whole with %d of %d tokens", len(c.Tokens), c.WantTokens)
	}
	for i, token := range c.Tokens {
		made, attributed := produced(runs, i, token, versionAt(c.Spans, i))
		if !made {
			a.find(Mismatch, string(c.CallID), "token %d was made by no run of the call", i)
			return
		}
		// A caller need not be told versions, but what it is told must be true.
		if told := versionAt(c.Spans, i); told != untold && !attributed {
			a.find(WrongVersion, string(c.CallID), "token %d was told as of version %d", i, told)
			return
		}
	}
}

// untold stands for the version of a token that no version was told of.
const untold sillid.WeightVersion = 0

// versionAt returns the told version of a token, or untold.
func versionAt(spans []Span, i int) sillid.WeightVersion {
	for _, s := range spans {
		if s.From <= i && i < s.To {
			return s.Version
		}
	}
	return untold
}

// produced tells whether a run made the token at position i, and whether one
// made it with the version.
func produced(runs []*TargetRun, i, token int, version sillid.WeightVersion) (made, attributed bool) {
	for _, r := range runs {
		at := i - r.Prefix
		if at < 0 || at >= len(r.Tokens) || r.Tokens[at] != token {
			continue
		}
		made = true
		if versionAt(r.Spans, i) == version {
			return true, true
		}
	}
	return made, false
}
