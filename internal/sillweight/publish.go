package sillweight

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// PlanKey returns the key of a model's row.
func PlanKey(model sillid.ModelID) string {
	return "weights/" + string(model)
}

// VersionKey returns the key of the small row that holds only the current version.
// It is written together with the model's row, so that a poll need not read the
// whole plan.
func VersionKey(model sillid.ModelID) string {
	return "weights-head/" + string(model)
}

// head is the value of the small row.
type head struct {
	Version sillid.WeightVersion `json:"version"`
}

// PublishConfig holds what a new version is published with.
type PublishConfig struct {
	Store   *silltable.Store
	Model   sillid.ModelID
	Version sillid.WeightVersion
	// Hash is the SHA-256 of the weights; empty if not known.
	Hash string
	// Members are the model's live targets; their groups are not read.
	Members []Member
	// Floor is the model's serving floor.
	Floor float64
}

// publishTries bounds the tries against other publishers.
const publishTries = 8

// Publish makes the version the model's current one and returns its plan. A
// version that is not newer gets the problem VersionStale; a store that does not
// answer, StoreUnavailable.
func Publish(ctx context.Context, cfg PublishConfig) (Plan, error) {
	unknown := false
	for range publishTries {
		previous, revision, err := Read(ctx, cfg.Store, cfg.Model)
		if err != nil {
			return Plan{}, unavailable(err, unknown)
		}
		// An own commit whose answer was lost shows as the same version and hash.
		if unknown && previous.Version == cfg.Version && previous.Hash == cfg.Hash {
			return previous, nil
		}
		if previous.Version >= cfg.Version {
			return Plan{}, sillproblem.New(sillproblem.VersionStale, "The current version is %d.", previous.Version)
		}
		plan, err := publishOver(ctx, cfg, previous, revision)
		switch {
		case err == nil:
			return plan, nil
		case errors.Is(err, silltable.ErrUnavailable):
			return Plan{}, unavailable(err, unknown)
		case !errors.Is(err, silltable.ErrConflict):
			unknown = true
		}
	}
	return Plan{}, unavailable(eris.New("too many conflicts"), unknown)
}

func publishOver(ctx context.Context, cfg PublishConfig, previous Plan, revision silltable.Revision) (Plan, error) {
	next := Plan{Model: cfg.Model, Version: cfg.Version, Hash: cfg.Hash}
	var before *Plan
	if revision != silltable.Absent {
		before = &previous
	}
	plan := NewPlan(before, next, cfg.Members, cfg.Floor)
	// The plan holds only strings and numbers, which always encode.
	value, _ := json.Marshal(plan)
	short, _ := json.Marshal(head{Version: plan.Version})
	_, err := cfg.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: PlanKey(cfg.Model), Revision: revision}},
		Writes: []silltable.Write{
			{Key: PlanKey(cfg.Model), Value: value},
			{Key: VersionKey(cfg.Model), Value: short},
		},
	})
	return plan, err
}

// Read returns a model's current plan and its row's revision; the zero Plan if
// no version was published.
func Read(ctx context.Context, store *silltable.Store, model sillid.ModelID) (Plan, silltable.Revision, error) {
	row, err := store.GetOrAbsent(ctx, PlanKey(model))
	if err != nil {
		return Plan{}, silltable.Absent, eris.Wrap(err, "sillweight.Read")
	}
	if row.Revision == silltable.Absent {
		return Plan{}, silltable.Absent, nil
	}
	var plan Plan
	if err := json.Unmarshal(row.Value, &plan); err != nil {
		return Plan{}, silltable.Absent, eris.Wrapf(err, "sillweight.Read: row %q", row.Key)
	}
	return plan, row.Revision, nil
}

// ReadVersion returns a model's current version, or 0 if none was published.
func ReadVersion(ctx context.Context, store *silltable.Store, model sillid.ModelID) (sillid.WeightVersion, error) {
	row, err := store.GetOrAbsent(ctx, VersionKey(model))
	if err != nil {
		return 0, eris.Wrap(err, "sillweight.ReadVersion")
	}
	if row.Revision == silltable.Absent {
		return 0, nil
	}
	var h head
	err = json.Unmarshal(row.Value, &h)
	return h.Version, eris.Wrapf(err, "sillweight.ReadVersion: row %q", row.Key)
}

// unavailable returns a problem that says whether the version may be published.
func unavailable(err error, unknown bool) error {
	p := sillproblem.New(sillproblem.StoreUnavailable, "The version could not be published: %v.", err)
	if unknown {
		return p.WithOutcome(sillproblem.OutcomeUnknown)
	}
	return p
}
