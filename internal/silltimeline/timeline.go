package silltimeline

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const started = "Started."

const (
	// leadTime and trailTime are how long before the first and after the last
	// line of a request the lines of its processes and targets are shown.
	leadTime  = 5 * time.Second
	trailTime = time.Second
)

// processMessages are about the state of a process.
var processMessages = map[string]bool{
	started: true, "Stopping.": true, "Closing the listener of callers.": true, "Stopped.": true, "Requests were cut at the end of the grace.": true,
	"Read the settings again.": true, "Configuration in force.": true, "Configuration can't be read.": true,
	"Table is away.": true, "Table is back.": true,
	"Zone is evacuated; sending nothing more to its targets.": true, "Evacuation ended; the zone's targets may be cold.": true,
	"Table service out of reach; asking peers.": true, "Table service within reach.": true,
	"Row of this gateway not renewed.": true, "Left lines out.": true,
}

// targetMessages are about the state of a target.
var targetMessages = map[string]bool{
	"Target registered.": true, "Target left the registry.": true, "Target did not register again.": true,
	"Target may be cold; its requests need permits.": true, "Target is not cold any more.": true,
	"Ordered weights.": true, "Engine did not report.": true,
}

// progressMessages are about the progress of a job. They are written many times a second.
var progressMessages = map[string]bool{"Listed results.": true, "Results read.": true}

// Entry is one line of a timeline.
type Entry struct {
	*Line
	// Log is the name of the process that wrote the line.
	Log string
	// When is the line's time by the clock that all entries share.
	When time.Time
	// Context is whether the line names only a process or a target of the request, and
	// not the request itself.
	Context bool
}

// Timeline is what happened to one request or job.
type Timeline struct {
	Entries []Entry
	// Ahead holds the clocks that differ, by name of the log.
	Ahead map[string]time.Duration
	Bad   int
}

// NotFoundError is returned for an id that no line names.
type NotFoundError struct {
	ID    string
	Lines int
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("none of %d lines names %s: look at the logs of the other gateways, or see whether they left lines out", e.Lines, e.ID)
}

// Build returns the timeline of a request, an item, a job or the content of requests. The
// timeline of an item holds the lines of its job that name no other item.
func Build(all *Logs, id string) (*Timeline, error) {
	b := &builder{offset: clockOffsets(all.Logs), logs: all.Logs, jobs: make(map[string]bool), targets: make(map[string]bool)}
	b.collect(func(_ int, l *Line) bool {
		return l.text("request") == id || l.text("job") == id || l.text("content") == id
	}, false)
	if len(b.entries) == 0 {
		return nil, eris.Wrap(&NotFoundError{ID: id, Lines: b.lines()}, "silltimeline.Build")
	}
	first, last := b.span()
	b.follow(id, last)
	b.addContext(first.Add(-leadTime), last.Add(trailTime))
	timeline := &Timeline{Entries: b.entries, Ahead: make(map[string]time.Duration), Bad: all.Bad}
	for i, l := range all.Logs {
		if b.offset[i] != 0 {
			timeline.Ahead[l.Name] = b.offset[i]
		}
	}
	slices.SortStableFunc(timeline.Entries, func(a, b Entry) int { return a.When.Compare(b.When) })
	return timeline, nil
}

// builder collects the entries of one timeline.
type builder struct {
	logs    []*Log
	offset  []time.Duration
	entries []Entry
	jobs    map[string]bool
	targets map[string]bool
}

func (b *builder) lines() int {
	n := 0
	for _, l := range b.logs {
		n += len(l.Lines)
	}
	return n
}

// collect adds the lines that are wanted; log is the index of the line's log.
func (b *builder) collect(wanted func(log int, l *Line) bool, context bool) {
	for i, l := range b.logs {
		for k := range l.Lines {
			line := &l.Lines[k]
			if wanted(i, line) {
				b.entries = append(b.entries, Entry{Line: line, Log: l.Name, When: line.At.Add(-b.offset[i]), Context: context})
			}
		}
	}
}

// follow notes the targets, and adds the lines of the job if the id is an item's,
// whose own last line came at last.
func (b *builder) follow(id string, last time.Time) {
	for _, e := range b.entries {
		b.targets[e.text("target")] = true
		if job := e.text("job"); job != "" && job != id {
			b.jobs[job] = true
		}
	}
	delete(b.targets, "")
	b.collect(func(log int, l *Line) bool {
		if !b.jobs[l.text("job")] || l.text("request") != "" {
			return false
		}
		after := l.At.Add(-b.offset[log]).Sub(last)
		return !progressMessages[l.Message] || (after >= 0 && after <= trailTime)
	}, true)
}

// span returns the times of the first and the last entry.
func (b *builder) span() (first, last time.Time) {
	byTime := func(a, b Entry) int { return a.When.Compare(b.When) }
	return slices.MinFunc(b.entries, byTime).When, slices.MaxFunc(b.entries, byTime).When
}

// addContext adds the lines of the processes and targets of the timeline from one time to another.
func (b *builder) addContext(from, to time.Time) {
	involved := make(map[string]bool)
	for _, e := range b.entries {
		involved[e.Log] = involved[e.Log] || !e.Context
	}
	seen := make(map[sharedChange]bool)
	b.collect(func(log int, l *Line) bool {
		when := l.At.Add(-b.offset[log])
		if when.Before(from) || when.After(to) {
			return false
		}
		if targetMessages[l.Message] && b.targets[l.text("target")] {
			m, shared := sharedChangeOf(l)
			repeated := shared && seen[m]
			seen[m] = true
			return !repeated && (involved[b.logs[log].Name] || l.Message == "Ordered weights.")
		}
		return processMessages[l.Message] && involved[b.logs[log].Name]
	}, true)
}

// timeFormat has no date: a timeline covers seconds or minutes.
const timeFormat = "15:04:05.000"

// Write prints the timeline, one line for each entry; context lines are marked with a bar.
func (s *Timeline) Write(w io.Writer) error {
	var b strings.Builder
	width := 0
	for _, e := range s.Entries {
		width = max(width, len(e.Log))
	}
	for _, e := range s.Entries {
		bar := " "
		if e.Context {
			bar = "|"
		}
		fmt.Fprintf(&b, "%s %-*s %s %s%s\n", e.When.UTC().Format(timeFormat), width, e.Log, bar, e.Message, e.fields())
	}
	fmt.Fprintf(&b, "\n%d lines.", len(s.Entries))
	for _, name := range slices.Sorted(maps.Keys(s.Ahead)) {
		fmt.Fprintf(&b, " The clock of %s is %v ahead; its times are set back.", name, s.Ahead[name].Round(time.Millisecond))
	}
	if s.Bad > 0 {
		fmt.Fprintf(&b, " %d lines of the logs could not be read.", s.Bad)
	}
	b.WriteString("\n")
	_, err := io.WriteString(w, b.String())
	return eris.Wrap(err, "silltimeline.Write")
}

// fields prints what the line tells, ids first.
func (l *Line) fields() string {
	order := map[string]int{"request": -3, "job": -2, "target": -1}
	names := slices.SortedFunc(maps.Keys(l.Fields), func(a, b string) int {
		return cmp.Or(cmp.Compare(order[a], order[b]), cmp.Compare(a, b))
	})
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%s", name, quoted(fmt.Sprint(l.Fields[name])))
	}
	return b.String()
}

// quoted quotes a value that would not read as one word.
func quoted(v string) string {
	if strings.ContainsAny(v, " \n\"") {
		return strconv.Quote(v)
	}
	return v
}
