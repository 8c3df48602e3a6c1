package silltarget

import (
	"cmp"
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Candidate is what a directory knows of a target for a query.
type Candidate struct {
	ID      sillid.TargetID
	Zone    sillid.ZoneID
	Address string
	// Run is the run of the target, and Cold the allowance of one that may be cold.
	Run  Run
	Cold *ColdGrant
	// Exclusion is why the target may not serve the query's requests; NotExcluded if it may.
	Exclusion Exclusion
	// Cost is by which eligible targets are compared, the lowest first.
	Cost float64
	// Running is the number of this process's requests at the target, and Load that of all
	// requests, as far as known.
	Running, Load, Slots int
	// LoadAge is the time since the target last reported its load; negative if it never has.
	LoadAge time.Duration
	// UnitLatency is the average time for one unit of work, and ExpectedResponse the expected
	// time to serve one more request; 0 if unknown.
	UnitLatency, ExpectedResponse time.Duration
	// Version is the weight version of the query's model; 0 if there is none.
	Version sillid.WeightVersion
	// Limit is the limit on requests that the target names; 0 if it names none.
	Limit sillrate.PerSecond
	// Wait is the time until the end of the target's backoff or of the denial of permits,
	// whichever excludes it; 0 otherwise.
	Wait time.Duration
}

// Explain returns the targets of the query's pool in the order in which Pick prefers them, the
// excluded ones last. It changes nothing.
func (d *Directory) Explain(now time.Time, q Query) []Candidate {
	d.mu.Lock()
	defer d.mu.Unlock()
	meanServiceTime := d.meanServiceTime(q.Pool)
	m := d.costModel(now, &q)
	var eligible []candidate
	var excluded []Candidate
	for _, t := range d.targets {
		c := m.candidate(t)
		switch reason := t.exclusion(now, &q, meanServiceTime); reason {
		case OtherPool:
		case NotExcluded:
			eligible = append(eligible, c)
		default:
			excluded = append(excluded, c.describe(now, &q, meanServiceTime, reason))
		}
	}
	slices.SortFunc(eligible, func(a, b candidate) int { return order(a.isBetter(&q, &b), b.isBetter(&q, &a)) })
	slices.SortFunc(excluded, func(a, b Candidate) int { return cmp.Compare(a.ID, b.ID) })
	list := make([]Candidate, 0, len(eligible)+len(excluded))
	for _, c := range eligible {
		list = append(list, c.describe(now, &q, meanServiceTime, NotExcluded))
	}
	return append(list, excluded...)
}

// order returns the result of a comparison from whether each side comes first.
func order(a, b bool) int {
	switch {
	case a:
		return -1
	case b:
		return 1
	}
	return 0
}

func (c *candidate) describe(now time.Time, q *Query, meanServiceTime time.Duration, reason Exclusion) Candidate {
	t := c.target
	described := Candidate{
		ID: t.entry.ID, Zone: t.entry.Zone, Address: t.entry.Address, Run: t.entry.Run(), Cold: t.coldGrant(now), Exclusion: reason, Cost: c.cost,
		Running: t.running, Load: t.load(now), Slots: t.entry.Slots, LoadAge: -1,
		UnitLatency: t.unitLatency, ExpectedResponse: t.expectedResponseTime(now, meanServiceTime),
		Version: t.entry.Versions[q.Model],
	}
	if !t.loadReportedAt.IsZero() {
		described.LoadAge = now.Sub(t.loadReportedAt)
	}
	if t.limited() {
		described.Limit = t.limit.limit
	}
	switch reason {
	case InBackoff:
		described.Wait = t.backoffUntil.Sub(now)
	case AtLimit, IsCold:
		described.Wait = t.deniedUntil(now, q.Class).Sub(now)
	}
	return described
}
