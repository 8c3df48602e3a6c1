package sillrollout

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// StragglerPolicy tells what is done about the last samples of a group.
type StragglerPolicy string

// The ways to treat stragglers.
const (
	// StragglerLeave leaves them where they run.
	StragglerLeave StragglerPolicy = "leave"
	// StragglerSecondAttempt runs the sample a second time on another target and keeps the first to finish.
	StragglerSecondAttempt StragglerPolicy = "second-run"
	// StragglerMigrate stops the run and resumes it, after the tokens it has, on a
	// target that is kept for long generations and runs fewer of them at once.
	StragglerMigrate StragglerPolicy = "migrate"
)

// Policy holds the choices of a Batch.
type Policy struct {
	// LongestFirst starts the groups with the longest predicted samples first;
	// otherwise groups start in their order.
	LongestFirst bool
	// HoldPredictedStale holds samples back that are predicted to be over the staleness
	// bound when they finish.
	HoldPredictedStale bool
	// RenewAfter is how long a run goes on before it is stopped and resumed, so
	// that its tokens so far can be kept; 0 stands for never.
	RenewAfter time.Duration
	Straggler  StragglerPolicy
}

// Priorities of generations; lower runs first.
const (
	PriorityUrgent = -1
	PriorityNormal = 0
)

// Limits of one sample's retries and the times between them.
const (
	firstBackoff     = time.Second
	maxBackoff       = 30 * time.Second
	maxScoreAttempts = 8
	maxAvoided       = 3
)

// AttemptNumber names one run of a sample within its batch's owner.
type AttemptNumber int

// BatchConfig holds what a Batch starts from.
type BatchConfig struct {
	Spec      Spec
	CreatedAt time.Time
	// Settled are the groups that are delivered or dropped already.
	Settled []int
	Policy  Policy
	// Predictor is shared by the batches of one owner.
	Predictor *Predictor
	// TokensPerSecond is the speed of one generation, for predicted finishes; 0
	// stands for defaultTokensPerSecond.
	TokensPerSecond float64
}

const defaultTokensPerSecond = 30

// Generation is the result of one finished run.
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
	urgent  bool
}

type sample struct {
	state     sampleState
	attempts  []attempt
	notBefore time.Time
	failures  int
	// scoreAt is when the next score call is due; zero while one runs.
	scoreAt       time.Time
	scoreFailures int
	avoid         []sillid.TargetID
	generation    Generation
	// partial holds tokens of a run that was stopped; the next run goes on after them.
	partial Generation
	// unkept is true if Progress has not returned the sample as it is.
	unkept bool
	score  float64
	// repeated is true once the sample was given back to be generated again.
	repeated bool
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
	// waiting, whole and lost count the samples in these states.
	waiting, whole, lost int
}

// Stats counts what happened to a batch's samples.
type Stats struct {
	Started, Finished, Failed, SecondAttempts, Migrations, Renewed int
	OverBound, ScoreFailed, Dropped, Late, HeldBack                int
	Unattributable                                                 map[sillattribution.Reason]int
}

// Batch decides about the samples of one batch. Its methods take events and the
// time; Next returns the commands that are due. It is not safe for concurrent use.
type Batch struct {
	cfg      BatchConfig
	deadline time.Time
	groups   []group
	// version is the trainer's current version.
	version sillid.WeightVersion
	// limit bounds the running attempts, fast the migrations to fast targets.
	limit   int
	fast    int
	running int
	next    AttemptNumber
	// where finds the sample of a running attempt.
	where map[AttemptNumber]sillid.SampleID
	Stats Stats
}

// NewBatch returns the batch as its rows describe it.
func NewBatch(cfg BatchConfig) *Batch {
	if cfg.TokensPerSecond <= 0 {
		cfg.TokensPerSecond = defaultTokensPerSecond
	}
	b := &Batch{
		cfg:      cfg,
		deadline: cfg.CreatedAt.Add(time.Duration(cfg.Spec.DeadlineSeconds) * time.Second),
		groups:   make([]group, len(cfg.Spec.Prompts)),
		where:    make(map[AttemptNumber]sillid.SampleID),
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

// SetLimit sets how many attempts may run at once.
func (b *Batch) SetLimit(limit int) { b.limit = limit }

// SetMigrationSlots sets how many more attempts the targets kept for long generations can take.
func (b *Batch) SetMigrationSlots(free int) { b.fast = free }

// SetTrainerVersion tells the trainer's current version.
func (b *Batch) SetTrainerVersion(now time.Time, version sillid.WeightVersion) {
	b.version = max(b.version, version)
	b.cfg.Predictor.moved(now, b.cfg.Spec.Model, version)
}

func (b *Batch) sample(id sillid.SampleID) *sample { return &b.groups[id.Group].samples[id.Index] }
