// Package silllease elects one lease holder at a time for each control task,
// through rows of the platform's table service.
package silllease

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Guard lets a control task check whether its process still holds the lease. Its
// fields are safe for concurrent use.
type Guard struct {
	// Epoch is the fencing number of the holder's orders. Each acquisition of the
	// lease increases it.
	Epoch sillid.Epoch
	// MayAct returns whether the lease is still held at now, allowing for the
	// safety margin. Call it right before each effect outside the table.
	MayAct func(now time.Time) bool
	// Check makes a transaction fail after another process has acquired the lease.
	// Every transaction of the task must include it.
	Check silltable.Check
}

// PermanentGuard returns a guard that never expires, for tools and tests with a
// single holder.
func PermanentGuard(epoch sillid.Epoch) Guard {
	return Guard{
		Epoch:  epoch,
		MayAct: func(time.Time) bool { return true },
		Check:  silltable.Check{Key: "lease-epoch/none", Revision: silltable.Absent},
	}
}
