package sillscaler

import (
	"math"
	"time"
)

// SizePolicy holds the times and shares of a Sizer.
type SizePolicy struct {
	// Utilisation is the aimed share of busy slots; above 0, at most 1.
	Utilisation float64
	// RiseWeight and Fall are the weights of one sample in the average of the busy
	// slots, where it is above and below that average; above 0, at most 1.
	RiseWeight float64
	FallWeight float64
	// ScaleDownStabilisation is how long fewer targets must suffice before one is given up.
	ScaleDownStabilisation time.Duration
	// RegistrationMargin is the time beyond its start that a target gets to register.
	RegistrationMargin time.Duration
}

// DefaultSizePolicy returns the policy of gateways without agents. They sample
// twice a second: a rise counts within a second or two, a fall within ten.
func DefaultSizePolicy() SizePolicy {
	return SizePolicy{Utilisation: 0.6, RiseWeight: 0.4, FallWeight: 0.05, ScaleDownStabilisation: 10 * time.Second, RegistrationMargin: 3 * time.Second}
}

// Bounds are the limits of a pool's targets in each availability zone.
type Bounds struct {
	// Min and Max bound the number; 0 <= Min <= Max.
	Min int
	Max int
	// StartupTime is how long a target takes to start.
	StartupTime time.Duration
}

// Occupancy is what is known of a pool's targets in one availability zone.
type Occupancy struct {
	// Targets are registered and take work.
	Targets int
	// Slots is the number of requests that one of them carries; at least 1.
	Slots int
	// Busy is the number of requests that they hold.
	Busy int
}

// Sizer decides how many targets a pool has in one availability zone, where the
// platform picks those that come and go. What it remembers only delays a change,
// so a fresh Sizer is a safe one. It answers a load that rises within seconds:
// more targets are ordered at once, fewer one by one.
type Sizer struct {
	Policy SizePolicy

	// busy is the average number of busy slots.
	busy float64
	// fewerSince is since when fewer targets suffice; zero if they do not.
	fewerSince time.Time
	// ordered is the last order, 0 if none was given.
	ordered   int
	orderedAt time.Time
}

// Decide takes a sample and returns the number of targets to order; false if
// nothing is to be ordered.
func (s *Sizer) Decide(now time.Time, b Bounds, o Occupancy) (int, bool) {
	s.sample(float64(o.Busy))
	have := o.Targets
	if now.Sub(s.orderedAt) < b.StartupTime+s.Policy.RegistrationMargin {
		have = max(have, s.ordered)
	}
	need := s.need(b, o)
	if need >= have {
		s.fewerSince = time.Time{}
		return need, need > have
	}
	if s.fewerSince.IsZero() {
		s.fewerSince = now
	}
	if now.Sub(s.fewerSince) < s.Policy.ScaleDownStabilisation {
		return 0, false
	}
	return have - 1, true
}

// RecordOrder notes that the platform took an order.
func (s *Sizer) RecordOrder(now time.Time, count int) {
	s.ordered, s.orderedAt = count, now
	s.fewerSince = time.Time{}
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
