package sillrollout

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// event is the result of a call that an owner made; one of the fields is set.
type event struct {
	attempt *attemptResult
	score   *scoreResult
	sync    *syncResult
}

type attemptResult struct {
	attempt    AttemptNumber
	generation Generation
	err        error
}

type scoreResult struct {
	sample sillid.SampleID
	score  float64
	err    error
}

// owner executes the commands of one batch.
type owner struct {
	cfg      TaskConfig
	guard    silllease.Guard
	spec     Spec
	deadline time.Time
	batch    *Batch
	scorers  *scorers
	// predictor is shared by the owners of the shard.
	predictor *Predictor
	position  atomic.Pointer[queuePosition]
	cancel    context.CancelFunc
	group     *sillgroup.Group
	events    chan event
	// cancels holds the running attempts, including those cancelled but not yet ended.
	cancels map[AttemptNumber]context.CancelFunc
	// pendingResumes holds the commands that resume from an attempt, by that attempt,
	// until it ends.
	pendingResumes map[AttemptNumber]GenerateCommand
	work           syncWork
	syncing        bool
	syncAt         time.Time
	// progressAt is when the progress is to be stored next.
	progressAt time.Time
	// countedStats are the statistics that the metrics include already.
	countedStats Stats
	done         bool
}

func newOwner(t *Task, guard silllease.Guard, spec Spec, row batchRow) *owner {
	created := time.UnixMilli(row.CreatedAt)
	speed := t.cfg.Load(spec.Model).TokensPerSecond
	return &owner{
		cfg:      t.cfg,
		guard:    guard,
		spec:     spec,
		deadline: created.Add(time.Duration(spec.DeadlineSeconds) * time.Second),
		batch: NewBatch(BatchConfig{
			Spec: spec, CreatedAt: created, Settled: row.Settled,
			Policy: t.cfg.Policy, Predictor: t.predictor, TokensPerSecond: speed,
		}),
		predictor:      t.predictor,
		scorers:        newScorers(len(t.cfg.Scorers)),
		events:         make(chan event),
		cancels:        make(map[AttemptNumber]context.CancelFunc),
		pendingResumes: make(map[AttemptNumber]GenerateCommand),
	}
}

func (o *owner) run(ctx context.Context) {
	o.group = sillgroup.New(ctx)
	defer o.group.Stop()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !o.done && o.guard.MayAct(o.cfg.Ledger.Now()) {
		o.step()
		select {
		case <-ctx.Done():
			return
		case e := <-o.events:
			o.handle(e)
		case <-ticker.C:
		}
	}
}

func (o *owner) send(ctx context.Context, e event) {
	sillgroup.Send(ctx, o.events, e)
}

func (o *owner) step() {
	now := o.cfg.Ledger.Now()
	// Nothing starts before the trainer's version has been read once.
	if o.work.read {
		o.updateLimit()
		o.execute(o.batch.Next(now))
	}
	if !o.syncing && !now.Before(o.syncAt) {
		o.syncing = true
		o.syncAt = now.Add(o.cfg.SyncInterval)
		o.collectProgress(now)
		work := o.work.take()
		o.group.Go(func(ctx context.Context) {
			result := o.sync(ctx, work)
			o.send(ctx, event{sync: &result})
		})
	}
	o.cfg.Metrics.count(&o.countedStats, o.batch.Stats)
}

// collectProgress adds the changed samples to the next sync if progress is due.
func (o *owner) collectProgress(now time.Time) {
	if now.Before(o.progressAt) {
		return
	}
	o.progressAt = now.Add(progressInterval)
	o.work.progress = append(o.work.progress, o.batch.Progress()...)
}

func (o *owner) updateLimit() {
	s := o.position.Load()
	if s == nil {
		return
	}
	load := o.cfg.Load(o.spec.Model)
	floor := SlotFloor(load.Slots, s.weight, s.totalWeight)
	o.batch.SetLimit(AttemptLimit(floor, o.batch.Running(), load.Free, s.rank))
}

func (o *owner) execute(c Commands) {
	for _, g := range c.Generate {
		if _, running := o.cancels[g.ResumeFrom]; running && g.ResumeFrom != 0 {
			o.pendingResumes[g.ResumeFrom] = g
			continue
		}
		o.generate(g, g.Prefix)
	}
	for _, n := range c.Cancel {
		maps.DeleteFunc(o.pendingResumes, func(_ AttemptNumber, g GenerateCommand) bool { return g.Attempt == n })
		if cancel := o.cancels[n]; cancel != nil {
			cancel()
		}
	}
	for _, s := range c.Score {
		o.score(s)
	}
	if len(c.Deliver) > 0 {
		o.work.add(o.batch, c.Deliver)
	}
	o.work.drop = append(o.work.drop, c.Drop...)
	o.work.close = c.Close
}

func (o *owner) generate(g GenerateCommand, partial Generation) {
	request := GenerateRequest{
		Sample:       g.Sample,
		Organisation: o.spec.Organisation,
		Trainer:      o.spec.Trainer,
		Model:        o.spec.Model,
		Prompt:       g.Prompt,
		Prefix:       partial.TokenIDs,
		PrefixSpans:  partial.Spans,
		PrefixText:   partial.Text,
		MaxTokens:    o.spec.MaxTokens,
		Priority:     g.Priority,
		Deadline:     o.deadline,
		AvoidTargets: g.Avoid,
	}
	attemptCtx, cancel := context.WithCancel(o.group.Context())
	o.cancels[g.Attempt] = cancel
	o.group.Go(func(ctx context.Context) {
		generation, err := o.cfg.Generate(attemptCtx, request)
		o.send(ctx, event{attempt: &attemptResult{attempt: g.Attempt, generation: generation, err: err}})
	})
}

func (o *owner) score(s ScoreCommand) {
	i := o.scorers.pick(o.cfg.Ledger.Now())
	o.group.Go(func(ctx context.Context) {
		score, err := o.cfg.Scorers[i](ctx, o.spec, s)
		o.scorers.record(o.cfg.Ledger.Now(), i, err == nil || o.cfg.ScoreRefused(err))
		o.send(ctx, event{score: &scoreResult{sample: s.Sample, score: score, err: err}})
	})
}

func (o *owner) handle(e event) {
	now := o.cfg.Ledger.Now()
	switch {
	case e.attempt != nil:
		o.handleAttemptResult(now, e.attempt)
	case e.score != nil && e.score.err != nil:
		o.batch.ScoreFailed(now, e.score.sample, o.cfg.ScoreRefused(e.score.err))
	case e.score != nil:
		o.batch.ScoreDone(e.score.sample, e.score.score)
	case e.sync != nil:
		o.syncing = false
		o.handleSyncResult(now, e.sync)
	}
}

func (o *owner) handleAttemptResult(now time.Time, r *attemptResult) {
	if cancel := o.cancels[r.attempt]; cancel != nil {
		cancel()
	}
	delete(o.cancels, r.attempt)
	var failure *GenerateError
	_ = errors.As(r.err, &failure)
	if next, ok := o.pendingResumes[r.attempt]; ok {
		delete(o.pendingResumes, r.attempt)
		o.resume(next, r, failure)
		return
	}
	switch {
	case r.err == nil:
		o.batch.GenerationDone(now, r.attempt, r.generation)
	case failure != nil && failure.Reason != "":
		o.batch.GenerationUnattributable(now, r.attempt, failure.Reason)
	case failure != nil:
		o.batch.GenerationFailed(now, r.attempt, failure.Target)
	default:
		o.batch.GenerationFailed(now, r.attempt, "")
	}
}

// resume starts an attempt from the tokens of the attempt that it replaces. Tokens
// that can't be attributed to weight versions are discarded.
func (o *owner) resume(command GenerateCommand, result *attemptResult, failure *GenerateError) {
	if result.err == nil {
		// The attempt finished before the cancellation reached it.
		o.batch.GenerationDone(o.cfg.Ledger.Now(), command.Attempt, result.generation)
		return
	}
	var partial Generation
	switch {
	case failure != nil && failure.Reason != "":
		o.batch.Stats.Unattributable[failure.Reason]++
	case failure != nil:
		partial = failure.Partial
	}
	spans, ok := sillattribution.Join(partial.Spans)
	if !ok || len(spans) == 0 || int(spans[len(spans)-1].To) != len(partial.TokenIDs) {
		partial = Generation{}
	}
	o.batch.RecordPartial(command.Sample, partial)
	if len(partial.TokenIDs) < len(command.Prefix.TokenIDs) {
		partial = command.Prefix
	}
	o.generate(command, partial)
}

func (o *owner) handleSyncResult(now time.Time, s *syncResult) {
	if s.read {
		o.work.read = true
		o.batch.SetTrainerVersion(now, s.version)
	}
	o.batch.DeliveryFormed(s.delivered)
	o.batch.DeliveryFailed(s.undelivered)
	o.work.drop = append(o.work.drop, s.failedDrops...)
	o.work.progress = append(s.unsavedProgress, o.work.progress...)
	if s.settled != nil {
		withdrawn := o.batch.WithdrawnGroups(append(s.settled, o.work.drop...))
		o.batch.ReopenGroups(withdrawn)
		o.cfg.Metrics.countWithdrawn(len(withdrawn))
	}
	o.done = s.retired
	if s.err != nil {
		o.cfg.Logger.Warn("Batch could not be synchronised with the store; retrying.", zap.String("batch", string(o.spec.Batch)), zap.Error(s.err))
	}
}
