// Package silldirectgateway is the gateway that calls targets directly, without agents.
// It wires routing, batch jobs, weight orders and usage reports, and stops them
// without interrupting a request. The interfaces to the platform are passed in as an
// Adapter.
package silldirectgateway

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Settings are the settings of one gateway process.
type Settings struct {
	Instance sillid.InstanceID
	Zone     sillid.ZoneID
	// Region is the region of Zone, and Regions maps availability zones to their regions.
	Region  sillid.RegionID
	Regions map[sillid.ZoneID]sillid.RegionID
	// CallerAddress and ReadyAddress are the addresses to listen on for callers and
	// for the load balancer's readiness checks.
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress is the address to serve metrics on; empty for none.
	MetricsAddress string
	// IP, FirstPort and LastPort are the address and the port range for calls of
	// other gateways.
	IP        string
	FirstPort int
	LastPort  int
	// GracePeriod is the time from the stop signal until the process is killed.
	GracePeriod time.Duration
	// LeaseBound is the period within which the lease of the control tasks may
	// change its holder only once.
	LeaseBound time.Duration
	// UsageWindow is the length of a usage window. UsageMaxDelay is the time from the
	// end of a window until its report is due.
	UsageWindow   time.Duration
	UsageMaxDelay time.Duration
	ReportsUsage  bool
	// ScalesTargets is whether this gateway may order numbers of targets.
	ScalesTargets bool
	// JobRetention is how long after its submission an ended job can be read.
	JobRetention time.Duration
	// Capacity is the number of cores that the process may use on average; 0 if unknown.
	Capacity float64
	// A cold target gets ColdOvershoot times the requests a second that it bears, and
	// ColdSlack more, within any second at most.
	ColdOvershoot, ColdSlack float64
	// UnsoundTargets is whether targets may be unhealthy while their health check passes.
	UnsoundTargets bool
	// Cores and MemoryBytes are the limits of the process; 0 for no limit.
	Cores       int
	MemoryBytes int64
	// MaxDescriptors is the number of descriptors that the process may open; 0 for no limit.
	MaxDescriptors int
}

// peerAddress returns the address to listen on for calls of other gateways.
func (s *Settings) peerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
}

// Validate returns an error that lists every fault of the settings, or nil.
func (s *Settings) Validate() error {
	var faults []error
	require := func(ok bool, fault string) {
		if !ok {
			faults = append(faults, errors.New(fault))
		}
	}
	require(s.Instance != "", "the name of the instance is missing")
	require(s.CallerAddress != "", "the address for callers is missing")
	require(s.ReadyAddress != "", "the address for readiness checks is missing")
	require(s.GracePeriod > 0, "the time to stop must be above 0 s")
	require(s.LeaseBound > 0, "the bound for leases must be above 0 s")
	require(!s.ReportsUsage || s.UsageWindow > 0, "the length of usage windows must be above 0 s")
	require(s.JobRetention > 0, "the time for which ended jobs are kept must be above 0 s")
	require(s.Capacity >= 0, "the number of cores to use must not be negative")
	require(s.MaxDescriptors >= 0, "the number of descriptors must not be negative")
	require(s.FirstPort <= s.LastPort, "the ports for calls between gateways must be in ascending order")
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("settings: %w", errors.Join(faults...))
}
