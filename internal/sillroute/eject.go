package sillroute

import (
	"cmp"
	"slices"
	"time"
)

// EjectReason tells why a target was ejected.
type EjectReason string

// The reasons of an ejection.
const (
	EjectConsecutiveFailures EjectReason = "failures"
	EjectErrorRate           EjectReason = "error-rate"
	EjectLatency             EjectReason = "latency"
)

// DefaultMaxEjectedShare is the share of targets that may be ejected at once.
const DefaultMaxEjectedShare = 0.34

const (
	// failuresInRow ejects a target at once.
	failuresInRow = 5
	// errorShare ejects a target whose recent share of faults is above it.
	errorShare = 0.5
	// latencyFactor ejects a target whose latency is above this factor of the median.
	latencyFactor = 3.0
	// minSamples is the number of results that a judgement on rates needs.
	minSamples = 20
	// recordGain is the weight of a new result in the record.
	recordGain = 0.1

	firstEjection   = 5 * time.Second
	longestEjection = 2 * time.Minute
	// slowReturn is the time over which a returned target regains its full share.
	slowReturn = 20 * time.Second
	// returnShare is the share with which a target returns.
	returnShare = 0.1
)

// record is what the results of a target showed since its last ejection.
type record struct {
	samples int
	inRow   int
	errors  float64
	// latency is in seconds; 0 if unknown.
	latency float64
	// ejections counts the ejections without a full return in between.
	ejections int
}

func (c *Chooser) judge(now time.Time, s *state, ending Outcome, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &s.record
	r.samples++
	fault := 0.0
	if ending == TargetFault {
		fault = 1
		r.inRow++
	} else {
		r.inRow = 0
		r.addLatency(latency.Seconds())
	}
	r.errors += recordGain * (fault - r.errors)
	switch {
	case r.inRow >= failuresInRow:
		c.eject(now, s, EjectConsecutiveFailures)
	case r.samples >= minSamples && r.errors > errorShare:
		c.eject(now, s, EjectErrorRate)
	}
}

func (r *record) addLatency(latency float64) {
	switch {
	case latency <= 0:
	case r.latency == 0:
		r.latency = latency
	default:
		r.latency += recordGain * (latency - r.latency)
	}
}

// ejectSlow ejects the targets whose latency is far above the median.
func (c *Chooser) ejectSlow(now time.Time) {
	var latencies []float64
	for _, s := range c.states {
		if s.record.judgeable() {
			latencies = append(latencies, s.record.latency)
		}
	}
	if len(latencies) < 3 {
		return
	}
	slices.Sort(latencies)
	highest := latencyFactor * latencies[len(latencies)/2]
	var slow []*state
	for _, s := range c.states {
		if s.record.judgeable() && s.record.latency > highest {
			slow = append(slow, s)
		}
	}
	slices.SortFunc(slow, func(a, b *state) int { return cmp.Compare(b.record.latency, a.record.latency) })
	for _, s := range slow {
		c.eject(now, s, EjectLatency)
	}
}

func (r *record) judgeable() bool {
	return r.samples >= minSamples && r.latency > 0
}

// eject takes the target out for a time that doubles with each ejection,
// unless too many targets are out already.
func (c *Chooser) eject(now time.Time, s *state, reason EjectReason) {
	back := s.returnAt.Load()
	if back > now.UnixNano() || !c.mayEject(now) {
		return
	}
	if back != 0 && now.UnixNano() > back+int64(slowReturn) {
		s.record.ejections = 0
	}
	wait := min(firstEjection<<min(s.record.ejections, 10), longestEjection)
	s.record = record{ejections: s.record.ejections + 1}
	s.returnAt.Store(now.Add(wait).UnixNano())
	c.cfg.Ejected(s.id, reason)
}

func (c *Chooser) mayEject(now time.Time) bool {
	out := 0
	for _, s := range c.states {
		if s.returnAt.Load() > now.UnixNano() {
			out++
		}
	}
	return float64(out+1) <= c.cfg.MaxEjectedShare*float64(len(c.states))
}
