package silltimeline

import (
	"cmp"
	"slices"
	"time"
)

const (
	// readingAfterStart is the time after a start in which a process reads older
	// changes, which are not used to compare clocks.
	readingAfterStart = 3 * time.Second
	// minSharedChanges is the number of changes that two processes must have seen
	// for their clocks to be compared, since a single change may have come late.
	minSharedChanges = 3
	// clockNoise is the difference between the times at which two processes with
	// equal clocks learn of a change.
	clockNoise = 50 * time.Millisecond
)

// sharedChange is a change that every process learns of at nearly the same moment.
type sharedChange struct {
	message string
	subject string
	version string
}

func sharedChangeOf(l *Line) (sharedChange, bool) {
	switch l.Message {
	case "Configuration in force.", "Version named.":
		return sharedChange{l.Message, l.text("model"), l.text("version")}, true
	case "Target registered.":
		return sharedChange{l.Message, l.text("target"), l.text("revision")}, true
	}
	return sharedChange{}, false
}

// changes returns when the process first learned of each shared change.
func (l *Log) changes() map[sharedChange]time.Time {
	seen := make(map[sharedChange]time.Time)
	var startedAt time.Time
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message == started {
			startedAt = line.At
		}
		m, ok := sharedChangeOf(line)
		if !ok || line.At.Sub(startedAt) < readingAfterStart {
			continue
		}
		if _, known := seen[m]; !known {
			seen[m] = line.At
		}
	}
	return seen
}

// clockOffsets returns how far the clock of each log is ahead of the clock of the log
// that learned of the most changes. A log with too few of them has the offset 0.
func clockOffsets(logs []*Log) []time.Duration {
	changes := make([]map[sharedChange]time.Time, len(logs))
	for i, l := range logs {
		changes[i] = l.changes()
	}
	list := make([]time.Duration, len(logs))
	if len(logs) == 0 {
		return list
	}
	reference := slices.MaxFunc(changes, func(a, b map[sharedChange]time.Time) int { return cmp.Compare(len(a), len(b)) })
	for i := range logs {
		list[i] = ahead(changes[i], reference)
	}
	return list
}

// ahead returns the median difference over the changes that both learned of.
func ahead(own, reference map[sharedChange]time.Time) time.Duration {
	var differences []time.Duration
	for m, at := range own {
		if other, ok := reference[m]; ok {
			differences = append(differences, at.Sub(other))
		}
	}
	if len(differences) < minSharedChanges {
		return 0
	}
	slices.Sort(differences)
	median := differences[len(differences)/2]
	if median.Abs() < clockNoise {
		return 0
	}
	return median
}
