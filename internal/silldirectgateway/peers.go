package silldirectgateway

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillclock"
	"github.com/wasabisill/wasabisill/internal/sillcluster"
	"github.com/wasabisill/wasabisill/internal/sillpermit"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// peers returns the addresses of the other live gateways: first those of this
// availability zone, then the others in random order.
func (m *membership) peers() []string {
	var near, far []string
	for _, other := range m.members.Live(sillclock.Boot()) {
		switch {
		case other.Instance == m.settings.Instance:
		case other.Zone == m.settings.Zone:
			near = append(near, other.Address)
		default:
			far = append(far, other.Address)
		}
	}
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	return append(near, far...)
}

// permitPlace returns the gateway that grants the permits of a run. All gateways that read
// the same rows compute the same one; during an outage of the table it stays.
func (m *membership) permitPlace(run silltarget.Run) sillpermit.Place {
	name := fmt.Sprintf("permits/%s/%d", run.Target, run.StartedAtMS)
	first, ok := m.members.FirstGranter(name)
	if !ok {
		return sillpermit.Place{}
	}
	place := sillpermit.Place{Self: first.Run == m.run, Gateway: first.Instance, Address: first.Address}
	place.Settled = place.Self && m.readsMembers() && m.members.IsSettledGranter(sillclock.Boot(), name, first.Run)
	return place
}

// freshMembersAge is the age up to which the view of the gateways counts as current. A call of
// the feed waits for feedWait without a change.
const freshMembersAge = 1500 * time.Millisecond

// readsMembers returns whether the view of the gateways is current.
func (m *membership) readsMembers() bool {
	if m.membersAge == nil {
		return false
	}
	age, read := m.membersAge()
	return read && age <= freshMembersAge
}

// permitPosition returns the position of this process among the gateways that ask for permits.
func (m *membership) permitPosition() sillpermit.Position {
	index, count := m.members.GranterIndex(m.settings.Instance)
	return sillpermit.Position{Index: index, Count: count}
}

// lastPeers returns the addresses of the other gateways that were alive when the table
// was last read.
func (m *membership) lastPeers() []string { return m.addressesOfOthers(m.members.LastLive()) }

// knownPeers returns the addresses of the other gateways that were alive lately, also of
// those that can't renew their rows now.
func (m *membership) knownPeers() []string {
	return m.addressesOfOthers(m.members.Known(sillclock.Boot()))
}

func (m *membership) addressesOfOthers(members []sillcluster.Member) []string {
	var addresses []string
	for _, other := range members {
		if other.Instance != m.settings.Instance {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}
