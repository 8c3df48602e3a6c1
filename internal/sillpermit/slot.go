package sillpermit

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
)

// Position is the position of this process among the gateways.
type Position struct {
	// Index is below Count. A Count of 0 stands for an unknown position.
	Index, Count int
}

// slotShare is the share of a limit that gateways use that don't reach the one that grants
// the permits. Others may still reach it and use the whole limit.
const slotShare = 0.25

// slotter grants permits without a word to other gateways: time is divided into slots at
// slotShare of the limit, and each gateway may send one request in each slot that is its
// own. It is not safe for concurrent use.
type slotter struct {
	// used is the last slot that was used.
	used int64
}

// take uses the current slot if it is this process's. Otherwise it returns the delay until
// the next one that is.
func (s *slotter) take(now time.Time, limit sillrate.PerSecond, p Position) Verdict {
	length := time.Duration(float64(time.Second) / (slotShare * float64(limit)))
	if p.Count == 0 || length <= 0 {
		return Verdict{RetryAfter: unknownRetryAfter}
	}
	slot := now.UnixNano() / int64(length)
	ahead := (int64(p.Index) - slot) % int64(p.Count)
	if ahead < 0 {
		ahead += int64(p.Count)
	}
	if ahead == 0 && slot != s.used {
		s.used = slot
		return Verdict{Granted: true}
	}
	if ahead == 0 {
		ahead = int64(p.Count)
	}
	next := time.Unix(0, (slot+ahead)*int64(length))
	return Verdict{RetryAfter: min(next.Sub(now), maxSlotRetryAfter)}
}

const (
	// maxSlotRetryAfter bounds the delay until a slot, since the gateway that grants the
	// permits may be reached before.
	maxSlotRetryAfter = time.Second
	// unknownRetryAfter is the delay after which a request may ask again while it is not
	// known which gateways there are.
	unknownRetryAfter = 200 * time.Millisecond
)
