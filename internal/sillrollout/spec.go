package sillrollout

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// PartialGroupPolicy tells what becomes of a group that isn't whole at the deadline.
type PartialGroupPolicy string

const (
	// PartialDrop drops the finished samples of a group that isn't whole.
	PartialDrop PartialGroupPolicy = "drop"
	// PartialDeliver delivers the finished samples of a group that isn't whole.
	PartialDeliver PartialGroupPolicy = "deliver"
)

// Spec is what a trainer asks for. It never changes once created.
type Spec struct {
	Batch        sillid.BatchID        `json:"batch-id"`
	Trainer      sillid.TrainerID      `json:"trainer"`
	Organisation sillid.OrganisationID `json:"organisation"`
	Model        sillid.ModelID        `json:"model"`
	// Prompts holds one prompt for each group; at least one.
	Prompts []string `json:"prompts"`
	// GroupSize is the number of samples of each group; at least 1.
	GroupSize int           `json:"group-size"`
	MaxTokens sillid.Tokens `json:"max-tokens"`
	// DeadlineSeconds counts from the creation of the batch.
	DeadlineSeconds int                `json:"deadline-seconds"`
	Partial         PartialGroupPolicy `json:"partial"`
	// StalenessBound is the number of versions that a sample may lag behind the trainer.
	StalenessBound int `json:"staleness-bound"`
	// Weight is the trainer's share of the capacity; at least 1.
	Weight int `json:"weight"`
}

// Sample is one scored generation as the trainer gets it.
type Sample struct {
	ID           sillid.SampleID        `json:"sample-id"`
	Prompt       string                 `json:"prompt"`
	Text         string                 `json:"text"`
	TokenIDs     []int                  `json:"token-ids"`
	Score        float64                `json:"score"`
	Spans        []sillattribution.Span `json:"weight-spans"`
	FinishReason string                 `json:"finish-reason"`
}

// DeliveryID names one delivery of a batch.
type DeliveryID string

// DeliveryState is the state of a delivery row. It moves from formed to given
// and acked, or from formed to withdrawn; never back.
type DeliveryState string

const (
	// Formed deliveries have left no process yet.
	Formed DeliveryState = "formed"
	// Given deliveries may have reached the trainer and repeat the same bytes.
	Given DeliveryState = "given"
	// Acked deliveries reached the trainer.
	Acked DeliveryState = "acked"
	// Withdrawn deliveries grew too old before they were given; their samples are generated again.
	Withdrawn DeliveryState = "withdrawn"
)

// BatchState is the state of a batch row.
type BatchState string

const (
	// Active batches have groups that are neither delivered nor dropped.
	Active BatchState = "active"
	// Closed batches form no further delivery unless one is withdrawn.
	Closed BatchState = "closed"
)

// batchRow is the value of the row batch/BATCH. It alone decides which groups are delivered.
type batchRow struct {
	Organisation sillid.OrganisationID `json:"organisation"`
	Trainer      sillid.TrainerID      `json:"trainer"`
	// Spec names the object that holds the Spec.
	Spec string `json:"spec"`
	// CreatedAt is in Unix milliseconds.
	CreatedAt int64      `json:"created-at"`
	State     BatchState `json:"state"`
	// Deliveries is the number of deliveries formed so far.
	Deliveries int `json:"deliveries"`
	// Settled holds the groups that are delivered or dropped, in rising order.
	Settled []int `json:"settled"`
}

// deliveryRow is the value of the row batch/BATCH/delivery/N.
type deliveryRow struct {
	Delivery DeliveryID `json:"delivery-id"`
	// Object holds the encoded samples.
	Object string        `json:"object"`
	State  DeliveryState `json:"state"`
	Groups []int         `json:"groups"`
	// Samples is the number of samples in the object.
	Samples int `json:"samples"`
	// Oldest is the lowest version among the samples' spans.
	Oldest sillid.WeightVersion `json:"oldest-version"`
}

type weightsRow struct {
	Version sillid.WeightVersion `json:"version"`
}

type openRow struct {
	Trainer sillid.TrainerID `json:"trainer"`
	Model   sillid.ModelID   `json:"model"`
	Weight  int              `json:"weight"`
	// CreatedAt is in Unix milliseconds; older batches go first.
	CreatedAt int64 `json:"created-at"`
}

// Shards is the number of owner leases; trainers are spread over them by name.
const Shards = 32

// Shard returns the shard that owns a trainer's batches. They share one owner,
// so that the lengths of earlier steps serve the predictions of the next.
func Shard(trainer sillid.TrainerID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(trainer))
	return int(h.Sum32() % Shards)
}

// LeaseName returns the name of the lease of a shard's owner.
func LeaseName(shard int) string {
	return fmt.Sprintf("rollout/%02d", shard)
}

const openPrefix = "rollout-open/"

func batchKey(batch sillid.BatchID) string { return "batch/" + string(batch) }

func openShardPrefix(shard int) string { return fmt.Sprintf("%s%02d/", openPrefix, shard) }

func openKey(trainer sillid.TrainerID, batch sillid.BatchID) string {
	return openShardPrefix(Shard(trainer)) + string(batch)
}

func deliveryPrefix(batch sillid.BatchID) string { return batchKey(batch) + "/delivery/" }

func deliveryKey(batch sillid.BatchID, n int) string {
	return fmt.Sprintf("%s%06d", deliveryPrefix(batch), n)
}

func weightsKey(model sillid.ModelID) string { return "weights/" + string(model) }

func contentName(prefix string, content []byte) string {
	sum := sha256.Sum256(content)
	return prefix + hex.EncodeToString(sum[:])
}

// ErrBatchIDTaken is returned if a batch of the same name has other content.
var ErrBatchIDTaken = errors.New("batch-id is taken by other content: use a fresh batch-id")

// ErrUnknownBatch is returned for a batch that does not exist for the organisation.
var ErrUnknownBatch = errors.New("no such batch: create it first, with the same organisation's key")

// Objects is the object store. A put of an existing name with the same content succeeds.
type Objects struct {
	PutNew func(ctx context.Context, name string, content []byte) error
	Get    func(ctx context.Context, name string) ([]byte, error)
}

// Ledger keeps batches and deliveries in the table and the object store. Every
// gateway has one; its methods are safe for concurrent use.
type Ledger struct {
	Store   *silltable.Store
	Objects Objects
	Now     func() time.Time
}

// Create makes a batch. A batch of the same name and content is left as it is.
// Errors: ErrBatchIDTaken, silltable.ErrUnavailable.
func (l *Ledger) Create(ctx context.Context, spec Spec) error {
	content, err := json.Marshal(spec)
	if err != nil {
		return eris.Wrap(err, "sillrollout.Create: encode")
	}
	name := contentName("rollout-spec/", content)
	if done, err := l.created(ctx, spec, name); done || err != nil {
		return err
	}
	if err := l.Objects.PutNew(ctx, name, content); err != nil {
		return eris.Wrap(err, "sillrollout.Create: object")
	}
	row := batchRow{
		Organisation: spec.Organisation,
		Trainer:      spec.Trainer,
		Spec:         name,
		CreatedAt:    l.Now().UnixMilli(),
		State:        Active,
	}
	_, err = l.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: batchKey(spec.Batch), Revision: silltable.Absent}},
		Writes: []silltable.Write{
			{Key: batchKey(spec.Batch), Value: encode(row)},
			{Key: openKey(spec.Trainer, spec.Batch), Value: encode(openRow{Trainer: spec.Trainer, Model: spec.Model, Weight: spec.Weight, CreatedAt: row.CreatedAt})},
		},
	})
	if errors.Is(err, silltable.ErrConflict) || errors.Is(err, silltable.ErrUnknown) {
		return l.resolveCreate(ctx, spec, name, err)
	}
	return eris.Wrap(err, "sillrollout.Create")
}

// resolveCreate reads whether a transaction without an answer took effect.
func (l *Ledger) resolveCreate(ctx context.Context, spec Spec, name string, cause error) error {
	done, err := l.created(ctx, spec, name)
	if done || err != nil {
		return err
	}
	return eris.Wrap(cause, "sillrollout.Create")
}

func (l *Ledger) created(ctx context.Context, spec Spec, name string) (bool, error) {
	row, _, err := l.batch(ctx, spec.Batch)
	if errors.Is(err, ErrUnknownBatch) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if row.Spec != name {
		return false, ErrBatchIDTaken
	}
	return true, nil
}

func (l *Ledger) batch(ctx context.Context, batch sillid.BatchID) (batchRow, silltable.Revision, error) {
	var value batchRow
	row, err := l.Store.Get(ctx, batchKey(batch))
	if errors.Is(err, silltable.ErrNotFound) {
		return value, 0, ErrUnknownBatch
	}
	if err != nil {
		return value, 0, eris.Wrap(err, "sillrollout.batch")
	}
	err = json.Unmarshal(row.Value, &value)
	return value, row.Revision, eris.Wrap(err, "sillrollout.batch: decode")
}

// trainerVersion returns the trainer's current version and a check that holds while it is current.
func (l *Ledger) trainerVersion(ctx context.Context, model sillid.ModelID) (sillid.WeightVersion, silltable.Check, error) {
	row, err := l.Store.GetOrAbsent(ctx, weightsKey(model))
	if err != nil {
		return 0, silltable.Check{}, eris.Wrap(err, "sillrollout.trainerVersion")
	}
	check := silltable.Check{Key: row.Key, Revision: row.Revision}
	if row.Revision == silltable.Absent {
		return 0, check, nil
	}
	var value weightsRow
	err = json.Unmarshal(row.Value, &value)
	return value.Version, check, eris.Wrap(err, "sillrollout.trainerVersion: decode")
}

// encode encodes a row; rows hold only strings, numbers and lists, which always encode.
func encode(value any) []byte {
	b, _ := json.Marshal(value)
	return b
}

// overBound returns whether a sample of this version lags too far behind the trainer.
func overBound(oldest, trainer sillid.WeightVersion, bound int) bool {
	return trainer > oldest && trainer-oldest > sillid.WeightVersion(max(bound, 0))
}
