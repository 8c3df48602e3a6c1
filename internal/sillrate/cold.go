package sillrate

import "time"

const (
	// coldSpan is the time within which the requests are permitted that reach a target
	// within one second: that second, and the time for which a permit is valid.
	coldSpan = time.Second + PermitValidity
	// PermitValidity is how long after it was asked for a permit for a cold target may be
	// used. It covers a call to the granter and a new connection nearby.
	PermitValidity = 300 * time.Millisecond
	// coldBurst is the number of tokens that the bucket of a cold target holds at most.
	// Background requests need two.
	coldBurst = 2
	// settledShare is the share of what is left for granters that one gets whose place is
	// settled. The rest is for another one at the same time: not all gateways have read the
	// newest rows. Three granters that are not settled fit into the bound.
	settledShare = 2.0 / 3
	// coldSlotShare is the share of what a cold target bears that gateways use that do not
	// reach its granter. slotEdges is the number of slots that a span may touch beyond those
	// that fit into it, and forcedRequests the requests that are sent in any case.
	coldSlotShare  = 0.1
	slotEdges      = 2
	forcedRequests = 1
	// fillShare is the share of the bound that one gateway uses at a target that it takes
	// for warm.
	fillShare = 1.0 / 3
	// minFill is the least number of such requests a second.
	minFill = 2
)

// Allowance is how requests to a cold target are permitted. All parts together stay below
// the bound of requests in one second.
type Allowance struct {
	// Rate and Burst are those of the bucket of each granter. SettledRate replaces Rate at one
	// whose place is settled; 0 in allowances of earlier builds.
	Rate        PerSecond `cbor:"rate"`
	SettledRate PerSecond `cbor:"settled-rate,omitempty"`
	Burst       float64   `cbor:"burst"`
	// SlotRate is the rate of the time slots over all gateways.
	SlotRate PerSecond `cbor:"slot-rate"`
	// Fill is the number of requests that fill free slots that one gateway sends within one second to
	// a target that it takes for warm, since it may have turned cold unnoticed.
	Fill int `cbor:"fill"`
}

// ColdAllowance returns the allowance of a target that bears perSecond requests a second
// while it is cold, and gets perSecond*overshoot+slack within any second at most.
func ColdAllowance(perSecond PerSecond, overshoot, slack float64) Allowance {
	bound := float64(perSecond)*overshoot + slack
	slotRate := max(coldSlotShare*perSecond, minRate)
	left := bound - forcedRequests - slotEdges - coldBurst - float64(slotRate)*coldSpan.Seconds()
	granted := PerSecond(left / coldSpan.Seconds())
	limited := func(rate PerSecond) PerSecond { return min(max(rate, minRate), perSecond) }
	return Allowance{
		Rate: limited((1 - settledShare) * granted), SettledRate: limited(settledShare * granted),
		Burst: coldBurst, SlotRate: slotRate, Fill: max(int(fillShare*bound), minFill),
	}
}

// For returns the allowance of a granter, whose place is settled or not.
func (a Allowance) For(settled bool) Allowance {
	if settled {
		a.Rate = max(a.Rate, a.SettledRate)
	}
	return a
}
