package sillreport

import (
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Latency holds quantiles in milliseconds, from the scheduled time of a call.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean-ms"`
	P50   int64   `json:"p50-ms"`
	P90   int64   `json:"p90-ms"`
	P99   int64   `json:"p99-ms"`
	Max   int64   `json:"max-ms"`
}

// Bounds of the histograms, in milliseconds, and their precision in digits.
const (
	histogramMin    = 1
	histogramMax    = 3_600_000
	histogramDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, ms int64) {
	// The value is clamped into the bounds, so that it is never refused.
	_ = h.RecordValue(max(histogramMin, min(ms, histogramMax)))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), Mean: h.Mean(),
		P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), Max: h.Max(),
	}
}

// KindMeasure measures the calls of one kind.
type KindMeasure struct {
	Kind CallKind `json:"kind"`
	// Offered counts the calls of the plan, Served those answered in the end.
	Offered int `json:"offered"`
	Served  int `json:"served"`
	// Latency is that of the served calls; FirstByte their time to the first byte.
	Latency   Latency `json:"latency"`
	FirstByte Latency `json:"first-byte"`
}

// OrganisationMeasure measures how one organisation fares.
type OrganisationMeasure struct {
	Organisation sillid.OrganisationID `json:"organisation"`
	Offered      int                   `json:"offered"`
	Served       int                   `json:"served"`
	ServedShare  float64               `json:"served-share"`
	// Bookings counts completed bookings.
	Bookings int     `json:"bookings"`
	Latency  Latency `json:"latency"`
}

// TrainerMeasure measures one trainer.
type TrainerMeasure struct {
	Trainer sillid.TrainerID `json:"trainer"`
	Batches int              `json:"batches"`
	Asked   int              `json:"asked"`
	// Delivered counts distinct samples.
	Delivered int `json:"delivered"`
	// IdleShare is the share of the batches' time without work.
	IdleShare float64 `json:"idle-share"`
	// Step is the time from asking for a batch to its end.
	Step Latency `json:"step"`
	// MeanStaleness and MaxStaleness are in weight versions.
	MeanStaleness float64 `json:"mean-staleness"`
	MaxStaleness  int     `json:"max-staleness"`
}

// SpendMeasure sets what targets cost against what callers got.
type SpendMeasure struct {
	// TargetSeconds is the number of targets times the duration.
	TargetSeconds float64 `json:"target-seconds"`
	// BusySeconds adds up the runs.
	BusySeconds float64 `json:"busy-seconds"`
	// ServedPerTargetSecond is the number of served calls and samples a target second.
	ServedPerTargetSecond float64 `json:"served-per-target-second"`
	// TokensMade and TokensServed count tokens that engines made and that
	// callers and trainers got.
	TokensMade   int `json:"tokens-made"`
	TokensServed int `json:"tokens-served"`
}

// UsageMeasure measures the usage reports.
type UsageMeasure struct {
	Reports int `json:"reports"`
	Windows int `json:"windows"`
	// Repeated counts reports of windows that were reported before.
	Repeated int `json:"repeated"`
	// Late counts windows first reported more than LateAfterMS after their end.
	Late        int   `json:"late"`
	LateAfterMS int64 `json:"late-after-ms"`
	// Wrong counts windows with different figures and organisations that do not add up.
	Wrong int `json:"wrong"`
	// Lateness is the time from the end of a window to its first report.
	Lateness Latency `json:"lateness"`
}

// RefusalMeasure counts refusals of one kind.
type RefusalMeasure struct {
	Problem sillproblem.Kind    `json:"problem"`
	Outcome sillproblem.Outcome `json:"outcome"`
	Status  int                 `json:"status"`
	Count   int                 `json:"count"`
}

// Measures are the figures of a run.
type Measures struct {
	DurationSeconds float64               `json:"duration-seconds"`
	Kinds           []KindMeasure         `json:"kinds"`
	Organisations   []OrganisationMeasure `json:"organisations"`
	// Worst is the organisation with the least share of served calls; of equals
	// the one with the highest 99th percentile.
	Worst    OrganisationMeasure `json:"worst-organisation"`
	Trainers []TrainerMeasure    `json:"trainers"`
	Spend    SpendMeasure        `json:"spend"`
	Usage    UsageMeasure        `json:"usage"`
	Refusals []RefusalMeasure    `json:"refusals"`
	Roles    []RoleMeasure       `json:"roles"`
	Table    TableMeasure        `json:"table"`
}

// lateAfterMS is the time after a window's end at which its report is late.
const lateAfterMS = 60_000

const millisecondsPerSecond = 1000

// Measure computes the figures of a run.
func Measure(e *Evidence, a Audit) Measures {
	m := Measures{DurationSeconds: float64(e.End-e.Start) / millisecondsPerSecond}
	finals := finalCalls(e.Calls)
	m.Kinds = measureKinds(finals)
	m.Organisations = measureOrganisations(finals)
	m.Worst = worst(m.Organisations)
	m.Trainers = measureTrainers(e)
	m.Spend = measureSpend(e, finals, m.DurationSeconds)
	m.Usage = measureUsage(e, a)
	m.Refusals = measureRefusals(e.Calls)
	m.Roles = measureRoles(e, m.DurationSeconds)
	m.Table = measureTable(e, m.DurationSeconds)
	return m
}

// finalCalls returns the last attempt of each call of the plan, with the
// scheduled time of the first.
func finalCalls(calls []Call) []Call {
	last := map[CallID]Call{}
	var order []CallID
	for _, c := range calls {
		before, seen := last[c.CallID]
		if !seen {
			order = append(order, c.CallID)
		}
		if !seen || c.Attempt > before.Attempt {
			last[c.CallID] = c
		}
	}
	finals := make([]Call, 0, len(order))
	for _, id := range order {
		finals = append(finals, last[id])
	}
	return finals
}

func measureKinds(finals []Call) []KindMeasure {
	kinds := []KindMeasure{}
	for _, kind := range []CallKind{Booking, Availability, Stream, Completion} {
		m := KindMeasure{Kind: kind}
		whole, first := newHistogram(), newHistogram()
		for i := range finals {
			c := &finals[i]
			if c.Kind != kind {
				continue
			}
			m.Offered++
			if c.Served() {
				m.Served++
				record(whole, c.Done-c.Scheduled)
				record(first, c.First-c.Scheduled)
			}
		}
		m.Latency, m.FirstByte = latencyOf(whole), latencyOf(first)
		if m.Offered > 0 {
			kinds = append(kinds, m)
		}
	}
	return kinds
}

func measureOrganisations(finals []Call) []OrganisationMeasure {
	by := map[sillid.OrganisationID]*OrganisationMeasure{}
	latency := map[sillid.OrganisationID]*hdrhistogram.Histogram{}
	for i := range finals {
		c := &finals[i]
		m, ok := by[c.Organisation]
		if !ok {
			m = &OrganisationMeasure{Organisation: c.Organisation}
			by[c.Organisation] = m
			latency[c.Organisation] = newHistogram()
		}
		m.Offered++
		if !c.Served() {
			continue
		}
		m.Served++
		record(latency[c.Organisation], c.Done-c.Scheduled)
		if c.Kind == Booking {
			m.Bookings++
		}
	}
	all := []OrganisationMeasure{}
	for org, m := range by {
		m.ServedShare = float64(m.Served) / float64(m.Offered)
		m.Latency = latencyOf(latency[org])
		all = append(all, *m)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Organisation < all[j].Organisation })
	return all
}

func worst(all []OrganisationMeasure) OrganisationMeasure {
	var w OrganisationMeasure
	for i, m := range all {
		lower := m.ServedShare < w.ServedShare
		slower := m.ServedShare == w.ServedShare && m.Latency.P99 > w.Latency.P99
		if i == 0 || lower || slower {
			w = m
		}
	}
	return w
}
