// Package silldirectgateway is a gateway that sends requests to targets itself, without
// agents: it wires routing, batch jobs, weight orders and usage, and stops them
// without cutting a request. What speaks to the outside is passed in as an Adapter.
package silldirectgateway

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Settings are the settings of one process.
type Settings struct {
	Instance sillid.InstanceID
	Zone     sillid.ZoneID
	// CallerAddress and Ready are the addresses that callers and the balancer's checks use.
	CallerAddress string
	ReadyAddress  string
	// MetricsAddress is the address of the counters for operators; empty for none.
	MetricsAddress string
	// IP, FirstPort and LastPort are where other gateways reach this process.
	IP        string
	FirstPort int
	LastPort  int
	// GracePeriod is the time from the signal to stop until the process is killed.
	GracePeriod time.Duration
	// LeaseBound is the time within which holders of a duty must not take turns.
	LeaseBound time.Duration
	// UsageWindow is the length of a usage window; UsageLate is how long after
	// its end its report is due.
	UsageWindow   time.Duration
	UsageMaxDelay time.Duration
	ReportsUsage  bool
	// ScalesTargets is whether the number of targets may be ordered.
	ScalesTargets bool
	// JobRetention is how long after its submission an ended job can be read.
	JobRetention time.Duration
	// Cores and MemoryBytes are what the process may use; 0 for no limit.
	Cores       int
	MemoryBytes int64
}

// peerAddress is where other gateways reach the process.
func (s *Settings) peerAddress() string {
	return net.JoinHostPort(s.IP, strconv.Itoa(s.FirstPort))
}

// Validate returns every fault of the settings.
func (s *Settings) Validate() error {
	var faults []error
	need := func(ok bool, remedy string) {
		if !ok {
			faults = append(faults, errors.New(remedy))
		}
	}
	need(s.Instance != "", "name the instance")
	need(s.CallerAddress != "", "give an address for callers")
	need(s.ReadyAddress != "", "give an address for checks of readiness")
	need(s.GracePeriod > 0, "give a time to stop above 0 s")
	need(s.LeaseBound > 0, "give a bound for leases above 0 s")
	need(!s.ReportsUsage || s.UsageWindow > 0, "give usage windows a length above 0 s")
	need(s.JobRetention > 0, "give ended jobs a time to be kept above 0 s")
	need(s.FirstPort <= s.LastPort, "give the ports between gateways in ascending order")
	if len(faults) == 0 {
		return nil
	}
	return fmt.Errorf("settings: %w", errors.Join(faults...))
}
