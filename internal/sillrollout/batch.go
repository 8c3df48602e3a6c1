package sillrollout

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// StragglerPolicy selects what happens to the samples of a group that run much
// longer than predicted.
type StragglerPolicy string

// The straggler policies.
const (
	// StragglerLeave lets stragglers run on.
	StragglerLeave StragglerPolicy = "leave"
	// StragglerSecondAttempt starts a second attempt on another target and keeps
	// the result of the first to finish.
	StragglerSecondAttempt StragglerPolicy = "second-run"
	// StragglerMigrate cancels the attempt and resumes it from its tokens so far on
	// a target reserved for long generations, which runs fewer of them at once.
	StragglerMigrate StragglerPolicy = "migrate"
)

// Policy selects how a Batch schedules its samples.
type Policy struct {
	// LongestFirst starts the groups with the longest predicted samples first;
	// otherwise groups start in the order of their prompts.
	LongestFirst bool
	// HoldPredictedStale holds back samples that are predicted to exceed the
	// staleness bound by the time they finish.
	HoldPredictedStale bool
	// RenewAfter is how long an attempt runs before it is stopped and resumed, so
	// that its tokens so far can be stored; 0 means never.
	RenewAfter time.Duration
	Straggler  StragglerPolicy
}

// Priorities of generations; lower values run first.
const (
	PriorityUrgent = -1
	PriorityNormal = 0
)

// Limits and backoff of one sample's retries.
const (
	firstBackoff     = time.Second
	maxBackoff       = 30 * time.Second
	maxScoreAttempts = 8
	// maxAvoided is the number of latest failed targets that a retry avoids.
	maxAvoided = 3
)

// AttemptNumber identifies one generation attempt within a Batch. It counts from
// 1; 0 stands for no attempt.
type AttemptNumber int

// BatchConfig configures a Batch.
type BatchConfig struct {
	Spec      Spec
	CreatedAt time.Time
	// Settled lists the groups that are delivered or dropped already.
	Settled []int
	Policy  Policy
	// Predictor is shared by the batches of one owner.
	Predictor *Predictor
	// TokensPerSecond is the speed of one generation, used to predict when it
	// finishes; 0 stands for defaultTokensPerSecond.
	TokensPerSecond float64
}

const defaultTokensPerSecond = 30

// Generation is the output of one attempt.
type Generation struct {
	Text         string
	TokenIDs     []int
	Spans        []sillattribution.Span
	FinishReason string
	Target       sillid.TargetID
}

type sampleState int

const (
	waiting sampleState = iota
	generating
	scoring
	scored
	unscorable
)

type attempt struct {
	number  AttemptNumber
	started time.Time
	resumed bool
}

type sample struct {
	state     sampleState
	attempts  []attempt
	notBefore time.Time
	failures  int
	// scoreAt is when the next score call is due; zero while one is in flight.
	scoreAt       time.Time
	scoreFailures int
	avoid         []sillid.TargetID
	generation    Generation
	// partial holds the tokens of a stopped attempt; the next attempt resumes from them.
	partial Generation
	// unsaved is true if the sample changed since Progress last returned it.
	unsaved bool
	score   float64
	// requeued is true once the sample has to be generated again.
	requeued bool
}

type groupState int

const (
	open groupState = iota
	delivering
	settled
)

type group struct {
	state   groupState
	samples []sample
	hash    uint64
	// waiting, complete and unscorable count the samples that are waiting, scored
	// and unscorable.
	waiting, complete, unscorable int
}

// Stats counts what happened to a batch's samples. Late counts attempts that
// finished after they were cancelled; HeldBack counts groups that a call of Next
// did not start because their samples were predicted to be stale.
type Stats struct {
	Started, Finished, Failed, SecondAttempts, Migrations, Renewed int
	OverBound, ScoreFailed, Dropped, Late, HeldBack                int
	Unattributable                                                 map[sillattribution.Reason]int
}

// Batch schedules the samples of one batch. Its methods record events; Next
// returns the commands that are due. It does no I/O and reads no clock. It is not
// safe for concurrent use.
type Batch struct {
	cfg      BatchConfig
	deadline time.Time
	groups   []group
	// version is the trainer's current version.
	version sillid.WeightVersion
	// limit bounds the running attempts.
	limit int
	// migrationSlots bounds the migrations to targets reserved for long generations.
	migrationSlots int
	running        int
	lastAttempt    AttemptNumber
	// sampleOf maps each running attempt to its sample.
	sampleOf map[AttemptNumber]sillid.SampleID
	Stats    Stats
}

// NewBatch returns a batch with every group open that is not in cfg.Settled.
func NewBatch(cfg BatchConfig) *Batch {
	if cfg.TokensPerSecond <= 0 {
		cfg.TokensPerSecond = defaultTokensPerSecond
	}
	b := &Batch{
		cfg:      cfg,
		deadline: cfg.CreatedAt.Add(time.Duration(cfg.Spec.DeadlineSeconds) * time.Second),
		groups:   make([]group, len(cfg.Spec.Prompts)),
		sampleOf: make(map[AttemptNumber]sillid.SampleID),
	}
	b.Stats.Unattributable = make(map[sillattribution.Reason]int)
	for i := range b.groups {
		b.groups[i] = b.newGroup(i)
	}
	for _, g := range cfg.Settled {
		b.groups[g].state = settled
	}
	return b
}

func (b *Batch) newGroup(i int) group {
	n := b.cfg.Spec.GroupSize
	return group{
		samples: make([]sample, n),
		hash:    promptHash(b.cfg.Spec.Model, b.cfg.Spec.Prompts[i]),
		waiting: n,
	}
}

// SetLimit sets the maximum number of running attempts.
func (b *Batch) SetLimit(limit int) { b.limit = limit }

// SetMigrationSlots sets how many more attempts the targets reserved for long
// generations can take.
func (b *Batch) SetMigrationSlots(free int) { b.migrationSlots = free }

// SetTrainerVersion records the trainer's current version. A version lower than
// one recorded before is ignored.
func (b *Batch) SetTrainerVersion(now time.Time, version sillid.WeightVersion) {
	b.version = max(b.version, version)
	b.cfg.Predictor.observeVersion(now, b.cfg.Spec.Model, version)
}

func (b *Batch) sample(id sillid.SampleID) *sample { return &b.groups[id.Group].samples[id.Index] }
