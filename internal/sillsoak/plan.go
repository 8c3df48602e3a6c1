package sillsoak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Pause suspends a process.
type Pause struct {
	// After is the time since the SIGTERM of the stop.
	After  time.Duration
	Length time.Duration
}

// Stop is a planned stop of a process and its restart at the same address.
type Stop struct {
	// At is the time since the start of the soak. A process that does not run yet again
	// stops as soon as it serves.
	At time.Duration
	// Terms and Hangups are the times of further SIGTERMs and of SIGHUPs since the first
	// SIGTERM.
	Terms, Hangups []time.Duration
	// Pauses are in order and don't overlap.
	Pauses []Pause
	// RestartAfter is the time from the end of the process to its next start.
	RestartAfter time.Duration
	// TermInStart, if not 0, is the time after which the next process gets SIGTERM while
	// it starts; another one follows it.
	TermInStart time.Duration
	// Processors is the GOMAXPROCS of the next process.
	Processors int
}

// ProcessPlan is what happens to one process.
type ProcessPlan struct {
	// Processors is the GOMAXPROCS of the first process.
	Processors int
	// Stops are in order; the last one is final.
	Stops []Stop
	// Hangups are the times of SIGHUPs outside the stops.
	Hangups []time.Duration
}

// Plan is what happens in a soak. It follows from its configuration.
type Plan struct {
	Processes []ProcessPlan
	// Changes are the times of new configurations, Drains those at which a target leaves
	// for a while.
	Changes, Drains []time.Duration
}

// PlanConfig sets the extent of a plan.
type PlanConfig struct {
	Seed uint64
	// Processes is the number of processes that stop; 0 draws 3 to 8.
	Processes int
	// Duration is the time in which stops begin.
	Duration time.Duration
	// Notice is the time for which a process serves after SIGTERM until it closes its
	// listener.
	Notice time.Duration
	// Hangups is whether processes get SIGHUPs.
	Hangups bool
}

// planner draws a plan.
type planner struct {
	PlanConfig
	random *rand.Rand
}

// NewPlan returns the plan of a configuration.
func NewPlan(cfg PlanConfig) *Plan {
	p := &planner{PlanConfig: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0))}
	if n := 3 + p.random.IntN(6); cfg.Processes == 0 {
		p.Processes = n
	}
	plan := &Plan{
		Processes: make([]ProcessPlan, p.Processes),
		Changes:   p.series(100*time.Millisecond, 1500*time.Millisecond, p.Duration+p.Notice),
		Drains:    p.series(time.Second, 3*time.Second, p.Duration),
	}
	for i := range plan.Processes {
		plan.Processes[i].Processors = p.processors()
		if p.Hangups {
			plan.Processes[i].Hangups = p.series(200*time.Millisecond, 4*time.Second, p.Duration)
		}
	}
	p.addWaves(plan.Processes)
	return plan
}

// between returns a time from a to b, b excluded.
func between(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Int64N(int64(b-a)))
}

func (p *planner) between(a, b time.Duration) time.Duration { return between(p.random, a, b) }

// series returns times until the end, with gaps from a to b.
func (p *planner) series(a, b, end time.Duration) []time.Duration {
	var list []time.Duration
	for at := p.between(a, b); at < end; at += p.between(a, b) {
		list = append(list, at)
	}
	return list
}

func (p *planner) processors() int { return []int{1, 1, 1, 2, 4, 8}[p.random.IntN(6)] }

// addWaves adds waves of stops of one or more processes, and a last one of all.
func (p *planner) addWaves(processes []ProcessPlan) {
	// A process can stop every few seconds, so larger fleets have more waves.
	gap := 12 * time.Second / time.Duration(len(processes))
	for at := p.between(200*time.Millisecond, time.Second); at < p.Duration; at += p.between(gap/4, gap) {
		for _, i := range p.random.Perm(len(processes))[:p.waveSize()] {
			processes[i].Stops = append(processes[i].Stops, p.stop(at+p.between(0, 60*time.Millisecond)))
		}
	}
	for i := range processes {
		stops := processes[i].Stops
		slices.SortFunc(stops, func(a, b Stop) int { return cmp.Compare(a.At, b.At) })
		processes[i].Stops = append(stops, p.stop(p.Duration))
	}
}

// waveSize returns the number of processes that stop at once.
func (p *planner) waveSize() int {
	switch x := p.random.IntN(10); {
	case x < 6:
		return 1
	case x < 9:
		return min(p.Processes, 2+p.random.IntN(2))
	default:
		return max(1, p.Processes/2)
	}
}

// signalSlack is the time after the notice in which signals of a stop still come.
const signalSlack = 200 * time.Millisecond

func (p *planner) stop(at time.Duration) Stop {
	s := Stop{At: at, Processors: p.processors(), RestartAfter: p.between(0, 300*time.Millisecond), Terms: p.signals()}
	if p.Hangups {
		s.Hangups = p.signals()
	}
	if p.random.IntN(3) == 0 {
		s.Pauses = append(s.Pauses, Pause{After: p.between(0, 300*time.Millisecond), Length: p.pauseLength()})
	}
	s.Pauses = append(s.Pauses, p.pausesAtTheNotice()...)
	if p.random.IntN(4) == 0 {
		s.TermInStart = p.between(time.Millisecond, 80*time.Millisecond)
	}
	return s
}

// signals returns the times of up to two signals during a stop.
func (p *planner) signals() []time.Duration {
	var list []time.Duration
	for range p.random.IntN(3) {
		list = append(list, p.between(0, p.Notice+signalSlack))
	}
	return list
}

// pausesAtTheNotice returns pauses around the end of the notice, when the process closes
// its idle connections.
func (p *planner) pausesAtTheNotice() []Pause {
	var list []Pause
	after := p.Notice - p.between(0, 200*time.Millisecond)
	for p.random.IntN(4) > 0 && after < p.Notice+signalSlack {
		length := p.pauseLength()
		list = append(list, Pause{After: after, Length: length})
		after += length + p.between(time.Millisecond, 50*time.Millisecond)
	}
	return list
}

func (p *planner) pauseLength() time.Duration {
	return p.between(20*time.Millisecond, 150*time.Millisecond)
}
