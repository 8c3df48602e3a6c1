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
	// coldGranters is the number of gateways that may grant permits for one run at the same
	// time, because not all have read the newest rows.
	coldGranters = 2
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
	// Rate and Burst are those of the bucket of each granter.
	Rate  PerSecond `cbor:"rate"`
	Burst float64   `cbor:"burst"`
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
	rate := PerSecond(left / (coldGranters * coldSpan.Seconds()))
	return Allowance{
		Rate: min(max(rate, minRate), perSecond), Burst: coldBurst, SlotRate: slotRate, Fill: max(int(fillShare*bound), minFill),
	}
}
