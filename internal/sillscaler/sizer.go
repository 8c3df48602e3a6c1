package sillscaler

import (
	"math"
	"time"
)

// SizePolicy holds the parameters of a Sizer.
type SizePolicy struct {
	// Utilisation is the desired share of busy slots; above 0, at most 1.
	Utilisation float64
	// RiseWeight and FallWeight are the weights of a sample in the moving average
	// of busy slots, for samples above and below the average; above 0, at most 1.
	RiseWeight float64
	FallWeight float64
	// ScaleDownStabilisation is how long fewer targets must suffice before the
	// count is lowered.
	ScaleDownStabilisation time.Duration
	// RegistrationMargin is the time for a target to register after its startup.
	RegistrationMargin time.Duration
}

// DefaultSizePolicy returns the policy of gateways without agents. They sample
// twice a second, so the average follows a rise in load within a second or two
// and a fall within ten.
func DefaultSizePolicy() SizePolicy {
	return SizePolicy{Utilisation: 0.6, RiseWeight: 0.4, FallWeight: 0.05, ScaleDownStabilisation: 10 * time.Second, RegistrationMargin: 3 * time.Second}
}

// Bounds limits the targets of a pool in each availability zone.
type Bounds struct {
	// Min and Max bound the desired count; 0 <= Min <= Max.
	Min int
	Max int
	// StartupTime is how long a target takes to start.
	StartupTime time.Duration
}

// Occupancy holds the targets and the load of a pool in one availability zone.
type Occupancy struct {
	// Targets is the number of registered targets that accept requests.
	Targets int
	// Slots is the number of concurrent requests of one target; at least 1.
	Slots int
	// Busy is the number of running requests of all the targets.
	Busy int
}

// Sizer computes the desired count of a pool's targets in one availability zone;
// the platform picks the targets to start and stop. It scales up in one step, to
// follow a rising load within seconds, and scales down one target at a time. Its
// state only delays changes, so it is safe to start with a new Sizer.
type Sizer struct {
	Policy SizePolicy

	// busy is the moving average of busy slots.
	busy float64
	// scaleDownSince is the time since which fewer targets suffice; zero if they
	// do not.
	scaleDownSince time.Time
	// orderedCount is the last accepted desired count; 0 if there is none.
	orderedCount int
	orderedAt    time.Time
}

// Decide takes a sample and returns the desired count. It returns false if the
// count doesn't change. Ordered targets count as present while they start up.
func (s *Sizer) Decide(now time.Time, b Bounds, o Occupancy) (int, bool) {
	s.sample(float64(o.Busy))
	available := o.Targets
	if now.Sub(s.orderedAt) < b.StartupTime+s.Policy.RegistrationMargin {
		available = max(available, s.orderedCount)
	}
	need := s.need(b, o)
	if need >= available {
		s.scaleDownSince = time.Time{}
		return need, need > available
	}
	if s.scaleDownSince.IsZero() {
		s.scaleDownSince = now
	}
	if now.Sub(s.scaleDownSince) < s.Policy.ScaleDownStabilisation {
		return 0, false
	}
	return available - 1, true
}

// RecordOrder records that the platform accepted an order for count targets.
func (s *Sizer) RecordOrder(now time.Time, count int) {
	s.orderedCount, s.orderedAt = count, now
	s.scaleDownSince = time.Time{}
}

func (s *Sizer) sample(busy float64) {
	weight := s.Policy.FallWeight
	if busy > s.busy {
		weight = s.Policy.RiseWeight
	}
	s.busy += weight * (busy - s.busy)
}

func (s *Sizer) need(b Bounds, o Occupancy) int {
	perTarget := float64(max(o.Slots, 1)) * s.Policy.Utilisation
	return min(max(int(math.Ceil(s.busy/perTarget-1e-9)), b.Min), b.Max)
}
