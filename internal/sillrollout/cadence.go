package sillrollout

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// cadenceGain is the weight of the latest interval in the moving average of the
// intervals between two versions.
const cadenceGain = 0.3

// cadence predicts the trainer's version from the times of the earlier ones.
type cadence struct {
	version   sillid.WeightVersion
	changedAt time.Time
	// interval is the moving average of the time between two versions.
	interval time.Duration
}

func (c *cadence) observe(now time.Time, version sillid.WeightVersion) {
	if version <= c.version {
		return
	}
	if c.version != 0 {
		steps := time.Duration(version - c.version)
		latest := now.Sub(c.changedAt) / steps
		if c.interval == 0 {
			c.interval = latest
		}
		c.interval += time.Duration(cadenceGain * float64(latest-c.interval))
	}
	c.version, c.changedAt = version, now
}

// overdueFactor times the mean interval is the time without a new version after
// which the trainer counts as paused. A paused trainer may be waiting for samples
// that are held back, so no further version is predicted.
const overdueFactor = 1.25

// expectedAt returns the version predicted for a later time.
func (c *cadence) expectedAt(now, later time.Time) sillid.WeightVersion {
	elapsed := now.Sub(c.changedAt)
	if c.interval <= 0 || float64(elapsed) > overdueFactor*float64(c.interval) {
		return c.version
	}
	elapsed = min(elapsed, c.interval-1)
	return c.version + sillid.WeightVersion((elapsed+later.Sub(now))/c.interval)
}

// startWindowShare is the share of an interval after a new version in which a
// sample may start although it is predicted to be stale when it finishes. A start
// later in the interval would make it staler.
const startWindowShare = 0.15

func (c *cadence) justChanged(now time.Time) bool {
	return now.Sub(c.changedAt) < time.Duration(startWindowShare*float64(c.interval))
}
