package sillcluster

import (
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Run identifies one run of a gateway process. It is new at every start.
type Run string

// Member is the row that a process writes about itself.
type Member struct {
	Instance sillid.InstanceID `cbor:"instance"`
	Run      Run               `cbor:"run"`
	// Address is where other gateways reach the process.
	Address string        `cbor:"address"`
	Zone    sillid.ZoneID `cbor:"zone"`
	// Leaving is whether the process is stopping and accepts no new work.
	Leaving bool `cbor:"leaving"`
	// Capacity is the number of processor cores that the process may use; 0 if unknown.
	Capacity float64 `cbor:"capacity,omitempty"`
	// GroupCommit is whether the process commits the rows of others with its own.
	GroupCommit bool `cbor:"group-commit,omitempty"`
	// PoolLoads holds the process's running requests in the autoscaled pools.
	PoolLoads []PoolLoad `cbor:"busy,omitempty"`
	// Renewal counts the renewals of this run.
	Renewal uint64 `cbor:"renewal"`
	// CrashEvidence is the process's evidence on requests that crash targets, encoded
	// by package sillcrash.
	CrashEvidence []byte `cbor:"crash-evidence,omitempty"`
	// LeavingTargets are runs of targets that said in a response that they leave.
	LeavingTargets []silltarget.Run `cbor:"leaving-targets,omitempty"`
	// GrantsPermits is whether the process grants permits for targets that name a limit on
	// requests. TargetLimits are the limits of those for which it does.
	GrantsPermits bool                  `cbor:"grants-permits,omitempty"`
	TargetLimits  []silltarget.RunLimit `cbor:"target-limits,omitempty"`
}

// PoolLoad is the number of running requests of one process at the targets of a
// pool in an availability zone.
type PoolLoad struct {
	Pool     sillid.PoolID `cbor:"pool"`
	Zone     sillid.ZoneID `cbor:"zone"`
	Requests int           `cbor:"count"`
}

// Key returns the key of an instance's row.
func Key(zone sillid.ZoneID, instance sillid.InstanceID) string {
	return Table + "/" + string(zone) + "/" + string(instance)
}

// instanceOf returns the instance whose row has a key.
func instanceOf(key string) sillid.InstanceID {
	return sillid.InstanceID(key[strings.LastIndexByte(key, '/')+1:])
}

// Encode returns the write that stores the row of a member.
func Encode(m Member) (silltable.Write, error) {
	b, err := cbor.Marshal(m)
	return silltable.Write{Key: Key(m.Zone, m.Instance), Value: b}, eris.Wrap(err, "sillcluster.Encode")
}

// Decode decodes the row of a member.
func Decode(row silltable.Row) (Member, error) {
	var m Member
	err := cbor.Unmarshal(row.Value, &m)
	return m, eris.Wrapf(err, "sillcluster.Decode: row %q", row.Key)
}
