package silllimit

import "math"

// DefaultLatencyTolerance is the ratio of latency to its baseline that counts
// as queueing inside the target.
const DefaultLatencyTolerance = 2.0

const (
	// smoothingFactor is the weight of a new value in a moving average.
	smoothingFactor = 0.1
	// upperBoundDeviations is the number of mean deviations above the mean that
	// few samples exceed, even where service times have a long tail.
	upperBoundDeviations = 6
	// refusalDecay multiplies a mean service time each time an entry is refused
	// because of it.
	refusalDecay = 0.95
	// limitDecreaseFactor is the factor of the multiplicative decrease.
	limitDecreaseFactor = 0.9
	// baselineSmoothing is the share of the difference by which the baseline
	// moves towards the latency of a faster window. Only probes raise the baseline.
	baselineSmoothing = 0.2
	// probeLimitDivisor divides the limit while a probe measures the baseline.
	probeLimitDivisor = 4
	// minProbeInterval and maxProbeInterval bound the number of windows at the
	// limit between two probes. A probe that confirms the baseline doubles the
	// interval; one that finds a much lower latency resets it.
	minProbeInterval = 50
	maxProbeInterval = 1600
	// confirmRatio is the minimum ratio of a probe's latency to the baseline at
	// which the probe confirms the baseline.
	confirmRatio = 0.8
	// decreasesBeforeProbe is the number of consecutive decreases that start a
	// probe, because the requests may have become slower without queueing.
	decreasesBeforeProbe = 4
	// minWindowSamples is the minimum number of samples between two changes of
	// the limit.
	minWindowSamples = 64
)

// movingAverage is an exponentially weighted moving average with its mean deviation.
type movingAverage struct {
	value     float64
	deviation float64
	known     bool
}

func (a *movingAverage) add(v float64) {
	if !a.known {
		a.value, a.known = v, true
		return
	}
	a.deviation += smoothingFactor * (math.Abs(v-a.value) - a.deviation)
	a.value += smoothingFactor * (v - a.value)
}

// upperBound returns a value that few samples exceed.
func (a *movingAverage) upperBound() float64 {
	return a.value + upperBoundDeviations*a.deviation
}

func (a *movingAverage) decay() {
	a.value *= refusalDecay
	a.deviation *= refusalDecay
}

// adaptiveLimit is a concurrency limit with additive increase and multiplicative
// decrease (AIMD). It rises by one while entries wait at the limit and falls by a
// factor when latency exceeds its baseline by more than the tolerance. It
// periodically probes: it measures the baseline again at a fraction of the limit.
type adaptiveLimit struct {
	// current is from 1 to maximum.
	current   float64
	maximum   float64
	tolerance float64
	// baseline is the latency in seconds of a target without internal queueing;
	// 0 if unknown.
	baseline float64
	// latencySum (in seconds) and samples cover the current window, which starts
	// after skipSamples further samples.
	latencySum  float64
	samples     int
	skipSamples int
	// saturated is true if entries waited at the limit during the window.
	saturated bool
	probing   bool
	// windowsUntilProbe counts down from probeInterval with each saturated window
	// that does not lower the limit.
	windowsUntilProbe int
	probeInterval     int
	// consecutiveDecreases counts the latest windows in a row that lowered the limit.
	consecutiveDecreases int
}

func newAdaptiveLimit(maximum int, tolerance float64) adaptiveLimit {
	if tolerance == 0 {
		tolerance = DefaultLatencyTolerance
	}
	n := float64(max(maximum, 1))
	l := adaptiveLimit{current: n, maximum: n, tolerance: tolerance, probeInterval: minProbeInterval}
	l.windowsUntilProbe = l.probeInterval
	return l
}

func (l *adaptiveLimit) value() int {
	if l.probing {
		return max(1, int(l.current/probeLimitDivisor))
	}
	return int(l.current)
}

func (l *adaptiveLimit) observeOverload() {
	l.current = max(1, l.current*limitDecreaseFactor)
	l.resetWindow()
}

func (l *adaptiveLimit) observeLatency(latency float64) {
	if latency <= 0 {
		return
	}
	if l.skipSamples > 0 {
		l.skipSamples--
		return
	}
	l.latencySum += latency
	l.samples++
	if l.samples < max(minWindowSamples, l.value()) {
		return
	}
	mean := l.latencySum / float64(l.samples)
	if l.probing {
		l.endProbe(mean)
	} else {
		l.adjust(mean)
	}
	l.resetWindow()
}

func (l *adaptiveLimit) adjust(mean float64) {
	if l.baseline == 0 {
		l.baseline = mean
	}
	if mean < l.baseline {
		l.baseline += baselineSmoothing * (mean - l.baseline)
	}
	if mean > l.tolerance*l.baseline {
		l.current = max(1, l.current*limitDecreaseFactor)
		l.consecutiveDecreases++
	} else {
		l.consecutiveDecreases = 0
		l.increase()
	}
	if l.windowsUntilProbe <= 0 || l.consecutiveDecreases >= decreasesBeforeProbe {
		l.probing = true
		// The entries that run now started under the full limit.
		l.skipSamples = int(l.current)
	}
}

func (l *adaptiveLimit) increase() {
	if !l.saturated {
		return
	}
	l.current = min(l.maximum, l.current+1)
	l.windowsUntilProbe--
}

func (l *adaptiveLimit) endProbe(mean float64) {
	l.probeInterval = min(2*l.probeInterval, maxProbeInterval)
	if mean < confirmRatio*l.baseline {
		l.probeInterval = minProbeInterval
	}
	l.windowsUntilProbe = l.probeInterval
	l.baseline = mean
	l.probing = false
	l.consecutiveDecreases = 0
	l.skipSamples = l.value()
}

func (l *adaptiveLimit) resetWindow() {
	l.latencySum = 0
	l.samples = 0
	l.saturated = false
}
