package silltarget

import "time"

// maxSentPerReport is the number of requests with Query.MaxUtilisation that are sent to a target
// on one report of its load. Without a recent report, only one is at the target at a time; a target that has
// never reported gets them as if it were only this process's.
const maxSentPerReport = 2

// hasRoom returns whether a target has room for one more request below a utilisation.
func (t *target) hasRoom(now time.Time, maxUtilisation float64) bool {
	switch {
	case t.loadReportedAt.IsZero():
		return t.utilisation(now, 1) <= maxUtilisation
	case now.Sub(t.loadReportedAt) >= loadTTL:
		return t.running == 0
	}
	return t.sentSinceReport < maxSentPerReport && t.utilisation(now, 1) <= maxUtilisation
}
