package silllease

import (
	"hash/fnv"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// FullRateCandidates is the number of ranks that poll a lease at the full rate.
const FullRateCandidates = 3

// Rank returns the rank of self among the members for the named lease, from 0. It
// uses rendezvous hashing: every gateway with the same list of members computes the
// same order, and a member that leaves changes only the ranks behind its own. Self
// counts as a member even if the list lacks it.
func Rank(name string, self sillid.GatewayID, members []sillid.GatewayID) int {
	own := Score(name, self)
	rank := 0
	for _, m := range members {
		if s := Score(name, m); s > own || (s == own && m > self) {
			rank++
		}
	}
	return rank
}

// Score returns the rendezvous hash of a member for a name. The member with the highest
// score comes first.
func Score(name string, member sillid.GatewayID) uint64 {
	h := fnv.New64a()
	// Writes to a hash never fail.
	_, _ = h.Write([]byte(name))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(member))
	return sillhash.Murmur(h.Sum64())
}

// pollInterval returns the mean time between two reads of a candidate. It doubles
// with each rank behind the full-rate candidates. This keeps the reads of all
// gateways together below those of five full-rate candidates plus one read per
// gateway in MaxPollEvery. If the first ranks are all unreachable, later ranks
// still acquire the lease, even while the membership lists the unreachable ones.
func (h *Holder) pollInterval() time.Duration {
	d := h.cfg.PollEvery
	for r := FullRateCandidates; r <= h.rank && d < h.cfg.MaxPollEvery; r++ {
		d *= 2
	}
	return min(d, h.cfg.MaxPollEvery)
}

// nextPoll returns when a candidate's next call is due: at once if the lease is
// acquirable, else after the poll interval. Full-rate candidates do not wait longer
// than until shortly after the lease becomes acquirable.
func (h *Holder) nextPoll(now time.Time) time.Time {
	takeable := h.acquirableAt()
	if !now.Before(takeable) {
		return now
	}
	poll := now.Add(h.spread(h.pollInterval()))
	if takeable.Before(poll) && h.rank < FullRateCandidates {
		return takeable.Add(h.jitter(h.retryInterval()))
	}
	return poll
}

// retriesPerRenewal is the number of retries that fit between two renewals.
const retriesPerRenewal = 4

func (h *Holder) retryInterval() time.Duration {
	return h.cfg.RenewEvery / retriesPerRenewal
}

// jitter returns a random duration from 0 to below d.
func (h *Holder) jitter(d time.Duration) time.Duration {
	return time.Duration(h.cfg.Random.Int64N(int64(d)))
}

// spread returns a random duration from three quarters to five quarters of d.
func (h *Holder) spread(d time.Duration) time.Duration {
	return d*3/4 + h.jitter(d/2)
}
