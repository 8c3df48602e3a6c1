package sillservebench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wasabisill/wasabisill/internal/silllimit"
	"github.com/wasabisill/wasabisill/internal/sillretry"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

const (
	gateways = 3
	slots    = 8
	places   = 8 * slots
	// duration is the time of arrivals; killAt is when zone 0 dies.
	duration = 400 * time.Second
	killAt   = duration / 2
	// heartbeat is the lag of load reports; noticed is when a dead target is left out.
	heartbeat = time.Second
	noticed   = 3 * time.Second
	// patience is the deadline in mean service times.
	patience = 10
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool is one pool of a deployment.
type pool struct {
	name    string
	targets int
	zones   int
	service time.Duration
}

// customer is an organisation: its weight, its share of the demand, and its
// service time relative to the pool's.
type customer struct {
	weight  int
	demand  float64
	service float64
}

// customers are 8 organisations, a few large.
var customers = []customer{
	{1, 0.34, 1.5},
	{2, 0.26, 1},
	{1, 0.14, 0.5},
	{1, 0.08, 1},
	{1, 0.06, 2},
	{1, 0.05, 1},
	{1, 0.04, 0.5},
	{1, 0.03, 1},
}

type request struct {
	id       int
	customer int
	arrived  time.Time
	deadline time.Time
	service  time.Duration
	attempts int
	exclude  []sillid.TargetID
	choice   sillroute.Choice
}

// target is a back end with its queue: a fair one, or a plain one.
type target struct {
	id      sillid.TargetID
	zone    int
	dead    bool
	died    time.Time
	fair    *silllimit.Queue
	plain   []*request
	running int
	known   map[sillid.AttemptID]*request
}

// policy chooses a target; fair selects the fair queue and retries.
type policy struct {
	name string
	fair bool
	pick func(s *simulation, gateway int, r *request) *target
}

type simulation struct {
	pool     pool
	policy   policy
	now      time.Time
	random   *rand.Rand
	events   events
	targets  []*target
	byID     map[sillid.TargetID]*target
	choosers []*sillroute.Chooser
	// inFlight counts by gateway and target, for least requests.
	inFlight [gateways]map[sillid.TargetID]int
	turn     [gateways]int
	budgets  *sillretry.Budgets
	sequence uint64
	result   result
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events struct {
	list  []event
	count int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].order < e.list[j].order
	}
	return e.list[i].at.Before(e.list[j].at)
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.count++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.events.count, run: run})
}

func newSimulation(p pool, chosen policy) *simulation {
	s := &simulation{
		pool:    p,
		policy:  chosen,
		now:     start,
		random:  rand.New(rand.NewPCG(1, 2)),
		byID:    make(map[sillid.TargetID]*target),
		budgets: sillretry.NewBudgets(),
	}
	for i := range p.targets {
		t := &target{id: sillid.TargetID(fmt.Sprintf("t%02d", i)), zone: i % p.zones, known: make(map[sillid.AttemptID]*request)}
		t.fair = silllimit.NewQueue(silllimit.Config{MaxConcurrent: slots, MaxWaiting: places, RolloutFloor: 0.1})
		s.targets = append(s.targets, t)
		s.byID[t.id] = t
	}
	for g := range gateways {
		zone := sillid.ZoneID(fmt.Sprint((g + 1) % p.zones))
		s.choosers = append(s.choosers, sillroute.NewChooser(sillroute.Config{Zone: zone}))
		s.inFlight[g] = make(map[sillid.TargetID]int)
	}
	return s
}

// run offers the demand and lets everything end.
func (s *simulation) run(load float64, kill bool) result {
	s.report()
	for c := range customers {
		s.arrive(c, load)
	}
	if kill {
		s.after(killAt, s.killZone)
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	return s.result
}

// report brings each gateway the load of the targets, and again after a heartbeat.
func (s *simulation) report() {
	s.sequence++
	var reported []sillroute.Target
	for _, t := range s.visible() {
		q := t.fair.Snapshot()
		load := sillroute.Load{Limit: slots, Sequence: s.sequence, MeanServiceTime: q.MeanServiceTime}
		load.Running, load.Waiting = q.Running, q.Waiting[silllimit.Interactive]
		reported = append(reported, sillroute.Target{ID: t.id, Zone: sillid.ZoneID(fmt.Sprint(t.zone)), Load: load})
	}
	for _, c := range s.choosers {
		c.Update(s.now, reported)
	}
	if s.now.Before(start.Add(duration + time.Minute)) {
		s.after(heartbeat, s.report)
	}
}

// visible returns the targets that membership holds for serving.
func (s *simulation) visible() []*target {
	var all []*target
	for _, t := range s.targets {
		if !t.dead || s.now.Before(t.died.Add(noticed)) {
			all = append(all, t)
		}
	}
	return all
}

func (s *simulation) arrive(c int, load float64) {
	mean := time.Duration(float64(s.pool.service) * customers[c].service)
	rate := load * float64(s.pool.targets*slots) * customers[c].demand / mean.Seconds()
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	if s.now.Add(gap).After(start.Add(duration)) {
		return
	}
	s.after(gap, func() {
		service := time.Duration(s.random.ExpFloat64() * float64(mean))
		s.result.offered++
		r := &request{id: s.result.offered, customer: c, arrived: s.now, service: service}
		r.deadline = s.now.Add(patience * mean)
		s.result.demand(s.now, c, service)
		s.dispatch(r)
		s.arrive(c, load)
	})
}

func (s *simulation) dispatch(r *request) {
	r.attempts++
	gateway := r.id % gateways
	t := s.policy.pick(s, gateway, r)
	if t == nil {
		s.result.refuse(r, sillproblem.NoTarget)
		return
	}
	s.inFlight[gateway][t.id]++
	if t.dead {
		s.fail(t, r, sillproblem.New(sillproblem.ConnectionSilent, ""))
		return
	}
	if s.policy.fair {
		s.submitFair(t, r)
		return
	}
	if len(t.plain) >= places {
		s.fail(t, r, sillproblem.New(sillproblem.Overload, ""))
		return
	}
	t.plain = append(t.plain, r)
	s.pumpPlain(t)
}

// leave ends the request at the gateway that sent it.
func (s *simulation) leave(t *target, r *request, ending sillroute.Outcome) {
	s.inFlight[r.id%gateways][t.id]--
	if s.policy.fair {
		if !t.dead {
			q := t.fair.Snapshot()
			r.choice.ObserveLoad(q.Running, q.Waiting[silllimit.Interactive])
		}
		r.choice.Done(s.now, ending, r.service)
	}
}

// fail ends an attempt that did not run; the fair policy may retry it.
func (s *simulation) fail(t *target, r *request, p *sillproblem.Problem) {
	ending := sillroute.Overloaded
	if p.Kind == sillproblem.ConnectionSilent {
		ending = sillroute.TargetFault
	}
	s.leave(t, r, ending)
	if !s.policy.fair {
		s.result.refuse(r, p.Kind)
		return
	}
	f := sillretry.Failure{Problem: p, Attempts: r.attempts, Deadline: r.deadline, Jitter: s.random.Float64()}
	budget := s.budgets.Of(sillid.OrganisationID(fmt.Sprint(r.customer)), "p")
	d := sillretry.DefaultPolicy().Decide(s.now, f, budget)
	if d.Action != sillretry.RetryElsewhere {
		s.result.refuse(r, p.Kind)
		return
	}
	r.exclude = append(r.exclude, t.id)
	s.after(d.Wait, func() { s.dispatch(r) })
}

func (s *simulation) submitFair(t *target, r *request) {
	e := silllimit.Entry{
		ID:           sillid.AttemptID(fmt.Sprint(r.id)),
		Organisation: sillid.OrganisationID(fmt.Sprint(r.customer)),
		Weight:       customers[r.customer].weight,
		Deadline:     r.deadline,
	}
	t.known[e.ID] = r
	s.refused(t, t.fair.Submit(s.now, e))
	s.pumpFair(t)
}

func (s *simulation) refused(t *target, refusals []silllimit.Refusal) {
	for _, x := range refusals {
		r := t.known[x.Entry.ID]
		delete(t.known, x.Entry.ID)
		s.fail(t, r, x.Problem)
	}
}

func (s *simulation) pumpFair(t *target) {
	for {
		e, dropped, ok := t.fair.Next(s.now)
		s.refused(t, dropped)
		if !ok {
			return
		}
		r := t.known[e.ID]
		delete(t.known, e.ID)
		s.serve(t, r, func() {
			t.fair.Done(e.ID, silllimit.Result{ServiceTime: r.service, Latency: 0})
			s.budgets.Of(e.Organisation, "p").RecordSuccess()
			s.pumpFair(t)
		})
	}
}

func (s *simulation) pumpPlain(t *target) {
	for t.running < slots && len(t.plain) > 0 {
		r := t.plain[0]
		t.plain = t.plain[1:]
		t.running++
		s.serve(t, r, func() {
			t.running--
			s.pumpPlain(t)
		})
	}
}

// serve runs a request; what a killed target ran is lost.
func (s *simulation) serve(t *target, r *request, then func()) {
	s.after(r.service, func() {
		if t.dead {
			return
		}
		s.leave(t, r, sillroute.Succeeded)
		s.result.complete(s.now, r)
		then()
	})
}

func (s *simulation) killZone() {
	for _, t := range s.targets {
		if t.zone == 0 {
			t.dead = true
			t.died = s.now
		}
	}
}

func pickOurs(s *simulation, gateway int, r *request) *target {
	choice, ok := s.choosers[gateway].Choose(s.now, sillroute.Request{RandomSeed: s.random.Uint64(), Exclude: r.exclude})
	if !ok {
		return nil
	}
	r.choice = choice
	return s.byID[choice.Target]
}

func pickRandom(s *simulation, _ int, _ *request) *target {
	all := s.visible()
	return all[s.random.IntN(len(all))]
}

func pickRoundRobin(s *simulation, gateway int, _ *request) *target {
	all := s.visible()
	s.turn[gateway]++
	return all[s.turn[gateway]%len(all)]
}

func pickLeastRequests(s *simulation, gateway int, _ *request) *target {
	all := s.visible()
	var least *target
	begin := s.random.IntN(len(all))
	for i := range all {
		t := all[(begin+i)%len(all)]
		if least == nil || s.inFlight[gateway][t.id] < s.inFlight[gateway][least.id] {
			least = t
		}
	}
	return least
}
