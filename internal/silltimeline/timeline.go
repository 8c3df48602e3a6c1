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
	// line of a request the state of its processes and targets is told.
	leadTime  = 5 * time.Second
	trailTime = time.Second
)

// processMessages tell what a process is able to do.
var processMessages = map[string]bool{
	started: true, "Stopping.": true, "Closing the listener of callers.": true, "Stopped.": true, "Requests were cut at the end of the grace.": true,
	"Read the settings again.": true, "Configuration in force.": true, "Configuration can't be read.": true,
	"Table is away.": true, "Table is back.": true,
	"Table service out of reach; asking peers.": true, "Table service within reach.": true,
	"Row of this gateway not renewed.": true, "Left lines out.": true,
}

// targetMessages tell what becomes of a target.
var targetMessages = map[string]bool{
	"Target registered.": true, "Target left the registry.": true, "Target did not register again.": true,
	"Ordered weights.": true, "Engine did not report.": true,
}

// progressMessages tell how far a job is. They come many times a second.
var progressMessages = map[string]bool{"Listed results.": true, "Results read.": true}

// Entry is one line of a story.
type Entry struct {
	*Line
	// Log is the name of the process that wrote the line.
	Log string
	// When is the line's time by the clock that all entries share.
	When time.Time
	// Around tells that the line does not name the request, but its process or
	// its target.
	Around bool
}

// Story is what happened to one request or job.
type Story struct {
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

// Tell finds the story of a request, an item, a job or the content of requests. The
// story of an item holds the lines of its job that name no other item.
func Tell(all *Logs, id string) (*Story, error) {
	s := &teller{shift: shifts(all.Logs), logs: all.Logs, jobs: make(map[string]bool), targets: make(map[string]bool)}
	s.collect(func(_ int, l *Line) bool {
		return l.text("request") == id || l.text("job") == id || l.text("content") == id
	}, false)
	if len(s.entries) == 0 {
		return nil, eris.Wrap(&NotFoundError{ID: id, Lines: s.lines()}, "silltimeline.Tell")
	}
	first, last := s.span()
	s.follow(id, last)
	s.surround(first.Add(-leadTime), last.Add(trailTime))
	story := &Story{Entries: s.entries, Ahead: make(map[string]time.Duration), Bad: all.Bad}
	for i, l := range all.Logs {
		if s.shift[i] != 0 {
			story.Ahead[l.Name] = s.shift[i]
		}
	}
	slices.SortStableFunc(story.Entries, func(a, b Entry) int { return a.When.Compare(b.When) })
	return story, nil
}

// teller collects the entries of one story.
type teller struct {
	logs    []*Log
	shift   []time.Duration
	entries []Entry
	jobs    map[string]bool
	targets map[string]bool
}

func (s *teller) lines() int {
	n := 0
	for _, l := range s.logs {
		n += len(l.Lines)
	}
	return n
}

// collect adds the lines that are wanted; log is the index of the line's log.
func (s *teller) collect(wanted func(log int, l *Line) bool, around bool) {
	for i, l := range s.logs {
		for k := range l.Lines {
			line := &l.Lines[k]
			if wanted(i, line) {
				s.entries = append(s.entries, Entry{Line: line, Log: l.Name, When: line.At.Add(-s.shift[i]), Around: around})
			}
		}
	}
}

// follow notes the targets, and adds the lines of the job if the id is an item's,
// whose own last line came at last.
func (s *teller) follow(id string, last time.Time) {
	for _, e := range s.entries {
		s.targets[e.text("target")] = true
		if job := e.text("job"); job != "" && job != id {
			s.jobs[job] = true
		}
	}
	delete(s.targets, "")
	s.collect(func(log int, l *Line) bool {
		if !s.jobs[l.text("job")] || l.text("request") != "" {
			return false
		}
		after := l.At.Add(-s.shift[log]).Sub(last)
		return !progressMessages[l.Message] || (after >= 0 && after <= trailTime)
	}, true)
}

// span returns the times of the first and the last entry.
func (s *teller) span() (first, last time.Time) {
	byTime := func(a, b Entry) int { return a.When.Compare(b.When) }
	return slices.MinFunc(s.entries, byTime).When, slices.MaxFunc(s.entries, byTime).When
}

// surround adds what the processes and the targets of the story told meanwhile.
func (s *teller) surround(from, to time.Time) {
	involved := make(map[string]bool)
	for _, e := range s.entries {
		involved[e.Log] = involved[e.Log] || !e.Around
	}
	told := make(map[mark]bool)
	s.collect(func(log int, l *Line) bool {
		when := l.At.Add(-s.shift[log])
		if when.Before(from) || when.After(to) {
			return false
		}
		if targetMessages[l.Message] && s.targets[l.text("target")] {
			m, isMark := markOf(l)
			repeated := isMark && told[m]
			told[m] = true
			return !repeated && (involved[s.logs[log].Name] || l.Message == "Ordered weights.")
		}
		return processMessages[l.Message] && involved[s.logs[log].Name]
	}, true)
}

// timeFormat is the time of day: a story is short.
const timeFormat = "15:04:05.000"

// Write prints the story, one line an entry; lines around the request are marked
// with a bar.
func (s *Story) Write(w io.Writer) error {
	var b strings.Builder
	width := 0
	for _, e := range s.Entries {
		width = max(width, len(e.Log))
	}
	for _, e := range s.Entries {
		bar := " "
		if e.Around {
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
