package silljob

import (
	"cmp"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The jobs of all owners share the engines of a pool. Each owner fills the free slots that it
// sees, the oldest job first: a trainer asks for its next step only once an older one is
// complete, so a job that yields delays all that come after it. While the engines can't complete
// the open jobs in time, the pool is short: the groups of a job then go by what they can still
// earn, and jobs that nobody waits for any more go last.

const (
	// tightShare is the share of the time until a job is due from which the work that is left
	// makes spare groups yield; below looseShare they don't. It is well below crowdedShare, since
	// long items keep their slots long after a pool has become short. Groups that yield while
	// there is time return in the next job and are needed there.
	tightShare = 0.3
	looseShare = 0.24
	// planInterval is the time between two orders of the groups of a short pool.
	planInterval = 50 * time.Millisecond
	// simultaneous is the difference of the submission times of jobs that count as equally
	// old: trainers submit at about the same moment.
	simultaneous = time.Second
	// priorityDelay is how much younger a job counts for each level of its priority.
	priorityDelay = time.Second
	// usualGiveUp is when a trainer is expected to give up if its route does not tell, as a
	// multiple of the time until its job is due.
	usualGiveUp = 1.6
	// shortageLogInterval is the time between two log lines on a pool that stays short.
	shortageLogInterval = time.Second
)

// shortage holds what this process decides on a pool while its slots are short.
type shortage struct {
	// short is whether the open jobs can't be complete in time.
	short     bool
	plannedAt time.Time
	loggedAt  time.Time
	places    map[groupName]sillschedule.Place
	// tight is whether the open jobs take so much of the time that spare groups yield, and spare
	// are these groups.
	tight bool
	spare map[groupName]bool
	// slots is the number of the pool's slots, and share how many of them the groups of this
	// process are expected to get.
	slots   int
	share   int
	demands []sillschedule.Demand
}

type groupName struct {
	job   ID
	group string
}

// updateShortages finds the pools that are short of slots and decides on those. The caller
// holds r.mu.
func (r *Runner) updateShortages(now time.Time) {
	if r.cfg.Board == nil {
		return
	}
	pools := make(map[sillid.PoolID][]*ownedJob)
	for _, j := range r.jobsByAge() {
		if j.countUnloaded() == 0 && j.removed == 0 {
			r.recordGroups(now, j)
		}
		pools[j.pool] = append(pools[j.pool], j)
	}
	for pool := range r.shortages {
		if pools[pool] == nil {
			r.forgetShortage(pool)
		}
	}
	for pool, jobs := range pools {
		if !r.cfg.Directory.Switch(pool).On(silltarget.OrderOfGroups) {
			r.forgetShortage(pool)
			continue
		}
		s := r.shortages[pool]
		if s == nil {
			s = &shortage{}
			r.shortages[pool] = s
		}
		if now.Sub(s.plannedAt) >= planInterval {
			s.plannedAt = now
			r.plan(now, pool, jobs, s)
		}
	}
}

func (r *Runner) forgetShortage(pool sillid.PoolID) {
	delete(r.shortages, pool)
	r.cfg.Metrics.spareGroups.DeleteLabelValues(string(pool))
}

// poolQuery selects the targets of a pool that may run items of some of its jobs. Homes count
// only if all of the jobs have the same.
func poolQuery(pool sillid.PoolID, jobs []*ownedJob) silltarget.Query {
	homes := jobs[0].homes
	for _, j := range jobs {
		if j.homes != homes {
			homes = ""
		}
	}
	return silltarget.Query{Pool: pool, Homes: homes, Class: sillrate.Background, IgnoreLimits: true}
}

func countRunning(jobs []*ownedJob) int {
	n := 0
	for _, j := range jobs {
		n += j.load().running
	}
	return n
}

// plan decides on one pool.
func (r *Runner) plan(now time.Time, pool sillid.PoolID, jobs []*ownedJob, s *shortage) {
	s.slots = r.cfg.Directory.Slots(now, poolQuery(pool, jobs))
	open := r.openJobs(pool, jobs)
	needed := r.shareOfTimeNeededByAll(now, jobs, open, s.slots)
	wasShort := s.short
	s.short = s.short && needed >= roomyShare || needed > crowdedShare
	if !s.short {
		s.places, s.demands = nil, nil
	} else {
		s.demands = r.demands(now, jobs, open)
		s.share = sillschedule.Share(s.slots, s.demands, string(r.cfg.Self))
		r.placeGroups(now, jobs, s)
	}
	s.tight = s.tight && needed >= looseShare || needed > tightShare
	s.spare = nil
	if s.tight {
		r.findSpare(now, pool, jobs, s)
	}
	r.cfg.Metrics.spareGroups.WithLabelValues(string(pool)).Set(float64(len(s.spare)))
	message := "Groups that no trainer is expected to wait for yield."
	switch {
	case s.short:
		message = "Pool is short of slots; running the groups that can be complete in time first."
	case wasShort:
		message = "Pool is no longer short of slots."
	}
	if s.short != wasShort || ((s.short || len(s.spare) > 0) && now.Sub(s.loggedAt) >= shortageLogInterval) {
		s.loggedAt = now
		r.logShortage(message, pool, jobs, s, needed)
	}
}

// openJob is an open job of any owner as its state row tells, or as this process knows if it is
// the owner.
type openJob struct {
	owner       GatewayRun
	submittedMS int64
	load        modelLoad
}

// openJobs returns the open jobs of a pool.
func (r *Runner) openJobs(pool sillid.PoolID, jobs []*ownedJob) []openJob {
	var open []openJob
	for job, v := range r.cfg.Board.OpenJobs() {
		if v.Pool != pool || r.jobs[job] != nil {
			continue
		}
		unpublished := v.Total - v.Published
		waiting := min(v.Waiting, unpublished)
		open = append(open, openJob{v.Owner, v.SubmittedMS, modelLoad{waiting: waiting, running: unpublished - waiting}})
	}
	for _, j := range jobs {
		open = append(open, openJob{r.cfg.Self, j.sub.SubmittedMS, j.load()})
	}
	return open
}

// shareOfTimeNeededByAll returns the time that the slots take for a job of this process and
// all that are not newer, as a share of the time until the job is due, for the job for which
// that is the highest; 0 if it is not known.
func (r *Runner) shareOfTimeNeededByAll(now time.Time, jobs []*ownedJob, open []openJob, slots int) float64 {
	highest := 0.0
	for _, j := range jobs {
		due := j.sub.DueAt()
		if due.IsZero() || r.attemptTime == 0 || j.load() == (modelLoad{}) {
			continue
		}
		var ahead modelLoad
		for _, o := range open {
			if o.submittedMS <= j.sub.SubmittedMS+simultaneous.Milliseconds() {
				ahead = ahead.add(o.load)
			}
		}
		if ahead.waiting+ahead.running <= slots {
			continue
		}
		left := max(due.Sub(now), time.Duration(minHorizonShare*float64(j.sub.DueAfterMS))*time.Millisecond)
		highest = max(highest, timeToComplete(ahead, slots, r.attemptTime).Seconds()/left.Seconds())
	}
	return highest
}

// demands returns the demand of each owner. The times of jobs of others are taken from the
// oldest job of this process, since state rows do not tell them.
func (r *Runner) demands(now time.Time, jobs []*ownedJob, open []openJob) []sillschedule.Demand {
	byOwner := make(map[GatewayRun]sillschedule.Demand)
	for _, o := range open {
		times := *jobs[0].sub
		times.SubmittedMS = o.submittedMS
		d := byOwner[o.owner]
		items := o.load.waiting + o.load.running
		d.Owner = string(o.owner)
		d.Items += items
		d.Weight += float64(items) * sillschedule.Worth(now, times.DueAt(), times.giveUpAt())
		byOwner[o.owner] = d
	}
	demands := make([]sillschedule.Demand, 0, len(byOwner))
	for _, d := range byOwner {
		if d.Items > 0 {
			demands = append(demands, d)
		}
	}
	return demands
}

// giveUpAt returns when the trainer is expected to give the job up; zero if that is not known.
func (s *Submission) giveUpAt() time.Time {
	usual := time.Duration(usualGiveUp*float64(s.DueAfterMS)) * time.Millisecond
	limit := time.Duration(s.AbandonAfterMS) * time.Millisecond
	switch {
	case usual == 0 && limit == 0:
		return time.Time{}
	case usual == 0 || (limit > 0 && limit < usual):
		usual = limit
	}
	return time.UnixMilli(s.SubmittedMS).Add(usual)
}

// placeGroups orders the groups of a pool's jobs, and counts those that are now expected to be late.
func (r *Runner) placeGroups(now time.Time, jobs []*ownedJob, s *shortage) {
	var groups []sillschedule.Group
	names := make(map[string]groupName)
	for _, j := range jobs {
		for _, g := range r.groupsOf(j) {
			name := groupName{j.sub.Job, g.Name}
			g.Name = string(j.sub.Job) + "\x00" + g.Name
			names[g.Name] = name
			groups = append(groups, g)
		}
	}
	before := s.places
	s.places = make(map[groupName]sillschedule.Place, len(groups))
	for full, p := range sillschedule.Order(now, s.share, groups) {
		name := names[full]
		s.places[name] = p
		if p.Standing != sillschedule.InTime && before[name].Standing != p.Standing {
			r.cfg.Metrics.delayedGroups.WithLabelValues(p.Standing.String()).Inc()
		}
	}
}

// groupsOf returns the unfinished groups of a job. An item takes the usual time of an attempt
// in proportion to its expected length.
func (r *Runner) groupsOf(j *ownedJob) []sillschedule.Group {
	work := 0
	for _, it := range j.items {
		work += max(it.item.ExpectedTokens, 1)
	}
	priority, index := r.priority(j), make(map[string]int)
	var groups []sillschedule.Group
	for _, it := range j.items {
		if it.phase == finished {
			continue
		}
		i, ok := index[it.item.Group]
		if !ok {
			i = len(groups)
			index[it.item.Group] = i
			groups = append(groups, sillschedule.Group{
				Name: it.item.Group, Due: j.sub.DueAt(), GiveUp: j.sub.giveUpAt(), Submitted: time.UnixMilli(j.sub.SubmittedMS), Priority: priority,
			})
		}
		left := time.Duration(it.workLeft() * float64(len(j.items)) / float64(work) * float64(r.attemptTime))
		g := &groups[i]
		g.Left += left
		g.Longest = max(g.Longest, left)
		switch it.phase {
		case waiting:
			g.Waiting++
		case running:
			g.Running++
		case scoring, finished:
		}
	}
	return groups
}

// anyOrdered returns whether a pool is short of slots or has spare groups.
func (r *Runner) anyOrdered() bool {
	for _, s := range r.shortages {
		if s.short || len(s.spare) > 0 {
			return true
		}
	}
	return false
}

// orderedItem is a waiting item with what it is ordered by.
type orderedItem struct {
	*itemRun
	spare    bool
	lost     bool
	rankedMS int64
	rank     int
}

// sortItems orders waiting items: byUrgency, with spare groups behind the others, or, in pools that
// are short, by the priority and age of their jobs and the places of their groups. Items
// of different pools do not compete.
func (r *Runner) sortItems(items []*itemRun) {
	if !r.anyOrdered() {
		slices.SortFunc(items, byUrgency)
		return
	}
	rankedMS := make(map[*ownedJob]int64)
	ordered := make([]orderedItem, len(items))
	for i, it := range items {
		ms, ok := rankedMS[it.job]
		if !ok {
			ms = r.rankedMS(it.job)
			rankedMS[it.job] = ms
		}
		ordered[i] = orderedItem{itemRun: it, spare: r.isSpare(it), lost: r.isLost(it.job), rankedMS: ms, rank: r.rank(it)}
	}
	slices.SortFunc(ordered, func(a, b orderedItem) int {
		return cmp.Or(
			cmp.Compare(a.job.pool, b.job.pool),
			falseFirst(a.spare, b.spare),
			falseFirst(a.lost, b.lost),
			cmp.Compare(a.rankedMS, b.rankedMS),
			cmp.Compare(a.rank, b.rank),
			byUrgency(a.itemRun, b.itemRun),
		)
	})
	for i := range ordered {
		items[i] = ordered[i].itemRun
	}
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// rankedMS returns the time by which a job is ordered among others: its submission, and, in a
// pool that is short, priorityDelay for each level of its priority. Jobs of a low priority wait for newer ones of a
// high one, but for no more than that, so that none starves.
func (r *Runner) rankedMS(j *ownedJob) int64 {
	if s := r.shortages[j.pool]; s == nil || !s.short {
		return j.sub.SubmittedMS
	}
	return j.sub.SubmittedMS + int64(r.priority(j))*priorityDelay.Milliseconds()
}

// isLost returns whether a job is in a pool that is short, and its trainer is expected to have
// given up.
func (r *Runner) isLost(j *ownedJob) bool {
	s, giveUp := r.shortages[j.pool], j.sub.giveUpAt()
	return s != nil && s.short && !giveUp.IsZero() && !s.plannedAt.Before(giveUp)
}

// rank returns the rank of an item's group in a pool that is short. Groups that are not placed
// yet come last.
func (r *Runner) rank(it *itemRun) int {
	s := r.shortages[it.job.pool]
	if s == nil || !s.short {
		return 0
	}
	p, ok := s.places[groupName{it.job.sub.Job, it.item.Group}]
	if !ok {
		return math.MaxInt
	}
	return p.Rank
}

func (r *Runner) logShortage(message string, pool sillid.PoolID, jobs []*ownedJob, s *shortage, needed float64) {
	standings := make(map[sillschedule.Standing]int)
	for _, p := range s.places {
		standings[p.Standing]++
	}
	owners := make([]string, len(s.demands))
	for i, d := range s.demands {
		owners[i] = d.Owner
	}
	slices.Sort(owners)
	r.cfg.Log.Info(message, zap.String("pool", string(pool)), zap.Int("jobs", len(jobs)), zap.Float64("time-needed", needed),
		zap.Duration("attempt-time", r.attemptTime), zap.Int("slots", s.slots), zap.Int("share", s.share), zap.Int("running", countRunning(jobs)),
		zap.Int("in-time", standings[sillschedule.InTime]), zap.Int("late", standings[sillschedule.Late]), zap.Int("lost", standings[sillschedule.Lost]), zap.Int("spare", len(s.spare)),
		zap.Strings("owners", owners))
}
