package sillrollout

import (
	"fmt"
	"math"
	"math/rand"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Parameters of the simulation: 9 engines, and 2 trainers with steps of 2,048 samples.
const (
	simEngines = 9
	// simSlots is the number of concurrent generations of an engine.
	simSlots = 32
	// An iteration of an engine generates one token of each running generation. It
	// takes simIterationSeconds, and simPerSequenceSeconds for each of them.
	simIterationSeconds   = 0.014
	simPerSequenceSeconds = 0.0004
	simGroups             = 128
	simGroupSize          = 16
	simMaxTokens          = 8192
	// simPrompts is the number of different prompts of a trainer.
	simPrompts = 512
	// simHeavyTailShare is the share of the lengths drawn from a heavy tail. Half of
	// them are of hard prompts, whose share of the prompts is simHardPromptShare.
	simHeavyTailShare  = 0.1
	simHardPromptShare = 0.06
	simTick            = 500 * time.Millisecond
	// simBound is the staleness bound in versions.
	simBound = 1
	// simTrainTime is how long a trainer trains on a step.
	simTrainTime       = 300 * time.Second
	simDeadlineSeconds = 1200
	// simSteps is the number of steps of each trainer.
	simSteps = 8
	// simDetectDelay is the time until the failure of a target is detected.
	simDetectDelay = 3 * time.Second
	// simLimit bounds the simulated time.
	simLimit          = 3 * time.Hour
	simScoreFailShare = 0.02
)

// simAttempt is one attempt. Its lengths are in tokens; the engine's progress in a tick may
// end within a token.
type simAttempt struct {
	trainer *simTrainer
	batch   *Batch
	attempt AttemptNumber
	id      sillid.SampleID
	// length is the complete length, done the length so far.
	length float64
	done   float64
	spans  []sillattribution.Span
	// resumedAt is the length that the attempt started with.
	resumedAt float64
	cancelled bool
}

type simEngine struct {
	name      sillid.TargetID
	running   []*simAttempt
	queue     []*simAttempt
	downUntil time.Time
	// swapFailedUntil is when a failed weight swap is repaired; generations that
	// finish before are unattributable. stuck is the version loaded until then.
	swapFailedUntil time.Time
	stuck           sillid.WeightVersion
	// longOnly is true if the engine is reserved for long generations.
	longOnly bool
	slots    int
}

type simTrainer struct {
	index   int
	version sillid.WeightVersion
	step    int
	spec    Spec
	batch   *Batch
	created time.Time
	// completedAt is when all groups of the batch were settled; zero while it is
	// generated.
	completedAt time.Time
	delivered   map[sillid.SampleID]int
	settled     []int
	// progress is the progress that the batch's owner stored, progressAt when it
	// stores more.
	progress    []savedSample
	progressAt  time.Time
	trainEnds   time.Time
	nextPublish time.Time
	training    bool
	// savedHistory holds the lengths stored at the end of the last step.
	savedHistory history
	// idle is the time without a batch to train on.
	idle time.Duration
	// steps holds the duration of each batch.
	steps []time.Duration
}

type simConfig struct {
	policy Policy
	faults bool
	train  time.Duration
	// share selects how the trainers share the slots: fcfs, floor or, if empty, half
	// of the slots for each and half of the free slots beyond.
	share string
	// longEngines is the number of engines reserved for long generations,
	// longEngineSlots the slots of each.
	longEngines, longEngineSlots int
	publish                      time.Duration
	seed                         int64
}

type simResult struct {
	idle, repeatedShare             float64
	staleMean                       float64
	staleMax                        int
	stepMean, stepMax               time.Duration
	overBound, deliveredTwice, lost int
	secondAttempts, migrations      int
	dropped, unattributable         int
	longest                         time.Duration
}

// sim simulates trainers, owners and engines in steps of simTick.
type sim struct {
	cfg         simConfig
	rng         *rand.Rand
	now         time.Time
	start       time.Time
	engines     []*simEngine
	trainers    []*simTrainer
	predictor   []*Predictor
	attempts    map[*Batch]map[AttemptNumber]*simAttempt
	lastAttempt map[sillid.SampleID]*simAttempt
	scores      []simScore
	// lags holds the staleness of each delivered sample, in versions.
	lags []int
	// finishes counts the completed generations of each sample.
	finishes map[sillid.SampleID]int
	// useful counts the tokens that became part of a result, spent all generated ones.
	useful float64
	spent  float64
	result simResult
}

type simScore struct {
	batch *Batch
	id    sillid.SampleID
	at    time.Time
}

func newSim(cfg simConfig) *sim {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewSource(cfg.seed)), start: time.Unix(0, 0), now: time.Unix(0, 0)}
	s.attempts = make(map[*Batch]map[AttemptNumber]*simAttempt)
	s.finishes = make(map[sillid.SampleID]int)
	s.lastAttempt = make(map[sillid.SampleID]*simAttempt)
	for i := range simEngines {
		e := &simEngine{name: sillid.TargetID(fmt.Sprintf("e%d", i)), slots: simSlots}
		if i < cfg.longEngines {
			e.longOnly, e.slots = true, cfg.longEngineSlots
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

// simLength draws the length of a sample. It depends only on the seed, the sample and
// the number of its earlier completed generations, so that it is the same under every
// policy.
func simLength(seed int64, t *simTrainer, id sillid.SampleID, earlier int) float64 {
	prompt := (t.step*simGroups + id.Group) % simPrompts
	r := rand.New(rand.NewSource(seed<<56 | int64(earlier)<<48 | int64(t.index)<<40 | int64(t.step)<<24 | int64(id.Group)<<8 | int64(id.Index)))
	hard := prompt%100 < int(simHardPromptShare*100)
	share := simHeavyTailShare / 2 / (1 - simHardPromptShare)
	if hard {
		share = simHeavyTailShare / 2 / simHardPromptShare
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
		DeadlineSeconds: simDeadlineSeconds, Partial: PartialDrop, StalenessBound: simBound, Weight: 1,
	}
	for g := range simGroups {
		spec.Prompts = append(spec.Prompts, fmt.Sprintf("prompt %d", (t.step*simGroups+g)%simPrompts))
	}
	t.spec, t.created, t.settled, t.batch, t.progress = spec, s.now, nil, nil, nil
	t.delivered = make(map[sillid.SampleID]int)
	s.rebuild(t)
}

// rebuild starts an owner from the stored state: the spec, the settled groups and the
// progress.
func (s *sim) rebuild(t *simTrainer) {
	if t.batch != nil {
		for _, r := range s.attempts[t.batch] {
			r.cancelled = true
		}
		s.result.add(t.batch.Stats)
		// The next owner has only the lengths that were stored at the end of the last step.
		s.predictor[t.index] = NewPredictor()
		s.predictor[t.index].restore(t.savedHistory)
	}
	t.batch = NewBatch(BatchConfig{
		Spec: t.spec, CreatedAt: t.created, Settled: t.settled, Policy: s.cfg.policy,
		Predictor: s.predictor[t.index], TokensPerSecond: 1 / (simIterationSeconds + simPerSequenceSeconds*simSlots),
	})
	t.batch.SetTrainerVersion(s.now, t.version)
	t.batch.Restore(t.progress)
	t.progressAt = s.now.Add(progressInterval)
	s.attempts[t.batch] = make(map[AttemptNumber]*simAttempt)
}

func (r *simResult) add(st Stats) {
	r.secondAttempts += st.SecondAttempts
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
			s.injectFault()
		}
		s.generate()
		s.score()
		for _, t := range s.trainers {
			s.train(t)
		}
		s.scheduleBatches()
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

// injectFault stops a target for two minutes, fails a weight swap, and replaces the owner
// of a batch, each at its time. tableDown makes the table unavailable for a minute.
func (s *sim) injectFault() {
	switch at := s.now.Sub(s.start); at {
	case 400 * time.Second:
		e := s.engines[2]
		e.downUntil = s.now.Add(2 * time.Minute)
	case 700 * time.Second:
		e := s.engines[5]
		e.swapFailedUntil, e.stuck = s.now.Add(20*time.Second), 0
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
		if s.now.Before(e.downUntil) {
			s.crash(e)
			continue
		}
		s.admit(e)
		speed := 1 / (simIterationSeconds + simPerSequenceSeconds*float64(len(e.running)))
		var remaining []*simAttempt
		for _, r := range e.running {
			if r.cancelled {
				continue
			}
			step := math.Min(speed*simTick.Seconds(), r.length-r.done)
			s.spent += step
			r.produce(step)
			if r.done < r.length {
				remaining = append(remaining, r)
				continue
			}
			s.finish(e, r)
		}
		e.running = remaining
	}
}

func (r *simAttempt) produce(step float64) {
	from, to := sillid.Tokens(r.done), sillid.Tokens(r.done+step)
	r.done += step
	if to == from {
		return
	}
	spans, _ := sillattribution.Join(r.spans, []sillattribution.Span{{From: from, To: to, Version: r.trainer.version}})
	r.spans = spans
}

func (s *sim) finish(e *simEngine, r *simAttempt) {
	delete(s.attempts[r.batch], r.attempt)
	if s.now.Before(e.swapFailedUntil) {
		r.batch.GenerationUnattributable(s.now, r.attempt, sillattribution.SwapUnsettled)
		return
	}
	s.finishes[r.id]++
	s.useful += r.length - r.resumedAt
	r.batch.GenerationDone(s.now, r.attempt, Generation{TokenIDs: make([]int, int(r.length)), Spans: r.spans, Target: e.name})
}

func (s *sim) crash(e *simEngine) {
	if s.now.Add(2*time.Minute - simDetectDelay).Before(e.downUntil) {
		return
	}
	for _, r := range append(e.running, e.queue...) {
		if !r.cancelled {
			delete(s.attempts[r.batch], r.attempt)
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
	var remaining []simScore
	for _, sc := range s.scores {
		switch {
		case s.now.Before(sc.at):
			remaining = append(remaining, sc)
		case s.rng.Float64() < simScoreFailShare:
			sc.batch.ScoreFailed(s.now, sc.id, false)
		default:
			sc.batch.ScoreDone(sc.id, 0.5)
		}
	}
	s.scores = remaining
}

// train advances a trainer. It trains on a complete step while the batch of the next
// one is generated, and publishes versions while it trains.
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
	if t.completedAt.IsZero() {
		// The trainer can't train while the first batch is generated, whatever the
		// policy, so this time doesn't count as idle.
		if t.step > 0 {
			t.idle += simTick
		}
		return
	}
	t.savedHistory = s.predictor[t.index].history("m")
	t.steps = append(t.steps, t.completedAt.Sub(t.created))
	s.result.add(t.batch.Stats)
	t.training, t.completedAt = true, time.Time{}
	t.trainEnds, t.nextPublish = s.now.Add(s.cfg.train), s.now.Add(s.cfg.publish)
	t.step++
	s.submit(t)
}

func (s *sim) scheduleBatches() {
	free, freeLong := s.free(false), s.free(true)
	order := s.trainers
	if s.cfg.share != "" && s.trainers[1].created.Before(s.trainers[0].created) {
		order = []*simTrainer{s.trainers[1], s.trainers[0]}
	}
	for _, t := range order {
		if !t.completedAt.IsZero() || len(t.settled) == simGroups {
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
		b.SetMigrationSlots(freeLong)
		before, migrated := b.Running(), b.Stats.Migrations
		c := b.Next(s.now)
		s.execute(t, c)
		freeLong -= b.Stats.Migrations - migrated
		free = max(0, free-max(0, b.Running()-before))
	}
}

func (s *sim) free(longOnly bool) int {
	free := 0
	for _, e := range s.engines {
		if e.longOnly == longOnly && !s.now.Before(e.downUntil) {
			free += e.slots - min(e.slots, e.load())
		}
	}
	return free
}

func (e *simEngine) load() int {
	n := len(e.queue)
	for _, r := range e.running {
		if !r.cancelled {
			n++
		}
	}
	return n
}

func (s *sim) execute(t *simTrainer, c Commands) {
	b := t.batch
	for _, n := range c.Cancel {
		if r := s.attempts[b][n]; r != nil {
			r.cancelled = true
			s.lastAttempt[r.id] = r
			delete(s.attempts[b], n)
		}
	}
	for _, g := range c.Generate {
		s.placeOnEngine(t, g)
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
	s.saveProgress(t)
	t.settled = union(t.settled, c.Drop)
	if len(t.settled) == simGroups {
		t.completedAt = s.now
		s.result.lost += simGroups*simGroupSize - len(t.delivered)
	}
}

func (s *sim) deliver(t *simTrainer, groups []int) {
	for _, sm := range t.batch.DeliverySamples(groups) {
		oldest, _ := sillattribution.Oldest(sm.Spans)
		lag := int(t.version - oldest)
		s.lags = append(s.lags, lag)
		if lag > simBound {
			s.result.overBound++
		}
		t.delivered[sm.ID]++
		if t.delivered[sm.ID] > 1 {
			s.result.deliveredTwice++
		}
	}
	t.batch.DeliveryFormed(groups)
	t.settled = union(t.settled, groups)
}

// saveProgress stores the progress of a batch when it is due. The baseline stores none.
func (s *sim) saveProgress(t *simTrainer) {
	if s.cfg.policy.RenewAfter <= 0 || s.now.Before(t.progressAt) {
		return
	}
	t.progressAt = s.now.Add(progressInterval)
	t.progress = append(t.progress, t.batch.Progress()...)
}

// placeOnEngine queues an attempt on the running engine with the fewest attempts.
func (s *sim) placeOnEngine(t *simTrainer, g GenerateCommand) {
	var best *simEngine
	for _, e := range s.engines {
		// A target that failed less than simDetectDelay ago still counts as running.
		dead := s.now.Before(e.downUntil) && s.now.Add(2*time.Minute-simDetectDelay).After(e.downUntil)
		if dead || e.longOnly != (g.ResumeFrom != 0) && s.cfg.longEngines > 0 {
			continue
		}
		if best == nil || e.load() < best.load() {
			best = e
		}
	}
	r := &simAttempt{trainer: t, batch: t.batch, attempt: g.Attempt, id: g.Sample, length: simLength(s.cfg.seed, t, g.Sample, s.finishes[g.Sample])}
	if old := s.lastAttempt[g.Sample]; g.ResumeFrom != 0 && old != nil {
		r.done, r.resumedAt, r.spans = old.done, old.done, old.spans
		s.useful += old.done - old.resumedAt
		t.batch.RecordPartial(g.Sample, Generation{TokenIDs: make([]int, int(old.done)), Spans: old.spans})
	}
	if done := float64(len(g.Prefix.TokenIDs)); g.ResumeFrom == 0 && done > 0 {
		r.done, r.resumedAt, r.spans = done, done, g.Prefix.Spans
		// The length drawn for this attempt may be shorter than the tokens it resumes from.
		r.length = math.Max(r.length, done+1)
	}
	s.attempts[t.batch][g.Attempt] = r
	best.queue = append(best.queue, r)
}

func (s *sim) summary() simResult {
	r := s.result
	var idle, total, steps time.Duration
	n := 0
	for _, t := range s.trainers {
		idle += t.idle
		total += s.now.Sub(s.start) - t.steps[0]
		// The first step has no history of lengths, so it is excluded under every policy.
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
	r.repeatedShare = 1 - s.useful/s.spent
	return r
}
