package sillschedule

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// The load of the steps: four trainers, each with its own owner, submit a job every 4 s with at
// most two open. A trainer waits for 90 % of the groups and for those that return; groups that were
// not complete return in its next job, before others.
const (
	stepTick   = 25 * time.Millisecond
	eventTime  = 52 * time.Millisecond
	openSteps  = 2
	longShare  = 0.08
	maxEvents  = 135
	usualMean  = 12.5
	waitShare  = 0.9
	shortAbove = 1.1
	shortBelow = 0.8
	tightAbove = 0.3
	tightBelow = 0.24
)

type stepItem struct {
	events, hint int
	startedAt    time.Duration
	begun        bool
	// resumed is the number of events of an earlier job.
	resumed int
	state   int // 0 waits, 1 runs, 2 is complete
}

func (it *stepItem) eventsAt(at time.Duration) int {
	if it.state == 1 {
		return it.resumed + int((at-it.startedAt)/eventTime)
	}
	return it.resumed
}

type stepGroup struct {
	name      string
	returning bool
	items     []*stepItem
	doneAt    time.Duration
}

type stepJob struct {
	owner     int
	submitted time.Duration
	required  int
	groups    []*stepGroup
	ended     bool
}

// waits returns whether an item waits for a slot.
func (j *stepJob) waits() bool {
	return slices.ContainsFunc(j.groups, func(g *stepGroup) bool {
		return slices.ContainsFunc(g.items, func(it *stepItem) bool { return it.state == 0 })
	})
}

// stepTrainer is the shape of a trainer's jobs.
type stepTrainer struct{ groups, items int }

var stepTrainers = []stepTrainer{{18, 8}, {17, 8}, {9, 16}, {11, 8}}

// stepRules are the rules that are compared.
type stepRules struct {
	// spare is whether spare groups yield.
	spare bool
}

type stepPlay struct {
	rules stepRules
	rng   *rand.Rand
	lost  float64
	// hintTellsLong is whether the estimates of long items are right at the median, too.
	hintTellsLong bool
	jobs          []*stepJob
	left          [4][]*stepGroup // groups that return
	last          [4]time.Duration
	count         int
	short         [4]bool
	tight         [4]bool
	earned        [4]float64
	steps         [4]int
}

func (p *stepPlay) item() *stepItem {
	base := usualMean * math.Exp(0.4*p.rng.NormFloat64()-0.08)
	events := base
	if p.rng.Float64() < longShare {
		events = 40 + p.rng.Float64()*(maxEvents-40)
	}
	if p.hintTellsLong {
		base = events
	}
	return &stepItem{events: min(max(int(events), 1), maxEvents), hint: max(int(base*math.Exp(0.5*p.rng.NormFloat64())), 1)}
}

func (p *stepPlay) submit(at time.Duration, owner int) {
	shape := stepTrainers[owner]
	j := &stepJob{owner: owner, submitted: at, required: int(math.Round(waitShare * float64(shape.groups)))}
	returning := p.left[owner]
	n := min(len(returning), j.required/2)
	for _, g := range returning[:n] {
		for _, it := range g.items {
			it.resumed = it.eventsAt(at)
			if it.state == 2 {
				it.resumed, it.begun = 0, false
			}
			it.state = 0
		}
		j.groups = append(j.groups, &stepGroup{name: g.name, returning: true, items: g.items})
	}
	p.left[owner] = returning[n:]
	for len(j.groups) < shape.groups {
		p.count++
		g := &stepGroup{name: fmt.Sprint("g", p.count)}
		for range shape.items {
			g.items = append(g.items, p.item())
		}
		j.groups = append(j.groups, g)
	}
	p.jobs = append(p.jobs, j)
	p.last[owner] = at
	p.steps[owner]++
}

func (it *stepItem) workLeft() float64 {
	if it.state == 2 {
		return 0
	}
	if it.begun || it.state == 1 {
		return float64(it.hint) / 2
	}
	return float64(it.hint)
}

func (j *stepJob) views() ([]JobGroup, []Group) {
	var all []JobGroup
	var open []Group
	for _, g := range j.groups {
		v := JobGroup{Name: g.name, Complete: g.doneAt > 0}
		o := Group{Name: g.name, Submitted: start.Add(j.submitted), Due: start.Add(j.submitted + stepDue), GiveUp: start.Add(j.submitted + stepGiveUp)}
		for _, it := range g.items {
			left := time.Duration(it.workLeft() * float64(eventTime))
			v.Left += left.Seconds()
			v.Longest = max(v.Longest, left.Seconds())
			o.Left += left
			o.Longest = max(o.Longest, left)
			v.Begun = v.Begun || it.begun
			switch it.state {
			case 0:
				o.Waiting++
			case 1:
				o.Running++
			}
		}
		v.Returning = g.returning
		all = append(all, v)
		if !v.Complete {
			open = append(open, o)
		}
	}
	return all, open
}

func (p *stepPlay) end(j *stepJob, at time.Duration) {
	returning, done := 0, []time.Duration(nil)
	for _, g := range j.groups {
		if g.returning && g.doneAt == 0 {
			returning++
		}
		if g.doneAt > 0 {
			done = append(done, g.doneAt)
		}
	}
	if at-j.submitted < stepGiveUp && (len(done) < j.required || returning > 0) {
		return
	}
	j.ended = true
	slices.Sort(done)
	credit := 0.0
	for _, d := range done[:min(len(done), j.required)] {
		if d-j.submitted+finishMargin <= stepDue {
			credit++
		} else {
			credit += lateCredit / inTimeCredit
		}
	}
	p.earned[j.owner] += credit / float64(j.required)
	for _, g := range j.groups {
		if g.doneAt == 0 {
			p.left[j.owner] = append(p.left[j.owner], g)
		}
	}
}

func (p *stepPlay) play() float64 {
	for at := time.Duration(0); at < loadTime; at += stepTick {
		running := 0
		var open []*stepJob
		for _, j := range p.jobs {
			if j.ended {
				continue
			}
			for _, g := range j.groups {
				whole := true
				for _, it := range g.items {
					if it.state == 1 && it.eventsAt(at) >= it.events {
						it.state = 2
					}
					whole = whole && it.state == 2
				}
				if whole && g.doneAt == 0 {
					g.doneAt = at
				}
			}
			p.end(j, at)
			if !j.ended {
				open = append(open, j)
				for _, g := range j.groups {
					for _, it := range g.items {
						if it.state == 1 {
							running++
						}
					}
				}
			}
		}
		for owner := range stepTrainers {
			n := 0
			for _, j := range open {
				if j.owner == owner {
					n++
				}
			}
			if at <= loadTime-stepGiveUp && n < openSteps && (p.steps[owner] == 0 || at-p.last[owner] >= stepEvery) {
				p.submit(at, owner)
				open = append(open, p.jobs[len(p.jobs)-1])
			}
		}
		p.dispatch(at, open, running)
	}
	sum, possible := 0.0, float64((loadTime-stepGiveUp)/stepEvery+1)
	for o := range p.earned {
		sum += p.earned[o] / possible / 4
	}
	return sum
}

type queuedItem struct {
	it        *stepItem
	spare     int
	submitted time.Duration
	rank      int
}

func (p *stepPlay) dispatch(at time.Duration, open []*stepJob, running int) {
	slots := slotsAt(at, p.lost)
	if running >= slots {
		return
	}
	var queues [4][]queuedItem
	for owner := range stepTrainers {
		if !slices.ContainsFunc(open, func(j *stepJob) bool { return j.owner == owner && j.waits() }) {
			continue
		}
		needed := 0.0
		for _, j := range open {
			if j.owner != owner {
				continue
			}
			n := 0.0
			ahead := 0
			for _, o := range open {
				if o.submitted > j.submitted+time.Second {
					continue
				}
				for _, g := range o.groups {
					for _, it := range g.items {
						if it.state == 0 {
							n, ahead = n+1, ahead+1
						}
						if it.state == 1 {
							n, ahead = n+0.5, ahead+1
						}
					}
				}
			}
			if ahead > slots {
				left := max(stepDue-(at-j.submitted), stepDue/2)
				needed = max(needed, n/float64(slots)*19*eventTime.Seconds()/left.Seconds())
			}
		}
		p.short[owner] = p.short[owner] && needed >= shortBelow || needed > shortAbove
		p.tight[owner] = p.tight[owner] && needed >= tightBelow || needed > tightAbove
		var groups []Group
		spare := make(map[string]bool)
		for _, j := range open {
			if j.owner != owner {
				continue
			}
			all, part := j.views()
			groups = append(groups, part...)
			if p.rules.spare && p.tight[owner] {
				for name := range Spare(j.required, all) {
					spare[name] = true
				}
			}
		}
		var places map[string]Place
		if p.short[owner] {
			places = Order(start.Add(at), max(slots/4, 1), groups)
		}
		for _, j := range open {
			if j.owner != owner {
				continue
			}
			for _, g := range j.groups {
				for _, it := range g.items {
					if it.state != 0 {
						continue
					}
					q := queuedItem{it: it, submitted: j.submitted, rank: places[g.name].Rank}
					if spare[g.name] {
						q.spare = 1
					}
					queues[owner] = append(queues[owner], q)
				}
			}
		}
		slices.SortStableFunc(queues[owner], func(a, b queuedItem) int {
			return cmp.Or(cmp.Compare(a.spare, b.spare), cmp.Compare(a.submitted, b.submitted), cmp.Compare(a.rank, b.rank), -cmp.Compare(a.it.resumed, b.it.resumed), cmp.Compare(b.it.hint, a.it.hint))
		})
	}
	for owner, idle := 0, 0; running < slots && idle < 4; owner = (owner + 1) % 4 {
		if len(queues[owner]) == 0 {
			idle++
			continue
		}
		idle = 0
		it := queues[owner][0].it
		queues[owner] = queues[owner][1:]
		it.state, it.startedAt, it.begun = 1, at, true
		running++
	}
}

// TestSpareGroupsEarnMore compares steps with and without spare groups that yield. It guards
// against spare groups that cost credit.
func TestSpareGroupsEarnMore(t *testing.T) {
	const seeds = 4
	play := func(rules stepRules, hintTellsLong bool, lost float64) float64 {
		sum := 0.0
		for seed := range uint64(seeds) {
			p := &stepPlay{rules: rules, lost: lost, hintTellsLong: hintTellsLong, rng: rand.New(rand.NewPCG(seed, 9))}
			sum += p.play()
		}
		return sum / seeds
	}
	gain := 0.0
	for _, hintTellsLong := range []bool{true, false} {
		for _, lost := range []float64{0.4, 0.6, 0.7, 0.85} {
			before := play(stepRules{}, hintTellsLong, lost)
			after := play(stepRules{spare: true}, hintTellsLong, lost)
			t.Logf("%.0f %% lost, hints tell long items %t: earned %.3f, with spare groups that yield %.3f", 100*lost, hintTellsLong, before, after)
			if after < before-0.01 {
				t.Errorf("%.0f %% lost: spare groups that yield earn %.3f, %.3f without", 100*lost, after, before)
			}
			gain += (after - before) / 8
		}
	}
	if gain < 0.002 {
		t.Errorf("spare groups that yield gain %.4f on average", gain)
	}
}
