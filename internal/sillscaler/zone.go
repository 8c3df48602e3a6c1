// Package sillscaler starts and stops instances, zone by zone, so that the
// targets of each pool keep up with demand.
//
// Zone decides for one pool in one availability zone. Task runs the zones of one
// shard while its holder has the lease, and keeps every order in a row of the
// table before it calls the platform.
package sillscaler

import (
	"math"
	"sort"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Load is the last report of one target.
type Load struct {
	Running int
	Queued  int
	// AsOf is when the target's agent made the report.
	AsOf time.Time
}

// Policy holds the times and steps of the scaler.
type Policy struct {
	// MaxReportAge is the age up to which a report counts as it is.
	MaxReportAge time.Duration
	// UnreachableAfter is the time without a report after which a target does not
	// count as serving; above MaxReportAge.
	UnreachableAfter time.Duration
	// ScaleUpStabilisation is how long more targets must be needed before a start.
	ScaleUpStabilisation time.Duration
	// ScaleDownStabilisation is how long fewer targets must suffice before a stop.
	ScaleDownStabilisation time.Duration
	// Cooldown is the time from any change to the next stop.
	Cooldown time.Duration
	// ScaleDownMargin is the share of the aimed load that must stay free after a
	// stop; from 0 to below 1.
	ScaleDownMargin float64
	// MaxStarts bounds the starts of one decision; at least 1.
	MaxStarts int
}

// DefaultPolicy returns the policy that the gateways use.
func DefaultPolicy() Policy {
	return Policy{
		MaxReportAge:           5 * time.Second,
		UnreachableAfter:       30 * time.Second,
		ScaleUpStabilisation:   2 * time.Second,
		ScaleDownStabilisation: 3 * time.Minute,
		Cooldown:               time.Minute,
		ScaleDownMargin:        0.2,
		MaxStarts:              4,
	}
}

// ZoneConfig holds what the bundle says of one pool in one availability zone.
type ZoneConfig struct {
	Pool sillid.PoolID
	Zone sillid.ZoneID
	// MaxConcurrent bounds the running requests of one target; at least 1.
	MaxConcurrent int
	// MinTargets and MaxTargets bound the targets; 0 <= MinTargets <= MaxTargets.
	MinTargets int
	MaxTargets int
	// Utilisation is the aimed share of running slots; above 0, at most 1.
	Utilisation float64
}

// Input is what a decision is made from.
type Input struct {
	// Instances are those listed for the pool and zone.
	Instances []sillinstance.Instance
	// Loads are the last reports heard.
	Loads map[sillid.TargetID]Load
	// Starting counts the instances that are ordered and not listed yet.
	Starting int
	// Stopping are listed instances with a stop under way.
	Stopping map[sillid.InstanceID]bool
}

// Command asks for one order; a stop drains the target first.
type Command struct {
	Action sillorder.Action
	// Instance and Target are empty for a start.
	Instance sillid.InstanceID
	Target   sillid.TargetID
}

// ZoneScaler decides how many targets one pool has in one availability zone. What it
// remembers only delays its commands, so a fresh ZoneScaler is a safe one.
type ZoneScaler struct {
	Policy Policy
	// Config may change between decisions.
	Config ZoneConfig

	// heard is the time of each target's last report, or of its first sight.
	heard map[sillid.TargetID]time.Time
	// aboveSince and belowSince tell since when more are needed or fewer suffice.
	aboveSince time.Time
	belowSince time.Time
	lastChange time.Time
}

// estimate is what the reports tell about the zone.
type estimate struct {
	// live counts listed instances without a stop under way.
	live int
	// serving are those heard of lately.
	serving []sillinstance.Instance
	// demand counts running and queued requests.
	demand float64
}

// Decide returns the orders that are due at now.
func (z *ZoneScaler) Decide(now time.Time, in Input) []Command {
	if z.lastChange.IsZero() {
		z.lastChange = now
	}
	z.hear(now, in)
	e := z.estimate(now, in)
	have := len(e.serving) + in.Starting
	blind := len(e.serving)*2 < e.live
	if n := z.starts(now, e, have, in, blind); n > 0 {
		z.lastChange = now
		return repeatStart(n)
	}
	if blind || in.Starting > 0 || len(in.Stopping) > 0 {
		z.belowSince = time.Time{}
		return nil
	}
	return z.stop(now, e, in.Loads, have)
}

func repeatStart(n int) []Command {
	commands := make([]Command, n)
	for i := range commands {
		commands[i] = Command{Action: sillorder.Start}
	}
	return commands
}

// hear notes when each live target was last heard of.
func (z *ZoneScaler) hear(now time.Time, in Input) {
	heard := make(map[sillid.TargetID]time.Time, len(in.Instances))
	for _, inst := range in.Instances {
		last, ok := z.heard[inst.Target]
		if !ok {
			last = now
		}
		if l, ok := in.Loads[inst.Target]; ok && l.AsOf.After(last) {
			last = l.AsOf
		}
		heard[inst.Target] = last
	}
	z.heard = heard
}

// perTarget is the number of requests that one target is meant to carry.
func (z *ZoneScaler) perTarget() float64 {
	return float64(z.Config.MaxConcurrent) * z.Config.Utilisation
}

// estimate counts a target whose report is late as loaded as aimed at, so that
// missing reports neither start nor stop anything.
func (z *ZoneScaler) estimate(now time.Time, in Input) estimate {
	var e estimate
	for _, inst := range in.Instances {
		if inst.State != sillinstance.Live || in.Stopping[inst.ID] {
			continue
		}
		e.live++
		if now.Sub(z.heard[inst.Target]) > z.Policy.UnreachableAfter {
			continue
		}
		e.serving = append(e.serving, inst)
		l, ok := in.Loads[inst.Target]
		if ok && now.Sub(l.AsOf) <= z.Policy.MaxReportAge {
			e.demand += float64(l.Running + l.Queued)
		} else {
			e.demand += z.perTarget()
		}
	}
	return e
}

// needed returns the targets for a demand when each carries perTarget requests.
func (z *ZoneScaler) needed(demand, perTarget float64) int {
	n := int(math.Ceil(demand/perTarget - 1e-9))
	return min(max(n, z.Config.MinTargets), z.Config.MaxTargets)
}

// starts returns how many instances to start. A zone whose reports are mostly
// missing starts only what the lower bound asks for.
func (z *ZoneScaler) starts(now time.Time, e estimate, have int, in Input, blind bool) int {
	room := z.Config.MaxTargets - e.live - in.Starting - len(in.Stopping)
	if missing := z.Config.MinTargets - e.live - in.Starting; missing > 0 {
		return min(missing, z.Policy.MaxStarts)
	}
	need := z.needed(e.demand, z.perTarget())
	if blind || need <= have {
		z.aboveSince = time.Time{}
		return 0
	}
	if z.aboveSince.IsZero() {
		z.aboveSince = now
	}
	if now.Sub(z.aboveSince) < z.Policy.ScaleUpStabilisation {
		return 0
	}
	return max(0, min(need-have, room, z.Policy.MaxStarts))
}

// stop returns at most one stop, of the least loaded target.
func (z *ZoneScaler) stop(now time.Time, e estimate, loads map[sillid.TargetID]Load, have int) []Command {
	suffice := z.needed(e.demand, z.perTarget()*(1-z.Policy.ScaleDownMargin))
	if suffice >= have || len(e.serving) == 0 {
		z.belowSince = time.Time{}
		return nil
	}
	if z.belowSince.IsZero() {
		z.belowSince = now
	}
	if now.Sub(z.belowSince) < z.Policy.ScaleDownStabilisation || now.Sub(z.lastChange) < z.Policy.Cooldown {
		return nil
	}
	z.lastChange = now
	sort.Slice(e.serving, func(i, j int) bool {
		a, b := loads[e.serving[i].Target], loads[e.serving[j].Target]
		if a.Running+a.Queued != b.Running+b.Queued {
			return a.Running+a.Queued < b.Running+b.Queued
		}
		return e.serving[i].ID < e.serving[j].ID
	})
	least := e.serving[0]
	return []Command{{Action: sillorder.Stop, Instance: least.ID, Target: least.Target}}
}
