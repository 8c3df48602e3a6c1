package sillrollout

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// The sizes of the event driver: 9 engines, 2 trainers with steps of 2,048
// samples, a tenth of the lengths from a heavy tail.
const (
	simEngines = 9
	simSlots   = 32
	// An iteration of an engine takes simIteration and simPerSequence more for
	// each running generation, in seconds, and makes one token of each.
	simIteration      = 0.014
	simPerSequence    = 0.0004
	simGroups         = 128
	simGroupSize      = 16
	simMaxTokens      = 8192
	simPrompts        = 512
	simHeavyShare     = 0.1
	simHardPrompts    = 0.06
	simTick           = 500 * time.Millisecond
	simBound          = 1
	simTrain          = 300 * time.Second
	simDeadline       = 1200
	simSteps          = 8
	simDetect         = 3 * time.Second
	simLimit          = 3 * time.Hour
	simScoreFailShare = 0.02
)

type simRun struct {
	trainer *simTrainer
	batch   *Batch
	attempt AttemptNumber
	id      sillid.SampleID
	length  float64
	done    float64
	spans   []sillattribution.Span
	prior   float64
	left    bool
}

type simEngine struct {
	name     sillid.TargetID
	running  []*simRun
	queue    []*simRun
	downTill time.Time
	// stuck holds the version that a failed swap left behind, and until when.
	stuckTill time.Time
	stuck     sillid.WeightVersion
	fast      bool
	slots     int
}

type simTrainer struct {
	index     int
	version   sillid.WeightVersion
	step      int
	spec      Spec
	batch     *Batch
	created   time.Time
	whole     time.Time
	delivered map[sillid.SampleID]int
	settled   []int
	// progress is what the batch's owner kept, and progressAt when it keeps more.
	progress    []keptSample
	progressAt  time.Time
	trainEnds   time.Time
	nextPublish time.Time
	training    bool
	kept        history
	idle        time.Duration
	steps       []time.Duration
}

type simConfig struct {
	policy Policy
	faults bool
	train  time.Duration
	share  string
	// lane is the number of engines kept for long generations, laneSlots their slots.
	lane, laneSlots int
	publish         time.Duration
	seed            int64
}

type simResult struct {
	idle, duplicate         float64
	staleMean               float64
	staleMax                int
	stepMean, stepMax       time.Duration
	over, doubled, lost     int
	seconds, migrations     int
	dropped, unattributable int
	longest                 time.Duration
}

type sim struct {
	cfg       simConfig
	rng       *rand.Rand
	now       time.Time
	start     time.Time
	engines   []*simEngine
	trainers  []*simTrainer
	predictor []*Predictor
	runs      map[*Batch]map[AttemptNumber]*simRun
	lastRun   map[sillid.SampleID]*simRun
	scores    []simScore
	lags      []int
	// finished counts the generations of a sample that ended whole.
	finishes map[sillid.SampleID]int
	useful   float64
	spent    float64
	result   simResult
}

type simScore struct {
	batch *Batch
	id    sillid.SampleID
	at    time.Time
}

func newSim(cfg simConfig) *sim {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewSource(cfg.seed)), start: time.Unix(0, 0), now: time.Unix(0, 0)}
	s.runs = make(map[*Batch]map[AttemptNumber]*simRun)
	s.finishes = make(map[sillid.SampleID]int)
	s.lastRun = make(map[sillid.SampleID]*simRun)
	for i := range simEngines {
		e := &simEngine{name: sillid.TargetID(fmt.Sprintf("e%d", i)), slots: simSlots}
		if i < cfg.lane {
			e.fast, e.slots = true, cfg.laneSlots
		}
		s.engines = append(s.engines, e)
	}
	for i := range 2 {
		s.trainers = append(s.trainers, &simTrainer{index: i, version: 1})
		s.predictor = append(s.predictor, NewPredictor())
		s.submit(s.trainers[i])
	}
	return s
}

// simLength draws the length of a sample from its name and the number of its
// earlier whole generations alone, so that every policy meets the same lengths.
func simLength(seed int64, t *simTrainer, id sillid.SampleID, earlier int) float64 {
	prompt := (t.step*simGroups + id.Group) % simPrompts
	r := rand.New(rand.NewSource(seed<<56 | int64(earlier)<<48 | int64(t.index)<<40 | int64(t.step)<<24 | int64(id.Group)<<8 | int64(id.Index)))
	hard := prompt%100 < int(simHardPrompts*100)
	share := simHeavyShare / 2 / (1 - simHardPrompts)
	if hard {
		share = simHeavyShare / 2 / simHardPrompts
	}
	if r.Float64() < share {
		return math.Min(simMaxTokens, 1000*math.Pow(1-r.Float64(), -1/1.2))
	}
	return math.Min(simMaxTokens, math.Max(8, 350*math.Exp(0.5*r.NormFloat64())))
}

func (s *sim) submit(t *simTrainer) {
	spec := Spec{
		Batch:   sillid.BatchID(fmt.Sprintf("t%d-s%d", t.index, t.step)),
		Trainer: sillid.TrainerID(fmt.Sprintf("t%d", t.index)),
		Model:   "m", GroupSize: simGroupSize, MaxTokens: simMaxTokens,
		DeadlineSeconds: simDeadline, Partial: PartialDrop, StalenessBound: simBound, Weight: 1,
	}
	for g := range simGroups {
		spec.Prompts = append(spec.Prompts, fmt.Sprintf("prompt %d", (t.step*simGroups+g)%simPrompts))
	}
	t.spec, t.created, t.settled, t.batch, t.progress = spec, s.now, nil, nil, nil
	t.delivered = make(map[sillid.SampleID]int)
	s.rebuild(t)
}

// rebuild starts an owner from what is durable: the spec, the settled groups and
// the progress.
func (s *sim) rebuild(t *simTrainer) {
	if t.batch != nil {
		for _, r := range s.runs[t.batch] {
			r.left = true
		}
		s.result.add(t.batch.Stats)
		// The next owner has the lengths that were kept at the end of the last step.
		s.predictor[t.index] = NewPredictor()
		s.predictor[t.index].restore(t.kept)
	}
	t.batch = NewBatch(BatchConfig{
		Spec: t.spec, CreatedAt: t.created, Settled: t.settled, Policy: s.cfg.policy,
		Predictor: s.predictor[t.index], TokensPerSecond: 1 / (simIteration + simPerSequence*simSlots),
	})
	t.batch.SetTrainerVersion(s.now, t.version)
	t.batch.Restore(t.progress)
	t.progressAt = s.now.Add(progressInterval)
	s.runs[t.batch] = make(map[AttemptNumber]*simRun)
}

func (r *simResult) add(st Stats) {
	r.seconds += st.SecondAttempts
	r.migrations += st.Migrations
	r.dropped += st.Dropped
	for _, n := range st.Unattributable {
		r.unattributable += n
	}
}

func (s *sim) run() simResult {
	for s.now.Sub(s.start) < simLimit && !s.finished() {
		s.now = s.now.Add(simTick)
		if s.cfg.faults {
			s.fault()
		}
		s.generate()
		s.score()
		for _, t := range s.trainers {
			s.train(t)
		}
		s.own()
	}
	return s.summary()
}

func (s *sim) finished() bool {
	for _, t := range s.trainers {
		if len(t.steps) < simSteps {
			return false
		}
	}
	return true
}

// fault kills a target, fails a swap, stops the owner of a batch and takes the
// table away for a minute, one after the other.
func (s *sim) fault() {
	switch at := s.now.Sub(s.start); at {
	case 400 * time.Second:
		e := s.engines[2]
		e.downTill = s.now.Add(2 * time.Minute)
	case 700 * time.Second:
		e := s.engines[5]
		e.stuckTill, e.stuck = s.now.Add(20*time.Second), 0
	case 1000 * time.Second:
		s.rebuild(s.trainers[0])
	}
}

func (s *sim) tableDown() bool {
	at := s.now.Sub(s.start)
	return s.cfg.faults && at >= 1300*time.Second && at < 1360*time.Second
}

func (s *sim) generate() {
	for _, e := range s.engines {
		if s.now.Before(e.downTill) {
			s.crash(e)
			continue
		}
		s.admit(e)
		speed := 1 / (simIteration + simPerSequence*float64(len(e.running)))
		var rest []*simRun
		for _, r := range e.running {
			if r.left {
				continue
			}
			step := math.Min(speed*simTick.Seconds(), r.length-r.done)
			s.spent += step
			r.produce(step)
			if r.done < r.length {
				rest = append(rest, r)
				continue
			}
			s.finish(e, r)
		}
		e.running = rest
	}
}

func (r *simRun) produce(step float64) {
	from, to := sillid.Tokens(r.done), sillid.Tokens(r.done+step)
	r.done += step
	if to == from {
		return
	}
	spans, _ := sillattribution.Join(r.spans, []sillattribution.Span{{From: from, To: to, Version: r.trainer.version}})
	r.spans = spans
}

func (s *sim) finish(e *simEngine, r *simRun) {
	delete(s.runs[r.batch], r.attempt)
	if s.now.Before(e.stuckTill) {
		r.batch.GenerationUnattributable(s.now, r.attempt, sillattribution.SwapUnsettled)
		return
	}
	s.finishes[r.id]++
	s.useful += r.length - r.prior
	r.batch.GenerationDone(s.now, r.attempt, Generation{TokenIDs: make([]int, int(r.length)), Spans: r.spans, Target: e.name})
}

func (s *sim) crash(e *simEngine) {
	if s.now.Add(2*time.Minute - simDetect).Before(e.downTill) {
		return
	}
	for _, r := range append(e.running, e.queue...) {
		if !r.left {
			delete(s.runs[r.batch], r.attempt)
			r.batch.GenerationFailed(s.now, r.attempt, e.name)
		}
	}
	e.running, e.queue = nil, nil
}

func (s *sim) admit(e *simEngine) {
	for len(e.running) < e.slots && len(e.queue) > 0 {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
	}
}

func (s *sim) score() {
	var rest []simScore
	for _, sc := range s.scores {
		switch {
		case s.now.Before(sc.at):
			rest = append(rest, sc)
		case s.rng.Float64() < simScoreFailShare:
			sc.batch.ScoreFailed(s.now, sc.id, false)
		default:
			sc.batch.ScoreDone(sc.id, 0.5)
		}
	}
	s.scores = rest
}

// train moves a trainer: it trains on a whole step, asks for the next one
// meanwhile, and publishes versions while it trains.
func (s *sim) train(t *simTrainer) {
	if t.training && !s.now.Before(t.nextPublish) && !s.tableDown() {
		t.version++
		t.nextPublish = t.nextPublish.Add(s.cfg.publish)
		t.batch.SetTrainerVersion(s.now, t.version)
	}
	if t.training && !s.now.Before(t.trainEnds) {
		t.training = false
	}
	if t.training {
		return
	}
	if t.whole.IsZero() {
		// The first step has nothing to train on meanwhile, so it counts for no one.
		if t.step > 0 {
			t.idle += simTick
		}
		return
	}
	t.kept = s.predictor[t.index].history("m")
	t.steps = append(t.steps, t.whole.Sub(t.created))
	s.result.add(t.batch.Stats)
	t.training, t.whole = true, time.Time{}
	t.trainEnds, t.nextPublish = s.now.Add(s.cfg.train), s.now.Add(s.cfg.publish)
	t.step++
	s.submit(t)
}

func (s *sim) own() {
	free, fast := s.free(false), s.free(true)
	order := s.trainers
	if s.cfg.share != "" && s.trainers[1].created.Before(s.trainers[0].created) {
		order = []*simTrainer{s.trainers[1], s.trainers[0]}
	}
	for _, t := range order {
		if !t.whole.IsZero() || len(t.settled) == simGroups {
			continue
		}
		b := t.batch
		switch s.cfg.share {
		case "fcfs":
			b.SetLimit(b.Running() + free)
		case "floor":
			b.SetLimit(max(simEngines*simSlots/8, b.Running()+free))
		default:
			b.SetLimit(AttemptLimit(simEngines*simSlots/2, b.Running(), free, 1))
		}
		b.SetMigrationSlots(fast)
		before, migrated := b.Running(), b.Stats.Migrations
		c := b.Next(s.now)
		s.carryOut(t, c)
		fast -= b.Stats.Migrations - migrated
		free = max(0, free-max(0, b.Running()-before))
	}
}

func (s *sim) free(fast bool) int {
	free := 0
	for _, e := range s.engines {
		if e.fast == fast && !s.now.Before(e.downTill) {
			free += e.slots - min(e.slots, e.load())
		}
	}
	return free
}

func (e *simEngine) load() int {
	n := len(e.queue)
	for _, r := range e.running {
		if !r.left {
			n++
		}
	}
	return n
}

func (s *sim) carryOut(t *simTrainer, c Commands) {
	b := t.batch
	for _, n := range c.Cancel {
		if r := s.runs[b][n]; r != nil {
			r.left = true
			s.lastRun[r.id] = r
			delete(s.runs[b], n)
		}
	}
	for _, g := range c.Generate {
		s.place(t, g)
	}
	for _, sc := range c.Score {
		at := s.now.Add(time.Second + time.Duration(s.rng.Intn(2000))*time.Millisecond)
		s.scores = append(s.scores, simScore{batch: b, id: sc.Sample, at: at})
	}
	if s.tableDown() {
		b.DeliveryFailed(c.Deliver)
		return
	}
	s.deliver(t, c.Deliver)
	s.keep(t)
	t.settled = union(t.settled, c.Drop)
	if len(t.settled) == simGroups {
		t.whole = s.now
		s.result.lost += simGroups*simGroupSize - len(t.delivered)
	}
}

func (s *sim) deliver(t *simTrainer, groups []int) {
	for _, sm := range t.batch.DeliverySamples(groups) {
		oldest, _ := sillattribution.Oldest(sm.Spans)
		lag := int(t.version - oldest)
		s.lags = append(s.lags, lag)
		if lag > simBound {
			s.result.over++
		}
		t.delivered[sm.ID]++
		if t.delivered[sm.ID] > 1 {
			s.result.doubled++
		}
	}
	t.batch.DeliveryFormed(groups)
	t.settled = union(t.settled, groups)
}

// keep writes the progress of a batch when it is due. The baseline keeps none.
func (s *sim) keep(t *simTrainer) {
	if s.cfg.policy.RenewAfter <= 0 || s.now.Before(t.progressAt) {
		return
	}
	t.progressAt = s.now.Add(progressInterval)
	t.progress = append(t.progress, t.batch.Progress()...)
}

// place puts a run on the live engine with the fewest runs.
func (s *sim) place(t *simTrainer, g GenerateCommand) {
	var best *simEngine
	for _, e := range s.engines {
		// A target that died a moment ago still looks alive.
		dead := s.now.Before(e.downTill) && s.now.Add(2*time.Minute-simDetect).After(e.downTill)
		if dead || e.fast != (g.ResumeFrom != 0) && s.cfg.lane > 0 {
			continue
		}
		if best == nil || e.load() < best.load() {
			best = e
		}
	}
	r := &simRun{trainer: t, batch: t.batch, attempt: g.Attempt, id: g.Sample, length: simLength(s.cfg.seed, t, g.Sample, s.finishes[g.Sample])}
	if old := s.lastRun[g.Sample]; g.ResumeFrom != 0 && old != nil {
		r.done, r.prior, r.spans = old.done, old.done, old.spans
		s.useful += old.done - old.prior
		t.batch.RecordPartial(g.Sample, Generation{TokenIDs: make([]int, int(old.done)), Spans: old.spans})
	}
	if done := float64(len(g.Prefix.TokenIDs)); g.ResumeFrom == 0 && done > 0 {
		r.done, r.prior, r.spans = done, done, g.Prefix.Spans
		// Another generation of the sample may have drawn a shorter length.
		r.length = math.Max(r.length, done+1)
	}
	s.runs[t.batch][g.Attempt] = r
	best.queue = append(best.queue, r)
}

func (s *sim) summary() simResult {
	r := s.result
	var idle, total, steps time.Duration
	n := 0
	for _, t := range s.trainers {
		idle += t.idle
		total += s.now.Sub(s.start) - t.steps[0]
		// The first step runs without history; it is left out on both sides.
		for _, d := range t.steps[1:] {
			steps += d
			n++
			r.longest = max(r.longest, d)
		}
	}
	r.idle = float64(idle) / float64(total)
	r.stepMean = steps / time.Duration(n)
	r.stepMax = r.longest
	sum := 0
	for _, l := range s.lags {
		sum += l
		r.staleMax = max(r.staleMax, l)
	}
	r.staleMean = float64(sum) / float64(len(s.lags))
	r.duplicate = 1 - s.useful/s.spent
	return r
}
