package sillreport

import (
	"sort"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func measureTrainers(e *Evidence) []TrainerMeasure {
	by := map[sillid.TrainerID][]Batch{}
	for _, b := range e.Batches {
		by[b.Trainer] = append(by[b.Trainer], b)
	}
	all := []TrainerMeasure{}
	for id, batches := range by {
		all = append(all, measureTrainer(id, batches, e.Samples))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Trainer < all[j].Trainer })
	return all
}

func measureTrainer(id sillid.TrainerID, batches []Batch, samples []Sample) TrainerMeasure {
	m := TrainerMeasure{Trainer: id, Batches: len(batches)}
	steps := newHistogram()
	var idle, total int64
	for _, b := range batches {
		m.Asked += b.Asked
		m.Delivered += b.Delivered
		idle += b.IdleMilliseconds
		total += b.Done - b.Start
		if b.Ended {
			record(steps, b.Done-b.Start)
		}
	}
	if total > 0 {
		m.IdleShare = float64(idle) / float64(total)
	}
	m.Step = latencyOf(steps)
	n, sum := 0, 0
	for i := range samples {
		s := &samples[i]
		if s.Trainer != id {
			continue
		}
		n++
		sum += s.Staleness()
		m.MaxStaleness = max(m.MaxStaleness, s.Staleness())
	}
	if n > 0 {
		m.MeanStaleness = float64(sum) / float64(n)
	}
	return m
}

func measureSpend(e *Evidence, finals []Call, seconds float64) SpendMeasure {
	m := SpendMeasure{TargetSeconds: float64(e.Targets) * seconds}
	served := 0
	for i := range finals {
		if finals[i].Served() {
			served++
			m.TokensServed += len(finals[i].Tokens)
		}
	}
	seen := map[sillid.SampleID]bool{}
	for i := range e.Samples {
		s := &e.Samples[i]
		if seen[s.SampleID] {
			continue
		}
		seen[s.SampleID] = true
		served++
		m.TokensServed += len(s.Tokens)
	}
	for i := range e.Runs {
		r := &e.Runs[i]
		m.TokensMade += len(r.Tokens)
		if r.End > r.Start {
			m.BusySeconds += float64(r.End-r.Start) / millisecondsPerSecond
		}
	}
	if m.TargetSeconds > 0 {
		m.ServedPerTargetSecond = float64(served) / m.TargetSeconds
	}
	return m
}

// lateness is the time from the end of the window to the report.
func (u *Usage) lateness() int64 {
	return u.ReceivedAt - (u.WindowStart + u.WindowSeconds*millisecondsPerSecond)
}

func measureUsage(e *Evidence, a Audit) UsageMeasure {
	first, _ := distinctWindows(e.Usage)
	m := UsageMeasure{
		Reports: len(e.Usage), Windows: len(first),
		Repeated: len(e.Usage) - len(first), LateAfterMS: lateAfterMS,
	}
	h := newHistogram()
	for _, u := range first {
		record(h, u.lateness())
		if u.lateness() > lateAfterMS {
			m.Late++
		}
	}
	m.Lateness = latencyOf(h)
	for _, f := range a.Findings {
		if f.Kind == UsageConflict || f.Kind == UsageMismatch {
			m.Wrong++
		}
	}
	return m
}

func measureRefusals(calls []Call) []RefusalMeasure {
	counts := map[RefusalMeasure]int{}
	for i := range calls {
		c := &calls[i]
		if !c.Served() {
			counts[RefusalMeasure{Problem: c.Problem, Outcome: c.Outcome, Status: c.Status}]++
		}
	}
	all := []RefusalMeasure{}
	for m, n := range counts {
		m.Count = n
		all = append(all, m)
	}
	sort.Slice(all, func(i, j int) bool {
		x, y := all[i], all[j]
		if x.Count != y.Count {
			return x.Count > y.Count
		}
		if x.Problem != y.Problem {
			return x.Problem < y.Problem
		}
		return x.Status < y.Status
	})
	return all
}
