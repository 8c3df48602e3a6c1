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

// GenerateRequest asks for one run of a sample.
type GenerateRequest struct {
	Sample       sillid.SampleID
	Organisation sillid.OrganisationID
	Trainer      sillid.TrainerID
	Model        sillid.ModelID
	// Prompt is also the hint for the prefix cache: the members of a group share it.
	Prompt string
	// Prefix are tokens that an earlier run generated, and PrefixSpans their versions.
	Prefix      []int
	PrefixSpans []sillattribution.Span
	// PrefixText is the text of Prefix; the generation's text goes on after it.
	PrefixText string
	// MaxTokens counts the prefix.
	MaxTokens    sillid.Tokens
	Priority     int
	Deadline     time.Time
	AvoidTargets []sillid.TargetID
}

// GenerateError tells why a run gave no sample.
type GenerateError struct {
	// Reason is set if the run finished or was stopped and its versions can't be named.
	Reason sillattribution.Reason
	// Target is the target that failed the run; empty if none was reached.
	Target sillid.TargetID
	// Partial holds the tokens and spans so far of a cancelled run; it may be empty.
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

// Load is the state of a model's targets for rollouts.
type Load struct {
	// Slots is the number of generations that the targets run at once, Free how many more they can take now.
	Slots, Free int
	// TokensPerSecond is the speed of one generation.
	TokensPerSecond float64
}

// ScoreFunc scores one sample; sillscorer.Scorer.Score is wrapped to it.
type ScoreFunc func(ctx context.Context, spec Spec, command ScoreCommand) (float64, error)

// TaskConfig holds what the owner of a shard needs. Its functions are safe for concurrent use.
type TaskConfig struct {
	Ledger *Ledger
	// Generate runs one sample to its end. It returns a *GenerateError, and one
	// with Partial soon after its context is cancelled.
	Generate func(ctx context.Context, request GenerateRequest) (Generation, error)
	// Scorers score samples, one call to one of them; at least one.
	Scorers []ScoreFunc
	// ScoreRefused returns whether an error of a scorer is final for the sample; nil means never.
	ScoreRefused func(err error) bool
	// Load returns the load of a model's targets.
	Load   func(model sillid.ModelID) Load
	Policy Policy
	// SyncInterval is the time between two looks at a batch's rows; 0 stands for defaultSyncInterval.
	SyncInterval time.Duration
	Metrics      *Metrics
	Logger       *zap.Logger
}

const (
	defaultSyncInterval = 2 * time.Second
	tickInterval        = 500 * time.Millisecond
	// deliverySamples bounds the samples of a delivery unless one group is larger.
	deliverySamples = 128
	// renewAfter bounds the tokens that the death of an owner costs a generation.
	renewAfter = 30 * time.Second
	// abandonAfter is how long after its deadline a batch waits for acknowledgements.
	abandonAfter = time.Hour
)

// DefaultPolicy is the policy that measured best; docs/design/0005-rollouts.md holds the figures.
func DefaultPolicy() Policy {
	return Policy{LongestFirst: true, HoldPredictedStale: true, Straggler: StragglerLeave, RenewAfter: renewAfter}
}

// Task owns the batches of one shard while its lease lasts.
type Task struct {
	cfg       TaskConfig
	shard     int
	predictor *Predictor
}

// NewTask returns the owner of a shard. It starts nothing.
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

// Run owns the shard's batches until the context ends or the lease may no longer
// be used. All that it leaves behind is in the rows.
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
	t.cfg.Logger.Info("lease may no longer be used", zap.Int("shard", t.shard))
}

// openBatch is an open batch of any shard.
type openBatch struct {
	key   string
	batch sillid.BatchID
	row   openRow
}

// refresh starts owners for the shard's new batches and tells all of them their rank.
func (t *Task) refresh(ctx context.Context, g *sillgroup.Group, guard silllease.Guard, owners map[sillid.BatchID]*owner) {
	rows, err := t.cfg.Ledger.Store.ListAll(ctx, openPrefix)
	if err != nil {
		t.cfg.Logger.Warn("list of batches unavailable", zap.Error(err))
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
			own.standing.Store(standingOf(all, o))
		}
	}
	for id, own := range owners {
		if !listed[id] {
			own.cancel()
			delete(owners, id)
		}
	}
}

// standing is a batch's place among the open batches of its model.
type standing struct {
	rank, weight, totalWeight int
}

func standingOf(all []openBatch, own openBatch) *standing {
	s := &standing{weight: own.row.Weight}
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

// adopt rebuilds a batch from its rows and starts its owner; nil if that fails for now.
func (t *Task) adopt(ctx context.Context, g *sillgroup.Group, guard silllease.Guard, id sillid.BatchID) *owner {
	row, _, err := t.cfg.Ledger.batch(ctx, id)
	if err != nil {
		t.cfg.Logger.Warn("batch unavailable", zap.String("batch", string(id)), zap.Error(err))
		return nil
	}
	spec, err := t.cfg.Ledger.spec(ctx, row.Spec)
	if err != nil {
		t.cfg.Logger.Warn("batch's content unavailable", zap.String("batch", string(id)), zap.Error(err))
		return nil
	}
	// Predictions without history are worse, not wrong, so an error only counts in the log.
	past, err := t.cfg.Ledger.loadHistory(ctx, spec.Trainer)
	if err != nil {
		t.cfg.Logger.Warn("history of lengths unavailable", zap.String("batch", string(id)), zap.Error(err))
	}
	t.predictor.restore(past)
	o := newOwner(t, guard, spec, row)
	kept, err := t.cfg.Ledger.loadProgress(ctx, id)
	if err != nil {
		t.cfg.Logger.Warn("progress unavailable", zap.String("batch", string(id)), zap.Error(err))
	}
	o.batch.Restore(kept)
	ctx, o.cancel = context.WithCancel(g.Context())
	g.Go(func(context.Context) { o.run(ctx) })
	return o
}
