package silltarget

import (
	"slices"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
)

// Bursts of score requests. The wait and the utilisation are those of sillforwarder.
const (
	scoreBurstEvery  = 2 * time.Second
	scoreObjective   = 150 * time.Millisecond
	scoreUtilisation = 1.0
	scoreBesideWait  = 1000 * time.Millisecond
)

// burstFigures are what callers and score requests get.
type burstFigures struct {
	callersInTime      float64
	refused            int
	scoreP50, scoreMax time.Duration
}

func playBursts(beside bool) burstFigures {
	s := newScoreSimulation(true, 0)
	s.bursts, s.beside = true, beside
	s.play()
	callers, scores := s.took[sillrate.Interactive], s.took[sillrate.Background]
	inTime := 0
	for _, d := range callers {
		if d <= scoreObjective {
			inTime++
		}
	}
	slices.Sort(scores)
	return burstFigures{
		callersInTime: float64(inTime) / float64(len(callers)+s.refused), refused: s.refused,
		scoreP50: scores[len(scores)/2], scoreMax: scores[len(scores)-1],
	}
}

// TestBurstsOfScoresBesideCallers guards against callers that wait behind a burst of score
// requests at their service, and against bursts that take longer since they give way.
func TestBurstsOfScoresBesideCallers(t *testing.T) {
	before, now := playBursts(false), playBursts(true)
	t.Logf("queueing at targets %+v, beside callers %+v", before, now)
	if now.callersInTime <= before.callersInTime {
		t.Errorf("%.3f of the callers in time, want more than %.3f", now.callersInTime, before.callersInTime)
	}
	if now.scoreMax > before.scoreMax*6/5 {
		t.Errorf("the last score after %v, want no later than a fifth after %v", now.scoreMax, before.scoreMax)
	}
}
