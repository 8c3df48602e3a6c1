package sillroute

import (
	"cmp"
	"slices"
	"time"
)

// EjectReason is why a target was ejected.
type EjectReason string

// The reasons for an ejection.
const (
	EjectConsecutiveFailures EjectReason = "failures"
	EjectErrorRate           EjectReason = "error-rate"
	EjectLatency             EjectReason = "latency"
)

// DefaultMaxEjectedShare is the default share of targets that can be ejected at
// once.
const DefaultMaxEjectedShare = 0.34

const (
	// maxConsecutiveFailures is the number of consecutive failures that eject a
	// target.
	maxConsecutiveFailures = 5
	// maxErrorRate is the moving average of the error rate above which a target
	// is ejected.
	maxErrorRate = 0.5
	// latencyOutlierFactor is the multiple of the median latency above which a
	// target is ejected.
	latencyOutlierFactor = 3.0
	// minSamples is the minimum number of results before a target is ejected
	// for its error rate or latency.
	minSamples = 20
	// smoothingFactor is the weight of a new result in a moving average.
	smoothingFactor = 0.1

	baseEjectionTime = 5 * time.Second
	maxEjectionTime  = 2 * time.Minute
	// rampUpTime is the time after an ejection over which a target regains its
	// full share of requests.
	rampUpTime = 20 * time.Second
	// initialRampUpShare is the share of its requests that a target gets at the
	// end of an ejection.
	initialRampUpShare = 0.1
)

// outlierStats are the statistics of a target since its last ejection.
type outlierStats struct {
	samples             int
	consecutiveFailures int
	errorRate           float64
	// latency is the moving average in seconds; 0 if unknown.
	latency float64
	// ejections counts consecutive ejections, without a completed ramp-up in
	// between.
	ejections int
}

func (c *Chooser) recordOutcome(now time.Time, s *targetState, outcome Outcome, latency time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &s.stats
	r.samples++
	fault := 0.0
	if outcome == TargetFault {
		fault = 1
		r.consecutiveFailures++
	} else {
		r.consecutiveFailures = 0
		r.addLatency(latency.Seconds())
	}
	r.errorRate += smoothingFactor * (fault - r.errorRate)
	switch {
	case r.consecutiveFailures >= maxConsecutiveFailures:
		c.eject(now, s, EjectConsecutiveFailures)
	case r.samples >= minSamples && r.errorRate > maxErrorRate:
		c.eject(now, s, EjectErrorRate)
	}
}

func (r *outlierStats) addLatency(latency float64) {
	switch {
	case latency <= 0:
	case r.latency == 0:
		r.latency = latency
	default:
		r.latency += smoothingFactor * (latency - r.latency)
	}
}

// ejectLatencyOutliers ejects the targets whose latency is far above the
// median.
func (c *Chooser) ejectLatencyOutliers(now time.Time) {
	var latencies []float64
	for _, s := range c.states {
		if s.stats.hasMeanLatency() {
			latencies = append(latencies, s.stats.latency)
		}
	}
	if len(latencies) < 3 {
		return
	}
	slices.Sort(latencies)
	highest := latencyOutlierFactor * latencies[len(latencies)/2]
	var slow []*targetState
	for _, s := range c.states {
		if s.stats.hasMeanLatency() && s.stats.latency > highest {
			slow = append(slow, s)
		}
	}
	slices.SortFunc(slow, func(a, b *targetState) int { return cmp.Compare(b.stats.latency, a.stats.latency) })
	for _, s := range slow {
		c.eject(now, s, EjectLatency)
	}
}

func (r *outlierStats) hasMeanLatency() bool {
	return r.samples >= minSamples && r.latency > 0
}

// eject ejects the target for a time that doubles with each consecutive
// ejection, unless the maximum share of targets is already ejected.
func (c *Chooser) eject(now time.Time, s *targetState, reason EjectReason) {
	until := s.ejectedUntil.Load()
	if until > now.UnixNano() || !c.mayEject(now) {
		return
	}
	if until != 0 && now.UnixNano() > until+int64(rampUpTime) {
		s.stats.ejections = 0
	}
	wait := min(baseEjectionTime<<min(s.stats.ejections, 10), maxEjectionTime)
	s.stats = outlierStats{ejections: s.stats.ejections + 1}
	s.ejectedUntil.Store(now.Add(wait).UnixNano())
	c.cfg.Ejected(s.id, reason)
}

func (c *Chooser) mayEject(now time.Time) bool {
	ejected := 0
	for _, s := range c.states {
		if s.ejectedUntil.Load() > now.UnixNano() {
			ejected++
		}
	}
	return float64(ejected+1) <= c.cfg.MaxEjectedShare*float64(len(c.states))
}
