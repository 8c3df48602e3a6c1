package sillcrash

import (
	"slices"
	"time"
)

// suspect is the crash evidence on one request.
type suspect struct {
	// crashes are sorted by time; at most maxCrashes.
	crashes []Crash
	cleared time.Time
}

func (s *suspect) merge(now time.Time, e Evidence) {
	latest := now.Add(maxClockSkew)
	if !e.Cleared.After(latest) {
		s.clear(e.Cleared)
	}
	for _, c := range e.Crashes {
		if !c.At.After(latest) {
			s.add(c)
		}
	}
}

func (s *suspect) lastChange() time.Time {
	if len(s.crashes) == 0 {
		return s.cleared
	}
	return s.crashes[len(s.crashes)-1].At
}

func (s *suspect) clear(now time.Time) {
	if now.After(s.cleared) {
		s.cleared = now
	}
	s.crashes = slices.DeleteFunc(s.crashes, func(c Crash) bool { return !c.At.After(s.cleared) })
}

// add records a crash. If the run's crash is already recorded, it keeps the
// larger weight.
func (s *suspect) add(c Crash) {
	if !c.At.After(s.cleared) {
		return
	}
	i := slices.IndexFunc(s.crashes, func(e Crash) bool { return e.Target == c.Target && e.Run == c.Run })
	if i >= 0 {
		s.crashes[i].Weight = max(s.crashes[i].Weight, c.Weight)
		return
	}
	s.crashes = append(s.crashes, c)
	slices.SortStableFunc(s.crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	if len(s.crashes) > maxCrashes {
		s.dropOne()
	}
}

// dropOne removes the oldest crash that adds nothing to the score, nor to that of crashes
// to come: an earlier one ends a sequence of the same weight. The last crash stays. If each
// crash adds to the score, the oldest one goes.
func (s *suspect) dropOne() {
	totals := totalsOf(s.lastChange(), s.crashes)
	highest := 0.0
	for i, total := range totals[:len(totals)-1] {
		if total <= highest {
			s.crashes = slices.Delete(s.crashes, i, i+1)
			return
		}
		highest = total
	}
	s.crashes = slices.Delete(s.crashes, 0, 1)
}

// score returns the highest total weight of crashes that came one after the other.
func (s *suspect) score(now time.Time) float64 {
	if len(s.crashes) == 0 {
		return 0
	}
	return slices.Max(totalsOf(now, s.crashes))
}

// totalsOf returns, for each crash, the highest total weight of crashes that came one after
// the other and end with it; 0 for crashes that have expired. The crashes are sorted by time.
func totalsOf(now time.Time, crashes []Crash) []float64 {
	totals := make([]float64, len(crashes))
	for i, c := range crashes {
		if now.Sub(c.At) > crashExpiry {
			continue
		}
		for j, earlier := range crashes[:i] {
			if !c.Started.Before(earlier.At) {
				totals[i] = max(totals[i], totals[j])
			}
		}
		totals[i] += c.Weight
	}
	return totals
}
