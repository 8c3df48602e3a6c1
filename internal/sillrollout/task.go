package sillrollout

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// GenerateRequest requests one generation attempt of a sample.
type GenerateRequest struct {
	Sample       sillid.SampleID
	Organisation sillid.OrganisationID
	Trainer      sillid.TrainerID
	Model        sillid.ModelID
	// Prompt also selects the target by its prefix cache, since the samples of a group
	// share it.
	Prompt string
	// Prefix holds tokens that an earlier attempt generated, PrefixSpans their weight
	// versions.
	Prefix      []int
	PrefixSpans []sillattribution.Span
	// PrefixText is the text of Prefix; the text of the generation starts with it.
	PrefixText string
	// MaxTokens includes the tokens of Prefix.
	MaxTokens    sillid.Tokens
	Priority     int
	Deadline     time.Time
	AvoidTargets []sillid.TargetID
}

// GenerateError is the error of an attempt that produced no complete generation.
type GenerateError struct {
	// Reason is set if the attempt finished or was stopped and its tokens can't be
	// attributed to weight versions.
	Reason sillattribution.Reason
	// Target is the target on which the attempt failed; empty if none was reached.
	Target sillid.TargetID
	// Partial holds the tokens and spans so far of a cancelled attempt; it may be empty.
	Partial Generation
	// Cause is nil if Reason is set.
	Cause error
}

// Error returns the reason or the cause, and the remedy.
func (e *GenerateError) Error() string {
	if e.Reason != "" {
		return "generation can't be attributed (" + string(e.Reason) + "): generate it again"
	}
	if e.Cause != nil {
		return "generation failed: retry on another target: " + e.Cause.Error()
	}
	return "generation failed: retry on another target"
}

// Unwrap returns the cause.
func (e *GenerateError) Unwrap() error { return e.Cause }

// Load is the capacity of a model's targets for rollouts.
type Load struct {
	// Slots is the maximum number of concurrent generations of the targets, Free the
	// number that they can start now.
	Slots, Free int
	// TokensPerSecond is the speed of one generation; 0 stands for
	// defaultTokensPerSecond.
	TokensPerSecond float64
}

// ScoreFunc scores one sample. It adapts sillscorer.Scorer.Score.
type ScoreFunc func(ctx context.Context, spec Spec, command ScoreCommand) (float64, error)

// TaskConfig configures a Task. Its functions must be safe for concurrent use.
type TaskConfig struct {
	Ledger *Ledger
	// Generate runs one attempt to its end. Its errors are of type *GenerateError.
	// Soon after its context is cancelled it returns one with Partial set.
	Generate func(ctx context.Context, request GenerateRequest) (Generation, error)
	// Scorers score samples; each call goes to one of them. At least one is required.
	Scorers []ScoreFunc
	// ScoreRefused reports whether an error of a scorer is final for the sample; nil
	// means never.
	ScoreRefused func(err error) bool
	// Load returns the load of a model's targets.
	Load   func(model sillid.ModelID) Load
	Policy Policy
	// SyncInterval is the time between two syncs of a batch with its rows; 0 stands for
	// defaultSyncInterval.
	SyncInterval time.Duration
	Metrics      *Metrics
	Logger       *zap.Logger
}

const (
	defaultSyncInterval = 2 * time.Second
	tickInterval        = 500 * time.Millisecond
	// deliverySamples is the maximum number of samples of a delivery, unless a single
	// group is larger.
	deliverySamples = 128
	// renewAfter bounds the tokens that a generation loses if its owner fails.
	renewAfter = 30 * time.Second
	// abandonAfter is the time after a batch's deadline at which it is retired even if
	// deliveries are not acknowledged.
	abandonAfter = time.Hour
)

// DefaultPolicy returns the policy in use; docs/design/0005-rollouts.md compares it
// with the alternatives.
func DefaultPolicy() Policy {
	return Policy{LongestFirst: true, HoldPredictedStale: true, Straggler: StragglerLeave, RenewAfter: renewAfter}
}

// Task is the control task that owns the batches of one shard while its process holds
// the shard's lease.
type Task struct {
	cfg       TaskConfig
	shard     int
	predictor *Predictor
}

// NewTask returns the control task of a shard. It starts no goroutine.
func NewTask(cfg TaskConfig, shard int) *Task {
	if cfg.SyncInterval <= 0 {
		cfg.SyncInterval = defaultSyncInterval
	}
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	if cfg.Metrics == nil {
		cfg.Metrics = NewMetrics(nil)
	}
	if cfg.ScoreRefused == nil {
		cfg.ScoreRefused = func(error) bool { return false }
	}
	cfg.Logger = cfg.Logger.Named("rollout")
	return &Task{cfg: cfg, shard: shard, predictor: NewPredictor()}
}

// Run owns the shard's batches until the context ends or the lease may no longer be
// used. The next owner continues from the rows.
func (t *Task) Run(ctx context.Context, guard silllease.Guard) {
	g := sillgroup.New(ctx)
	defer g.Stop()
	owners := make(map[sillid.BatchID]*owner)
	ticker := time.NewTicker(t.cfg.SyncInterval)
	defer ticker.Stop()
	for guard.MayAct(t.cfg.Ledger.Now()) {
		t.refresh(ctx, g, guard, owners)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
	t.cfg.Logger.Info("Lease may no longer be used; stopping the owners of the shard's batches.", zap.Int("shard", t.shard))
}

// openBatch is an open batch of any shard.
type openBatch struct {
	key   string
	batch sillid.BatchID
	row   openRow
}

// refresh starts owners for the shard's new batches, updates the queue position of
// all owners, and stops those whose batch is retired.
func (t *Task) refresh(ctx context.Context, g *sillgroup.Group, guard silllease.Guard, owners map[sillid.BatchID]*owner) {
	rows, err := t.cfg.Ledger.Store.ListAll(ctx, openPrefix)
	if err != nil {
		t.cfg.Logger.Warn("Open batches could not be listed; retrying.", zap.Error(err))
		return
	}
	var all []openBatch
	for _, r := range rows {
		o := openBatch{key: r.Key, batch: sillid.BatchID(r.Key[strings.LastIndexByte(r.Key, '/')+1:])}
		if json.Unmarshal(r.Value, &o.row) == nil {
			all = append(all, o)
		}
	}
	slices.SortStableFunc(all, func(a, b openBatch) int { return cmp.Compare(a.row.CreatedAt, b.row.CreatedAt) })
	listed := make(map[sillid.BatchID]bool)
	for _, o := range all {
		if !strings.HasPrefix(o.key, openShardPrefix(t.shard)) {
			continue
		}
		listed[o.batch] = true
		if owners[o.batch] == nil {
			owners[o.batch] = t.adopt(ctx, g, guard, o.batch)
		}
		if own := owners[o.batch]; own != nil {
			own.position.Store(queuePositionOf(all, o))
		}
	}
	for id, own := range owners {
		if !listed[id] {
			own.cancel()
			delete(owners, id)
		}
	}
}

// queuePosition is a batch's place among the open batches of its model.
type queuePosition struct {
	rank, weight, totalWeight int
}

func queuePositionOf(all []openBatch, own openBatch) *queuePosition {
	s := &queuePosition{weight: own.row.Weight}
	before := true
	for _, o := range all {
		if o.row.Model != own.row.Model {
			continue
		}
		s.totalWeight += max(o.row.Weight, 1)
		if o.key == own.key {
			before = false
		}
		if before {
			s.rank++
		}
	}
	return s
}

// adopt rebuilds a batch from its rows and starts its owner. It returns nil if the
// rows can't be read; refresh then retries.
func (t *Task) adopt(ctx context.Context, g *sillgroup.Group, guard silllease.Guard, id sillid.BatchID) *owner {
	row, _, err := t.cfg.Ledger.batch(ctx, id)
	if err != nil {
		t.cfg.Logger.Warn("Row of a batch could not be read; retrying.", zap.String("batch", string(id)), zap.Error(err))
		return nil
	}
	spec, err := t.cfg.Ledger.spec(ctx, row.Spec)
	if err != nil {
		t.cfg.Logger.Warn("Specification of a batch could not be read; retrying.", zap.String("batch", string(id)), zap.Error(err))
		return nil
	}
	// Without history only the predictions are worse, so an error is only logged.
	past, err := t.cfg.Ledger.loadHistory(ctx, spec.Trainer)
	if err != nil {
		t.cfg.Logger.Warn("History of generation lengths could not be read; predicting without it.", zap.String("batch", string(id)), zap.Error(err))
	}
	t.predictor.restore(past)
	o := newOwner(t, guard, spec, row)
	saved, err := t.cfg.Ledger.loadProgress(ctx, id)
	if err != nil {
		t.cfg.Logger.Warn("Progress of a batch could not be read; its open groups start from the beginning.", zap.String("batch", string(id)), zap.Error(err))
	}
	o.batch.Restore(saved)
	ctx, o.cancel = context.WithCancel(g.Context())
	g.Go(func(context.Context) { o.run(ctx) })
	return o
}
