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

// PartialGroupPolicy selects what happens to a group that isn't complete at the
// deadline.
type PartialGroupPolicy string

const (
	// PartialDrop drops the finished samples of an incomplete group.
	PartialDrop PartialGroupPolicy = "drop"
	// PartialDeliver delivers the finished samples of an incomplete group.
	PartialDeliver PartialGroupPolicy = "deliver"
)

// Spec is a batch as the trainer requested it. It is immutable once created.
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

// Sample is one scored generation as delivered to the trainer.
type Sample struct {
	ID           sillid.SampleID        `json:"sample-id"`
	Prompt       string                 `json:"prompt"`
	Text         string                 `json:"text"`
	TokenIDs     []int                  `json:"token-ids"`
	Score        float64                `json:"score"`
	Spans        []sillattribution.Span `json:"weight-spans"`
	FinishReason string                 `json:"finish-reason"`
}

// DeliveryID identifies one delivery of a batch.
type DeliveryID string

// DeliveryState is the state of a delivery row. The transitions are formed to given
// to acked, and formed to withdrawn.
type DeliveryState string

const (
	// Formed deliveries are stored and have not been sent to the trainer.
	Formed DeliveryState = "formed"
	// Given deliveries may have reached the trainer; every repetition sends the same bytes.
	Given DeliveryState = "given"
	// Acked deliveries are acknowledged by the trainer.
	Acked DeliveryState = "acked"
	// Withdrawn deliveries exceeded the staleness bound before they were given; their
	// samples are generated again.
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

// batchRow is the value of the row batch/BATCH. It is the only record of which groups
// are settled.
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
	// Settled lists the groups that are delivered or dropped, in ascending order.
	Settled []int `json:"settled"`
}

// deliveryRow is the value of the row batch/BATCH/delivery/N.
type deliveryRow struct {
	Delivery DeliveryID `json:"delivery-id"`
	// Object names the object that holds the encoded samples.
	Object string        `json:"object"`
	State  DeliveryState `json:"state"`
	Groups []int         `json:"groups"`
	// Samples is the number of samples in the object.
	Samples int `json:"samples"`
	// Oldest is the lowest version among the samples' spans.
	Oldest sillid.WeightVersion `json:"oldest-version"`
}

// weightsRow is the value of the row weights/MODEL.
type weightsRow struct {
	Version sillid.WeightVersion `json:"version"`
}

// openRow is the value of the row rollout-open/SHARD/BATCH of an open batch.
type openRow struct {
	Trainer sillid.TrainerID `json:"trainer"`
	Model   sillid.ModelID   `json:"model"`
	Weight  int              `json:"weight"`
	// CreatedAt is in Unix milliseconds; older batches have precedence.
	CreatedAt int64 `json:"created-at"`
}

// Shards is the number of owner leases; trainers are assigned to them by the hash of
// their name.
const Shards = 32

// Shard returns the shard that owns a trainer's batches. All batches of a trainer
// belong to one shard, so that the lengths of earlier steps predict those of the next.
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

// ErrBatchIDTaken is returned if a batch with the same ID but other content exists.
var ErrBatchIDTaken = errors.New("batch-id is taken by other content: use a fresh batch-id")

// ErrUnknownBatch is returned if the organisation has no such batch.
var ErrUnknownBatch = errors.New("no such batch: create it first, with the same organisation's key")

// Objects is the object store. A put of an existing name with the same content succeeds.
type Objects struct {
	PutNew func(ctx context.Context, name string, content []byte) error
	Get    func(ctx context.Context, name string) ([]byte, error)
}

// Ledger keeps batches and deliveries in the table and the object store. Every
// gateway has one. Its methods are safe for concurrent use.
type Ledger struct {
	Store   *silltable.Store
	Objects Objects
	Now     func() time.Time
}

// Create stores a new batch. It succeeds without a change if a batch with the same ID
// and content exists. Errors: ErrBatchIDTaken, those of silltable.Store, and those of
// Objects.
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

// resolveCreate finds out whether the batch exists after a conflict or a transaction
// whose outcome is unknown.
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

// trainerVersion returns the trainer's current version, 0 if there is none yet, and a
// check that fails a transaction once the version has changed.
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

// encode encodes a row as JSON. The error is ignored, since rows hold only strings,
// numbers and lists.
func encode(value any) []byte {
	b, _ := json.Marshal(value)
	return b
}

// overBound reports whether a sample whose oldest version is oldest lags more than
// bound versions behind the trainer.
func overBound(oldest, trainer sillid.WeightVersion, bound int) bool {
	return trainer > oldest && trainer-oldest > sillid.WeightVersion(max(bound, 0))
}
