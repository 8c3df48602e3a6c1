// Package sillscaler scales the targets of each pool with its demand, separately
// in each availability zone.
//
// ZoneScaler decides which instances of one pool and zone to start and stop. Task
// runs the zones of one shard while the process holds the shard's lease, and
// stores every order in a row of the table before it calls the platform.
//
// Resizer and its Sizers serve gateways without agents: they set a desired count
// per pool and zone, and the platform picks the instances.
package sillscaler

import (
	"math"
	"sort"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillinstance"
	"github.com/wasabisill/wasabisill/internal/sillorder"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Load is the last load report of one target.
type Load struct {
	Running int
	Queued  int
	// AsOf is when the target's agent made the report.
	AsOf time.Time
}

// Policy holds the parameters of a ZoneScaler.
type Policy struct {
	// MaxReportAge is the age up to which a report is used as the target's load.
	MaxReportAge time.Duration
	// UnreachableAfter is the time without a report after which a target no
	// longer counts as serving; above MaxReportAge.
	UnreachableAfter time.Duration
	// ScaleUpStabilisation is how long more targets must be needed before a start.
	ScaleUpStabilisation time.Duration
	// ScaleDownStabilisation is how long fewer targets must suffice before a stop.
	ScaleDownStabilisation time.Duration
	// Cooldown is the minimum time between any start or stop and the next stop.
	Cooldown time.Duration
	// ScaleDownMargin is the share of the desired load that must remain free
	// after a stop; from 0 to below 1.
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

// ZoneConfig is the bundle's configuration of one pool in one availability zone.
type ZoneConfig struct {
	Pool sillid.PoolID
	Zone sillid.ZoneID
	// MaxConcurrent bounds the running requests of one target; at least 1.
	MaxConcurrent int
	// MinTargets and MaxTargets bound the number of targets;
	// 0 <= MinTargets <= MaxTargets.
	MinTargets int
	MaxTargets int
	// Utilisation is the desired share of busy slots; above 0, at most 1.
	Utilisation float64
}

// Input is the observed state of the zone.
type Input struct {
	// Instances are the listed instances of the pool and zone.
	Instances []sillinstance.Instance
	// Loads are the last load reports.
	Loads map[sillid.TargetID]Load
	// Starting is the number of ordered instances that are not listed yet.
	Starting int
	// Stopping holds the listed instances with a stop in progress.
	Stopping map[sillid.InstanceID]bool
}

// Command is a decision to start or stop one instance. A stop drains the target
// first.
type Command struct {
	Action sillorder.Action
	// Instance and Target are empty for a start.
	Instance sillid.InstanceID
	Target   sillid.TargetID
}

// ZoneScaler decides when to start and stop the instances of one pool in one
// availability zone. Its state only delays commands, so it is safe to start with
// a new ZoneScaler.
type ZoneScaler struct {
	Policy Policy
	// Config may change between decisions.
	Config ZoneConfig

	// lastReports holds the time of each target's last report, or the time at
	// which it was first listed.
	lastReports map[sillid.TargetID]time.Time
	// scaleUpSince and scaleDownSince are the times since which more targets are
	// needed or fewer suffice; zero if that is not the case.
	scaleUpSince   time.Time
	scaleDownSince time.Time
	lastChange     time.Time
}

// estimate is the state of the zone as derived from the reports.
type estimate struct {
	// live is the number of live listed instances without a stop in progress.
	live int
	// serving are the live instances with a report within UnreachableAfter.
	serving []sillinstance.Instance
	// demand is the number of running and queued requests.
	demand float64
}

// Decide returns the orders that are due at now.
func (z *ZoneScaler) Decide(now time.Time, in Input) []Command {
	if z.lastChange.IsZero() {
		z.lastChange = now
	}
	z.recordReports(now, in)
	e := z.estimate(now, in)
	available := len(e.serving) + in.Starting
	reportsMissing := len(e.serving)*2 < e.live
	if n := z.startCount(now, e, available, in, reportsMissing); n > 0 {
		z.lastChange = now
		return repeatStart(n)
	}
	if reportsMissing || in.Starting > 0 || len(in.Stopping) > 0 {
		z.scaleDownSince = time.Time{}
		return nil
	}
	return z.stopLeastLoaded(now, e, in.Loads, available)
}

func repeatStart(n int) []Command {
	commands := make([]Command, n)
	for i := range commands {
		commands[i] = Command{Action: sillorder.Start}
	}
	return commands
}

// recordReports updates the time of each listed target's last report.
func (z *ZoneScaler) recordReports(now time.Time, in Input) {
	lastReports := make(map[sillid.TargetID]time.Time, len(in.Instances))
	for _, inst := range in.Instances {
		last, ok := z.lastReports[inst.Target]
		if !ok {
			last = now
		}
		if l, ok := in.Loads[inst.Target]; ok && l.AsOf.After(last) {
			last = l.AsOf
		}
		lastReports[inst.Target] = last
	}
	z.lastReports = lastReports
}

// requestsPerTarget returns the number of requests of one target at the desired
// utilisation.
func (z *ZoneScaler) requestsPerTarget() float64 {
	return float64(z.Config.MaxConcurrent) * z.Config.Utilisation
}

// estimate assumes the desired utilisation for a target whose last report is older
// than MaxReportAge, so that missing reports neither start nor stop instances.
func (z *ZoneScaler) estimate(now time.Time, in Input) estimate {
	var e estimate
	for _, inst := range in.Instances {
		if inst.State != sillinstance.Live || in.Stopping[inst.ID] {
			continue
		}
		e.live++
		if now.Sub(z.lastReports[inst.Target]) > z.Policy.UnreachableAfter {
			continue
		}
		e.serving = append(e.serving, inst)
		l, ok := in.Loads[inst.Target]
		if ok && now.Sub(l.AsOf) <= z.Policy.MaxReportAge {
			e.demand += float64(l.Running + l.Queued)
		} else {
			e.demand += z.requestsPerTarget()
		}
	}
	return e
}

// needed returns the number of targets for a demand if each carries perTarget
// requests, within the bounds.
func (z *ZoneScaler) needed(demand, perTarget float64) int {
	n := int(math.Ceil(demand/perTarget - 1e-9))
	return min(max(n, z.Config.MinTargets), z.Config.MaxTargets)
}

// startCount returns how many instances to start. While most live targets don't
// report, it only starts what is missing to the lower bound.
func (z *ZoneScaler) startCount(now time.Time, e estimate, available int, in Input, reportsMissing bool) int {
	headroom := z.Config.MaxTargets - e.live - in.Starting - len(in.Stopping)
	if missing := z.Config.MinTargets - e.live - in.Starting; missing > 0 {
		return min(missing, z.Policy.MaxStarts)
	}
	need := z.needed(e.demand, z.requestsPerTarget())
	if reportsMissing || need <= available {
		z.scaleUpSince = time.Time{}
		return 0
	}
	if z.scaleUpSince.IsZero() {
		z.scaleUpSince = now
	}
	if now.Sub(z.scaleUpSince) < z.Policy.ScaleUpStabilisation {
		return 0
	}
	return max(0, min(need-available, headroom, z.Policy.MaxStarts))
}

// stopLeastLoaded returns a stop of the least loaded target if fewer targets have
// sufficed for long enough, or nil.
func (z *ZoneScaler) stopLeastLoaded(now time.Time, e estimate, loads map[sillid.TargetID]Load, available int) []Command {
	sufficient := z.needed(e.demand, z.requestsPerTarget()*(1-z.Policy.ScaleDownMargin))
	if sufficient >= available || len(e.serving) == 0 {
		z.scaleDownSince = time.Time{}
		return nil
	}
	if z.scaleDownSince.IsZero() {
		z.scaleDownSince = now
	}
	if now.Sub(z.scaleDownSince) < z.Policy.ScaleDownStabilisation || now.Sub(z.lastChange) < z.Policy.Cooldown {
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
