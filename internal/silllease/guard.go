// Package silllease gives each control task one holder at a time, through rows
// of the platform's table service.
package silllease

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Guard tells the holder of a lease whether it may still act. Its fields are
// safe for concurrent use.
type Guard struct {
	// Epoch is the fencing number of the holder's orders; it grows with each holder.
	Epoch sillid.Epoch
	// MayAct returns whether the lease is still held at now, with the safety
	// margin. It is asked right before each effect outside the table.
	MayAct func(now time.Time) bool
	// Check fails a transaction of a holder that another one has replaced. Every
	// write of the holder's task carries it.
	Check silltable.Check
}

// PermanentGuard returns a guard that never ends, for tools and tests with one holder.
func PermanentGuard(epoch sillid.Epoch) Guard {
	return Guard{
		Epoch:  epoch,
		MayAct: func(time.Time) bool { return true },
		Check:  silltable.Check{Key: "lease-epoch/none", Revision: silltable.Absent},
	}
}
