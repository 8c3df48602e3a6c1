package sillserver

// Shares of a process's descriptors that its listeners may take. The rest is for connections
// to targets, peers and the store, and for files.
const (
	callerShare = 0.6
	peerShare   = 0.12
	// controlShare is that of readiness, metrics and administration, each, and minControl
	// their least number.
	controlShare = 0.02
	minControl   = 16
	// addressShare is the share of callers' connections of one address. It is large, as all
	// clients may come from the address of a balancer.
	addressShare = 0.875
)

// CallerLimits returns the limits of a listener for callers in a process with a number of
// descriptors; 0 for no limit of connections.
func CallerLimits(descriptors int) Limits {
	n := int(callerShare * float64(descriptors))
	return Limits{Connections: n, PerAddress: int(addressShare * float64(n))}
}

// PeerLimits returns the limits of a listener for other processes of the system.
func PeerLimits(descriptors int) Limits {
	return Limits{Connections: int(peerShare * float64(descriptors))}
}

// ControlLimits returns the limits of a listener for readiness, metrics or administration.
func ControlLimits(descriptors int) Limits {
	if descriptors == 0 {
		return Limits{}
	}
	return Limits{Connections: max(minControl, int(controlShare*float64(descriptors)))}
}
