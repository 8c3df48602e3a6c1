package silltimeline

import (
	"cmp"
	"slices"
	"time"
)

const (
	// readingAfterStart is the time after a start in which a process reads what
	// had changed long before, so that its lines tell nothing of its clock.
	readingAfterStart = 3 * time.Second
	// fewestMarks is the number of changes that two processes must have seen
	// before their clocks are compared: one of them may have come late.
	fewestMarks = 3
	// clockNoise is the difference that the way of a change to two processes
	// makes by itself.
	clockNoise = 50 * time.Millisecond
)

// mark is a change that every process learns of at nearly the same moment.
type mark struct {
	message string
	subject string
	version string
}

func markOf(l *Line) (mark, bool) {
	switch l.Message {
	case "Configuration in force.", "Version named.":
		return mark{l.Message, l.text("model"), l.text("version")}, true
	case "Target registered.":
		return mark{l.Message, l.text("target"), l.text("revision")}, true
	}
	return mark{}, false
}

// marks returns when a process first learned of each change.
func (l *Log) marks() map[mark]time.Time {
	seen := make(map[mark]time.Time)
	var begun time.Time
	for i := range l.Lines {
		line := &l.Lines[i]
		if line.Message == started {
			begun = line.At
		}
		m, ok := markOf(line)
		if !ok || line.At.Sub(begun) < readingAfterStart {
			continue
		}
		if _, known := seen[m]; !known {
			seen[m] = line.At
		}
	}
	return seen
}

// shifts returns how far the clock of each log is ahead of the clock of the log
// that learned of the most changes. A log with too few of them counts as right.
func shifts(logs []*Log) []time.Duration {
	marks := make([]map[mark]time.Time, len(logs))
	for i, l := range logs {
		marks[i] = l.marks()
	}
	list := make([]time.Duration, len(logs))
	if len(logs) == 0 {
		return list
	}
	reference := slices.MaxFunc(marks, func(a, b map[mark]time.Time) int { return cmp.Compare(len(a), len(b)) })
	for i := range logs {
		list[i] = ahead(marks[i], reference)
	}
	return list
}

// ahead returns the median difference over the changes that both learned of.
func ahead(own, reference map[mark]time.Time) time.Duration {
	var differences []time.Duration
	for m, at := range own {
		if other, ok := reference[m]; ok {
			differences = append(differences, at.Sub(other))
		}
	}
	if len(differences) < fewestMarks {
		return 0
	}
	slices.Sort(differences)
	median := differences[len(differences)/2]
	if median.Abs() < clockNoise {
		return 0
	}
	return median
}
