package silljob

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// phase is the stage that an item of an owned job has reached.
type phase int

const (
	waiting phase = iota
	running
	scoring
	finished
)

// itemRun is an item of an owned job with its progress.
type itemRun struct {
	job   *ownedJob
	item  *Item
	phase phase
	// started is whether a target has sent an event of the item.
	started bool
	// events holds the data of the received events in order; lastEvent is the id
	// of the newest one.
	events    []string
	lastEvent int
	// textBytes is the length of the events with a separator after each.
	textBytes int
	// versions are the weight versions that generated the events, ascending.
	versions []sillid.WeightVersion
	// attempts counts the attempts since this process owns the job.
	attempts int
	// failures counts the attempts that a target answered with status 500.
	failures int
	// errored is whether a target answered an attempt with an error.
	errored bool
	// abandoned is whether the item was given up without a result of use.
	abandoned bool
	// scoreFailures counts the score requests that were answered with status 500.
	scoreFailures int
	// notBefore is the earliest time of the next attempt.
	notBefore time.Time
	// versionWaitSince is when the generation began to wait for an engine with the
	// exact version that it needs; zero while it does not wait for one.
	versionWaitSince time.Time
	// target runs the attempt in flight; cancelAttempt cancels it. Both are unset
	// while no attempt is in flight.
	target        sillid.TargetID
	cancelAttempt func()
	// emptyEnds counts the attempts in a row that ended without an event after a stream had
	// broken off.
	emptyEnds int
	// unusable is whether the item can't be sent, so that it waits to be abandoned.
	unusable bool
	// avoid holds the targets that the item migrated away from or that stalled under it.
	avoid map[sillid.TargetID]bool
}

// separatorBytes is the length of the line feed between two events of a text.
const separatorBytes = 1

// discard drops the events so far, so that the next attempt restarts the generation.
func (it *itemRun) discard() {
	it.events, it.lastEvent, it.textBytes, it.versions = nil, 0, 0, nil
}

// addEvent appends an event that weight version v generated.
func (it *itemRun) addEvent(id int, data string, v sillid.WeightVersion) {
	it.events = append(it.events, data)
	it.lastEvent = id
	it.textBytes += len(data) + separatorBytes
	if i, found := slices.BinarySearch(it.versions, v); !found {
		it.versions = slices.Insert(it.versions, i, v)
	}
}

// meetsMinVersion returns whether no event so far is from a weight version older
// than the job's MinVersion.
func (it *itemRun) meetsMinVersion(sub *Submission) bool {
	return len(it.versions) == 0 || it.versions[0] >= sub.MinVersion
}

func (it *itemRun) text() string { return strings.Join(it.events, "\n") }

func (it *itemRun) progress() Progress {
	return Progress{
		Item: it.item.ID, Events: slices.Clone(it.events),
		LastEvent: it.lastEvent, Versions: slices.Clone(it.versions),
	}
}

// resume restores a saved generation, so that the next attempt continues it.
func (it *itemRun) resume(p Progress) {
	it.events = slices.Clone(p.Events)
	it.lastEvent = p.LastEvent
	it.textBytes = 0
	for _, e := range p.Events {
		it.textBytes += len(e) + separatorBytes
	}
	it.versions = slices.Clone(p.Versions)
	it.started = it.started || len(p.Events) > 0
}

// byUrgency orders waiting items: older jobs first, of a crowded job the groups in its
// order, then generations in progress, then the longest expected outputs. The items of a
// job differ in length and nearly all of them are needed at the same time, so the last
// item to finish decides how long the job takes.
func byUrgency(a, b *itemRun) int {
	return cmp.Or(
		cmp.Compare(a.job.sub.SubmittedMS, b.job.sub.SubmittedMS),
		cmp.Compare(a.job.groupOrder[a.item.Group], b.job.groupOrder[b.item.Group]),
		cmp.Compare(min(len(b.events), 1), min(len(a.events), 1)),
		cmp.Compare(b.item.ExpectedTokens, a.item.ExpectedTokens),
		cmp.Compare(a.item.ID, b.item.ID),
	)
}
