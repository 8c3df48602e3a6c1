package silllease

import (
	"hash/fnv"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// FullRateCandidates is the number of gateways that watch a lease at the full rate.
const FullRateCandidates = 3

// Rank returns the place of self among the members for a lease, from 0, by
// rendezvous hashing: every gateway with the same members finds the same order,
// and a member that leaves moves only those behind it. Self counts as a member.
func Rank(name string, self sillid.GatewayID, members []sillid.GatewayID) int {
	own := score(name, self)
	rank := 0
	for _, m := range members {
		if s := score(name, m); s > own || (s == own && m > self) {
			rank++
		}
	}
	return rank
}

func score(name string, member sillid.GatewayID) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return mix(h.Sum64())
}

// mix spreads the last bytes over the whole hash, which FNV alone does not
// (finaliser of MurmurHash3).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// pollInterval doubles with each rank behind the competitors. So the reads of
// all gateways together stay below those of five competitors and one read per
// gateway in MaxPollEvery, and yet a lease whose first ranks are all cut off is
// taken by the next ones even where membership still lists them.
func (h *Holder) pollInterval() time.Duration {
	d := h.cfg.PollEvery
	for r := FullRateCandidates; r <= h.rank && d < h.cfg.MaxPollEvery; r++ {
		d *= 2
	}
	return min(d, h.cfg.MaxPollEvery)
}

// nextPoll returns when a challenger looks again: at the takeover if the row
// allows one, else after its interval.
func (h *Holder) nextPoll(now time.Time) time.Time {
	takeable := h.takeableAt()
	if !now.Before(takeable) {
		return now
	}
	poll := now.Add(h.spread(h.pollInterval()))
	if takeable.Before(poll) && h.rank < FullRateCandidates {
		return takeable.Add(h.jitter(h.retryInterval()))
	}
	return poll
}

// retryIntervals is the number of retries that fit between two renewals.
const retryIntervals = 4

func (h *Holder) retryInterval() time.Duration {
	return h.cfg.RenewEvery / retryIntervals
}

// jitter returns a random time from 0 to below d.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return time.Duration(h.cfg.Random.Int64N(int64(d)))
}

// spread returns a random time from three quarters to five quarters of d.
func (h *Holder) spread(d time.Duration) time.Duration {
	return d*3/4 + h.jitter(d/2)
}
