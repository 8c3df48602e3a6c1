package sillpermit

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Granter is who grants the permits of a run.
type Granter string

const (
	// GrantedHere means that this process grants them.
	GrantedHere Granter = "this-gateway"
	// GrantedByPeer means that another gateway does.
	GrantedByPeer Granter = "other-gateway"
	// GrantedBySlots means that the gateway that grants them is not known or does not answer:
	// each gateway may send one request in its own slots of time.
	GrantedBySlots Granter = "time-slots"
)

// RateReason is why permits are limited.
type RateReason string

const (
	// NamedLimit is for the limit that the target names.
	NamedLimit RateReason = "limit"
	// ColdShare is for a target that may be cold.
	ColdShare RateReason = "cold"
)

// Rate is the rate of the permits of a run for one reason. A request needs a permit for each.
type Rate struct {
	Reason    RateReason
	PerSecond sillrate.PerSecond
	Burst     float64
}

// State is what this process knows of the permits of a run.
type State struct {
	Granter Granter
	// Gateway is the gateway that grants them; empty if it is not known.
	Gateway sillid.InstanceID
	// Rates are empty if a request needs no permit.
	Rates []Rate
	// Next is the time until a permit is expected if no other request takes it, and
	// NextKnown whether this process knows it: only the granter does.
	Next      time.Duration
	NextKnown bool
}

// Explain returns what would become of an ask that is made now. It asks no other gateway, and
// takes and counts nothing.
func (b *Broker) Explain(a Ask) State {
	now := b.cfg.Now()
	place := b.cfg.Place(a.Run)
	limit, cold := b.limitOf(now, a.Run), b.coldAllowance(now, a)
	if limit == 0 && cold == nil {
		return State{}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case place.Self:
		if cold != nil {
			allowance := cold.For(place.Settled)
			cold = &allowance
		}
		s := b.granter.explain(now, a, limit, cold)
		s.Granter, s.Gateway = GrantedHere, place.Gateway
		return s
	case place.Address == "" || now.Before(b.unreachableUntil[place.Address]):
		return b.explainSlots(now, a, limit, cold)
	}
	return State{Granter: GrantedByPeer, Gateway: place.Gateway, Rates: ratesOf(newGrantedRun().buckets(now, limit, cold), limit)}
}

// explain returns the state of the permits that this process grants.
func (g *granter) explain(now time.Time, a Ask, limit sillrate.PerSecond, cold *sillrate.Allowance) State {
	r := newGrantedRun()
	if known := g.runs[a.Run]; known != nil {
		r = known.copy()
	}
	buckets := r.buckets(now, limit, cold)
	s := State{Rates: ratesOf(buckets, limit), NextKnown: true}
	for _, bucket := range buckets {
		s.Next = max(s.Next, bucket.Delay(now, a.Class))
	}
	isOver := a.Class == sillrate.Interactive && isScarce(now, buckets) && r.shares.isOver(now, a.Organisation)
	// The tokens taken are those of a copy.
	granted, _ := takeAll(now, buckets, a.Class)
	switch {
	case isOver:
		s.Next = max(s.Next, shareRetryAfter)
	case !granted:
		s.Next = max(s.Next, time.Millisecond)
	}
	return s
}

// explainSlots returns the state of permits by time slots. The caller holds b.mu.
func (b *Broker) explainSlots(now time.Time, a Ask, limit sillrate.PerSecond, cold *sillrate.Allowance) State {
	rate := slotRate(limit, cold)
	reason := NamedLimit
	if rate != slotShare*limit {
		reason = ColdShare
	}
	copied := slotter{}
	if s := b.slotters[a.Run]; s != nil {
		copied = *s
	}
	v := copied.take(now, rate/slotShare, b.cfg.Position())
	return State{Granter: GrantedBySlots, Rates: []Rate{{Reason: reason, PerSecond: rate, Burst: 1}}, Next: v.RetryAfter, NextKnown: true}
}

// ratesOf describes buckets; the first one is that of the limit, if there is any.
func ratesOf(buckets []*sillrate.Bucket, limit sillrate.PerSecond) []Rate {
	rates := make([]Rate, 0, len(buckets))
	for i, b := range buckets {
		reason := ColdShare
		if i == 0 && limit > 0 {
			reason = NamedLimit
		}
		rates = append(rates, Rate{Reason: reason, PerSecond: b.Rate(), Burst: b.Capacity()})
	}
	return rates
}
