package silldirectgateway

import (
	"math/rand/v2"
	"slices"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// RegionOf returns the region of an availability zone; empty if it is unknown.
func (s *Settings) RegionOf(zone sillid.ZoneID) sillid.RegionID {
	if region := s.Regions[zone]; region != "" {
		return region
	}
	if zone == s.Zone {
		return s.Region
	}
	return ""
}

// isKnown returns whether a known zone is in a region.
func (s *Settings) isKnown(region sillid.RegionID) bool {
	for _, known := range s.Regions {
		if known == region {
			return true
		}
	}
	return region == s.Region
}

// isNear returns whether a zone is in the region of this process.
func (s *Settings) isNear(zone sillid.ZoneID) bool {
	region := s.RegionOf(s.Zone)
	return zone == s.Zone || (region != "" && s.RegionOf(zone) == region)
}

// regionPeers returns the addresses of the other live gateways of this region, in random
// order.
func (m *membership) regionPeers() []string {
	var peers []string
	for _, other := range m.members.Live(sillclock.Boot()) {
		if other.Instance != m.settings.Instance && m.settings.isNear(other.Zone) {
			peers = append(peers, other.Address)
		}
	}
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers
}

// mayOwn returns a function that returns whether a gateway may own a job.
func (m *membership) mayOwn(p silljob.Placement) func(sillcluster.Member) bool {
	return func(other sillcluster.Member) bool { return p.Allows(m.settings.RegionOf(other.Zone)) }
}

// logUnknownHomes logs the home regions of a configuration that no known zone is in.
func (v *view) logUnknownHomes(c *sillcatalog.Catalog) {
	unknown := slices.DeleteFunc(c.HomeRegions(), v.settings.isKnown)
	if len(unknown) > 0 {
		v.log.Warn("No known zone is in some home regions; nothing is sent to them.",
			zap.Any("regions", unknown[:min(len(unknown), maxUnknownRegions)]), zap.Int("count", len(unknown)), zap.Uint64("version", uint64(c.Version)))
	}
}

// maxUnknownRegions bounds the regions in one log line.
const maxUnknownRegions = 16

func hasNoHomes(p silljob.Placement) bool { return !p.Homes.Restricted() }

// deletesAtHome returns whether this process deletes a job with homes: the gateway that would
// own a new one like it.
func (m *membership) deletesAtHome(p silljob.Placement) bool {
	rank, live := m.rank(p)
	return !hasNoHomes(p) && live && rank == 0
}

// newHomeRetention returns what deletes the expired jobs with homes, whose bodies the holder of
// the control tasks may not read.
func newHomeRetention(s *Settings, st *silljob.Store, v *view, m *membership, log *zap.Logger) *silljob.Retention {
	return &silljob.Retention{Store: st, Board: v.board, Period: s.JobRetention, Deletes: m.deletesAtHome, OrphansLeft: true, Log: log.Named("retention")}
}
