package sillpermit

import (
	"math"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	// shareHalfLife is the time after which a permit that an organisation got counts half.
	shareHalfLife = 5 * time.Second
	// waitingTime is how long an organisation counts as waiting after it was denied a permit.
	waitingTime = time.Second
	// shareTolerance is the number of permits that an organisation may have had more than
	// one that waits.
	shareTolerance = 1
	// shareRetryAfter is the delay after which a request may return that was denied for the
	// share of its organisation.
	shareRetryAfter = waitingTime / 2
	// maxOrganisations bounds the organisations that are kept.
	maxOrganisations = 1024
)

// shares divides scarce permits among the organisations that ask for them: one that had
// more than another that waits yields to it. It is not safe for concurrent use.
type shares struct {
	organisations map[sillid.OrganisationID]*share
}

// share is what an organisation got.
type share struct {
	// granted is the decayed number of permits, as of updated.
	granted float64
	updated time.Time
	// deniedAt is when a request was last denied a permit; zero once one got it.
	deniedAt time.Time
}

func newShares() *shares { return &shares{organisations: make(map[sillid.OrganisationID]*share)} }

// isOver returns whether an organisation had more permits than another one that waits.
func (s *shares) isOver(now time.Time, o sillid.OrganisationID) bool {
	own := s.organisations[o]
	if own == nil {
		return false
	}
	granted := own.decayed(now)
	for id, other := range s.organisations {
		if id != o && other.waits(now) && granted > other.decayed(now)+shareTolerance {
			return true
		}
	}
	return false
}

func (s *shares) recordGrant(now time.Time, o sillid.OrganisationID) {
	own := s.of(now, o)
	own.granted = own.decayed(now) + 1
	own.updated, own.deniedAt = now, time.Time{}
}

func (s *shares) recordDenial(now time.Time, o sillid.OrganisationID) { s.of(now, o).deniedAt = now }

// of returns the share of an organisation. Beyond maxOrganisations it forgets all others.
func (s *shares) of(now time.Time, o sillid.OrganisationID) *share {
	own := s.organisations[o]
	if own == nil {
		if len(s.organisations) >= maxOrganisations {
			clear(s.organisations)
		}
		own = &share{updated: now}
		s.organisations[o] = own
	}
	return own
}

func (s *share) waits(now time.Time) bool {
	return !s.deniedAt.IsZero() && now.Sub(s.deniedAt) < waitingTime
}

func (s *share) decayed(now time.Time) float64 {
	return s.granted * math.Exp2(-now.Sub(s.updated).Seconds()/shareHalfLife.Seconds())
}
