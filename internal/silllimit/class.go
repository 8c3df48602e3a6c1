package silllimit

import (
	"slices"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// class holds the organisations of one class. Organisations are never removed;
// their number is bounded by the organisations in the bundle.
type class struct {
	// organisations are in order of first arrival, which breaks ties.
	organisations []*organisation
	index         map[sillid.OrganisationID]*organisation
	// virtualTime is the start tag of the organisation that started last; it
	// never falls.
	virtualTime float64
	// waiting and running are sums over the organisations.
	waiting int
	running int
}

// organisation is the state of one organisation in one class.
type organisation struct {
	id     sillid.OrganisationID
	class  *class
	weight float64
	// startTag is the virtual start time of the next entry in seconds. It grows
	// by charged service time divided by weight.
	startTag    float64
	virtualTime float64
	flows       []*flow
	// waiting and running are sums over the flows.
	waiting int
	running int
	// expectedSum is the sum in seconds of ExpectedServiceTime over the waiting
	// entries that have one, and expectedCount is their number.
	expectedSum   float64
	expectedCount int
	mean          movingAverage
}

// flow is the queue of one trainer, or of all interactive entries, of an
// organisation. Its entries run in order of arrival.
type flow struct {
	organisation *organisation
	trainer      sillid.TrainerID
	weight       float64
	startTag     float64
	entries      []Entry
}

// flowOf returns the flow of the entry and applies the entry's weights to it.
func (c *class) flowOf(e Entry) *flow {
	o, ok := c.index[e.Organisation]
	if !ok {
		o = &organisation{id: e.Organisation, class: c}
		c.index[e.Organisation] = o
		c.organisations = append(c.organisations, o)
	}
	o.weight = float64(max(e.Weight, 1))
	for _, f := range o.flows {
		if f.trainer == e.Trainer {
			f.weight = float64(max(e.TrainerWeight, 1))
			return f
		}
	}
	f := &flow{organisation: o, trainer: e.Trainer, weight: float64(max(e.TrainerWeight, 1))}
	o.flows = append(o.flows, f)
	return f
}

// push adds an entry at the end of its flow. A flow that was idle starts at the
// organisation's virtual time and earns no credit. An organisation that was
// idle starts at most allowance seconds of service time before the class's
// virtual time.
func (c *class) push(f *flow, e Entry, allowance float64) {
	o := f.organisation
	if o.waiting == 0 {
		o.startTag = max(o.startTag, c.virtualTime-allowance/o.weight)
	}
	if len(f.entries) == 0 {
		f.startTag = max(f.startTag, o.virtualTime)
	}
	f.entries = append(f.entries, e)
	c.adjustCounts(o, e, 1)
}

func (c *class) adjustCounts(o *organisation, e Entry, n int) {
	c.waiting += n
	o.waiting += n
	if e.ExpectedServiceTime > 0 {
		o.expectedCount += n
		o.expectedSum += float64(n) * e.ExpectedServiceTime.Seconds()
	}
}

// nextFlow returns the flow whose entry runs next.
func (c *class) nextFlow(overall movingAverage) *flow {
	o := c.mostUrgent(overall)
	if o == nil {
		o = c.lowestTag()
	}
	var first *flow
	for _, f := range o.flows {
		if len(f.entries) > 0 && (first == nil || f.startTag < first.startTag) {
			first = f
		}
	}
	return first
}

// lowestTag returns the waiting organisation with the lowest start tag.
func (c *class) lowestTag() *organisation {
	var lowest *organisation
	for _, o := range c.organisations {
		if o.waiting > 0 && (lowest == nil || o.startTag < lowest.startTag) {
			lowest = o
		}
	}
	return lowest
}

// mostUrgent returns the organisation whose next entry must start first to meet
// its deadline, among those whose credit covers that entry; nil if there is
// none. All of these are owed service, so any order between them is fair.
func (c *class) mostUrgent(overall movingAverage) *organisation {
	var urgent *organisation
	var earliest time.Time
	for _, o := range c.organisations {
		if o.waiting == 0 || o.startTag+o.expectedServiceTime(Entry{}, overall)/o.weight > c.virtualTime {
			continue
		}
		start, ok := o.latestStart(overall)
		if ok && (urgent == nil || start.Before(earliest)) {
			urgent, earliest = o, start
		}
	}
	return urgent
}

// latestStart returns the latest time at which the organisation's next entry
// must start to meet its deadline; false if no next entry has a deadline.
func (o *organisation) latestStart(overall movingAverage) (time.Time, bool) {
	var earliest time.Time
	for _, f := range o.flows {
		if len(f.entries) == 0 || f.entries[0].Deadline.IsZero() {
			continue
		}
		e := f.entries[0]
		start := e.Deadline.Add(-time.Duration(o.expectedServiceTime(e, overall) * float64(time.Second)))
		if earliest.IsZero() || start.Before(earliest) {
			earliest = start
		}
	}
	return earliest, !earliest.IsZero()
}

func (c *class) pop(f *flow) Entry {
	e := f.entries[0]
	f.entries[0] = Entry{}
	f.entries = f.entries[1:]
	c.adjustCounts(f.organisation, e, -1)
	return e
}

func (c *class) popNewest(f *flow) Entry {
	last := len(f.entries) - 1
	e := f.entries[last]
	f.entries = f.entries[:last]
	c.adjustCounts(f.organisation, e, -1)
	return e
}

func (c *class) remove(f *flow, id sillid.AttemptID) {
	i := slices.IndexFunc(f.entries, func(e Entry) bool { return e.ID == id })
	e := f.entries[i]
	f.entries = slices.Delete(f.entries, i, i+1)
	c.adjustCounts(f.organisation, e, -1)
}

func (c *class) begin(f *flow, charge float64) {
	o := f.organisation
	c.virtualTime = max(c.virtualTime, o.startTag)
	o.virtualTime = max(o.virtualTime, f.startTag)
	c.running++
	o.running++
	o.startTag += charge / o.weight
	f.startTag += charge / f.weight
}

func (c *class) end(f *flow, correction float64) {
	o := f.organisation
	c.running--
	o.running--
	o.startTag += correction / o.weight
	f.startTag += correction / f.weight
}

func (c *class) expired(now time.Time) []Entry {
	var entries []Entry
	for _, o := range c.organisations {
		for _, f := range o.flows {
			for _, e := range f.entries {
				if !e.Deadline.IsZero() && !now.Before(e.Deadline) {
					entries = append(entries, e)
				}
			}
		}
	}
	return entries
}

// activeWeight returns the sum of the weights of the organisations with waiting
// or running entries; at least 1.
func (c *class) activeWeight() float64 {
	sum := 0.0
	for _, o := range c.organisations {
		if o.waiting > 0 || o.running > 0 {
			sum += o.weight
		}
	}
	return max(sum, 1)
}

func (c *class) waitingCount(id sillid.OrganisationID) int {
	if o, ok := c.index[id]; ok {
		return o.waiting
	}
	return 0
}

// longestFlow returns the flow with the most waiting entries per weight.
func (o *organisation) longestFlow() *flow {
	longest := o.flows[0]
	for _, f := range o.flows[1:] {
		if float64(len(f.entries))/f.weight > float64(len(longest.entries))/longest.weight {
			longest = f
		}
	}
	return longest
}

// expectedServiceTime returns the expected service time of the entry in
// seconds.
func (o *organisation) expectedServiceTime(e Entry, overall movingAverage) float64 {
	if e.ExpectedServiceTime > 0 {
		return e.ExpectedServiceTime.Seconds()
	}
	if o.mean.known {
		return o.mean.value
	}
	return overall.value
}

// longServiceTime returns a service time in seconds that the entry rarely
// exceeds. It leaves at least half of the entry's time budget for waiting.
func (o *organisation) longServiceTime(e Entry, overall movingAverage) float64 {
	expected := o.expectedServiceTime(e, overall)
	if e.ExpectedServiceTime > 0 {
		return expected
	}
	high := overall.upperBound()
	if o.mean.known {
		high = o.mean.upperBound()
	}
	return max(expected, min(high, e.timeBudget.Seconds()/2))
}

// backlog returns the expected service time of the waiting entries in seconds.
func (o *organisation) backlog(overall movingAverage) float64 {
	return o.expectedSum + float64(o.waiting-o.expectedCount)*o.expectedServiceTime(Entry{}, overall)
}
