package silllimit

import (
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// class holds the organisations of one class. Organisations stay for the life
// of the queue; their number is that of the bundle.
type class struct {
	// organisations are in order of first arrival, which breaks ties.
	organisations []*organisation
	index         map[sillid.OrganisationID]*organisation
	// virtual is the tag of the organisation that started last; it never falls.
	virtual float64
	// waiting and running are the sums over organisations.
	waiting int
	running int
}

// organisation is one organisation's part of a class.
type organisation struct {
	id     sillid.OrganisationID
	class  *class
	weight float64
	// tag is the charged service time over weight, in seconds.
	tag     float64
	virtual float64
	lanes   []*lane
	// waiting and running are the sums over lanes.
	waiting int
	running int
	// given is the sum of the waiting entries' own expectations in seconds, and
	// givenCount their number.
	given      float64
	givenCount int
	mean       average
}

// lane is the queue of one trainer, or of all interactive entries, of an
// organisation. Entries run in order of arrival.
type lane struct {
	organisation *organisation
	trainer      sillid.TrainerID
	weight       float64
	tag          float64
	entries      []Entry
}

// lane returns the entry's lane with the entry's weights in force.
func (c *class) lane(e Entry) *lane {
	o, ok := c.index[e.Organisation]
	if !ok {
		o = &organisation{id: e.Organisation, class: c}
		c.index[e.Organisation] = o
		c.organisations = append(c.organisations, o)
	}
	o.weight = float64(max(e.Weight, 1))
	for _, l := range o.lanes {
		if l.trainer == e.Trainer {
			l.weight = float64(max(e.TrainerWeight, 1))
			return l
		}
	}
	l := &lane{organisation: o, trainer: e.Trainer, weight: float64(max(e.TrainerWeight, 1))}
	o.lanes = append(o.lanes, l)
	return l
}

// push adds an entry at the end of its lane. A lane or an organisation that was
// idle starts at the present virtual time, so idleness earns nothing.
func (c *class) push(l *lane, e Entry, allowance float64) {
	o := l.organisation
	if o.waiting == 0 {
		o.tag = max(o.tag, c.virtual-allowance/o.weight)
	}
	if len(l.entries) == 0 {
		l.tag = max(l.tag, o.virtual)
	}
	l.entries = append(l.entries, e)
	c.count(o, e, 1)
}

func (c *class) count(o *organisation, e Entry, n int) {
	c.waiting += n
	o.waiting += n
	if e.ExpectedServiceTime > 0 {
		o.givenCount += n
		o.given += float64(n) * e.ExpectedServiceTime.Seconds()
	}
}

// nextLane returns the lane that runs next, that of the first organisation.
func (c *class) nextLane(overall average) *lane {
	o := c.mostUrgent(overall)
	if o == nil {
		o = c.lowest()
	}
	var first *lane
	for _, l := range o.lanes {
		if len(l.entries) > 0 && (first == nil || l.tag < first.tag) {
			first = l
		}
	}
	return first
}

// lowest returns the waiting organisation with the lowest tag.
func (c *class) lowest() *organisation {
	var lowest *organisation
	for _, o := range c.organisations {
		if o.waiting > 0 && (lowest == nil || o.tag < lowest.tag) {
			lowest = o
		}
	}
	return lowest
}

// mostUrgent returns the organisation whose entry must start first, among those
// whose credit covers it; nil if there is none. All of these are owed service,
// so their order is free.
func (c *class) mostUrgent(overall average) *organisation {
	var urgent *organisation
	var earliest time.Time
	for _, o := range c.organisations {
		if o.waiting == 0 || o.tag+o.expected(Entry{}, overall)/o.weight > c.virtual {
			continue
		}
		start, ok := o.latestStart(overall)
		if ok && (urgent == nil || start.Before(earliest)) {
			urgent, earliest = o, start
		}
	}
	return urgent
}

// latestStart is when the first of the organisation's entries must start; false
// if none has a deadline.
func (o *organisation) latestStart(overall average) (time.Time, bool) {
	var earliest time.Time
	for _, l := range o.lanes {
		if len(l.entries) == 0 || l.entries[0].Deadline.IsZero() {
			continue
		}
		e := l.entries[0]
		start := e.Deadline.Add(-time.Duration(o.expected(e, overall) * float64(time.Second)))
		if earliest.IsZero() || start.Before(earliest) {
			earliest = start
		}
	}
	return earliest, !earliest.IsZero()
}

func (c *class) pop(l *lane) Entry {
	e := l.entries[0]
	l.entries[0] = Entry{}
	l.entries = l.entries[1:]
	c.count(l.organisation, e, -1)
	return e
}

func (c *class) popNewest(l *lane) Entry {
	last := len(l.entries) - 1
	e := l.entries[last]
	l.entries = l.entries[:last]
	c.count(l.organisation, e, -1)
	return e
}

func (c *class) remove(l *lane, id sillid.AttemptID) {
	i := slices.IndexFunc(l.entries, func(e Entry) bool { return e.ID == id })
	e := l.entries[i]
	l.entries = slices.Delete(l.entries, i, i+1)
	c.count(l.organisation, e, -1)
}

func (c *class) begin(l *lane, charge float64) {
	o := l.organisation
	c.virtual = max(c.virtual, o.tag)
	o.virtual = max(o.virtual, l.tag)
	c.running++
	o.running++
	o.tag += charge / o.weight
	l.tag += charge / l.weight
}

func (c *class) end(l *lane, correction float64) {
	o := l.organisation
	c.running--
	o.running--
	o.tag += correction / o.weight
	l.tag += correction / l.weight
}

func (c *class) expired(now time.Time) []Entry {
	var entries []Entry
	for _, o := range c.organisations {
		for _, l := range o.lanes {
			for _, e := range l.entries {
				if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
					entries = append(entries, e)
				}
			}
		}
	}
	return entries
}

// activeWeight is the sum of weights of the organisations that wait or run; at
// least 1.
func (c *class) activeWeight() float64 {
	sum := 0.0
	for _, o := range c.organisations {
		if o.waiting > 0 || o.running > 0 {
			sum += o.weight
		}
	}
	return max(sum, 1)
}

func (c *class) waitingOf(id sillid.OrganisationID) int {
	if o, ok := c.index[id]; ok {
		return o.waiting
	}
	return 0
}

// longestLane returns the lane with the most waiting entries over its weight.
func (o *organisation) longestLane() *lane {
	longest := o.lanes[0]
	for _, l := range o.lanes[1:] {
		if float64(len(l.entries))/l.weight > float64(len(longest.entries))/longest.weight {
			longest = l
		}
	}
	return longest
}

// expected is the entry's expected service time in seconds.
func (o *organisation) expected(e Entry, overall average) float64 {
	if e.ExpectedServiceTime > 0 {
		return e.ExpectedServiceTime.Seconds()
	}
	if o.mean.known {
		return o.mean.value
	}
	return overall.value
}

// longest is a service time in seconds that the entry hardly exceeds. It leaves
// the entry at least half of its patience for waiting.
func (o *organisation) longest(e Entry, overall average) float64 {
	expected := o.expected(e, overall)
	if e.ExpectedServiceTime > 0 {
		return expected
	}
	high := overall.high()
	if o.mean.known {
		high = o.mean.high()
	}
	return max(expected, min(high, e.patience.Seconds()/2))
}

// work is the expected service time of the waiting entries in seconds.
func (o *organisation) work(overall average) float64 {
	return o.given + float64(o.waiting-o.givenCount)*o.expected(Entry{}, overall)
}
