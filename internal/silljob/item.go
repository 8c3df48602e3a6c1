package silljob

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// phase is where an item of an owned job stands.
type phase int

const (
	waiting phase = iota
	running
	scoring
	finished
)

// itemRun is an item with what its owner knows of it.
type itemRun struct {
	job   *ownedJob
	item  *Item
	phase phase
	// started is whether some target has started the item.
	started bool
	// events holds the data of the events so far, in order; lastEvent is the id
	// of the newest.
	events    []string
	lastEvent int
	// versions are the weight versions that made an event, ascending.
	versions []sillid.WeightVersion
	// attempts counts the runs since this process owns the job.
	attempts int
	// failures counts the runs that the target itself failed.
	failures int
	// scoreFailures counts the failed answers of the scorer.
	scoreFailures int
	// notBefore is when the item may be tried again.
	notBefore time.Time
	// versionWaitSince is since when the text waits for the engines that may go on
	// with it; zero if it does not wait for certain ones.
	versionWaitSince time.Time
	// target is where the item runs; stop ends the attempt there. Both are
	// empty while it does not run.
	target        sillid.TargetID
	cancelAttempt func()
	// avoid holds targets that were too slow for the item.
	avoid map[sillid.TargetID]bool
}

// discard drops a text that can't be gone on with.
func (it *itemRun) discard() {
	it.events, it.lastEvent, it.versions = nil, 0, nil
}

// addEvent takes one more event made by a version.
func (it *itemRun) addEvent(id int, data string, v sillid.WeightVersion) {
	it.events = append(it.events, data)
	it.lastEvent = id
	if i, found := slices.BinarySearch(it.versions, v); !found {
		it.versions = slices.Insert(it.versions, i, v)
	}
}

// meetsMinVersion returns whether the text so far may be part of a sample of the job.
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

// resume takes a text that was saved.
func (it *itemRun) resume(p Progress) {
	it.events = slices.Clone(p.Events)
	it.lastEvent = p.LastEvent
	it.versions = slices.Clone(p.Versions)
	it.started = it.started || len(p.Events) > 0
}

// byUrgency orders waiting items. The load that it answers is a batch of items
// of unlike lengths, of which nearly all must be done by one time: older jobs go
// first, then texts that are under way, then the longest, since the last item
// to end decides.
func byUrgency(a, b *itemRun) int {
	return cmp.Or(
		cmp.Compare(a.job.sub.SubmittedMS, b.job.sub.SubmittedMS),
		cmp.Compare(min(len(b.events), 1), min(len(a.events), 1)),
		cmp.Compare(b.item.ExpectedTokens, a.item.ExpectedTokens),
		cmp.Compare(a.item.ID, b.item.ID),
	)
}
