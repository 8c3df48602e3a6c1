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

// PlanKey returns the table key of the row that holds a model's current plan.
func PlanKey(model sillid.ModelID) string {
	return "weights/" + string(model)
}

// VersionKey returns the table key of the row that holds only a model's current
// version. It is written together with the plan's row, so that a poll need not read
// the plan, which lists every target.
func VersionKey(model sillid.ModelID) string {
	return "weights-head/" + string(model)
}

// versionRow is the value of the row at VersionKey.
type versionRow struct {
	Version sillid.WeightVersion `json:"version"`
}

// PublishConfig holds the arguments of Publish.
type PublishConfig struct {
	Store   *silltable.Store
	Model   sillid.ModelID
	Version sillid.WeightVersion
	// Hash is the SHA-256 of the weights in hexadecimal digits; empty if not known.
	Hash string
	// Members are the model's live targets; their Group is ignored.
	Members []Member
	// Floor is the model's serving floor: the share of targets that stay in service.
	Floor float64
}

// maxPublishAttempts limits the attempts after conflicts with other publishers.
const maxPublishAttempts = 8

// Publish makes the version the model's current one and returns its plan. It returns
// the problem VersionStale if the version is not newer than the current one, and
// StoreUnavailable if the store does not respond.
func Publish(ctx context.Context, cfg PublishConfig) (Plan, error) {
	outcomeUnknown := false
	for range maxPublishAttempts {
		previous, revision, err := Read(ctx, cfg.Store, cfg.Model)
		if err != nil {
			return Plan{}, unavailable(err, outcomeUnknown)
		}
		// The same version and hash show that an earlier commit succeeded although its
		// response was lost.
		if outcomeUnknown && previous.Version == cfg.Version && previous.Hash == cfg.Hash {
			return previous, nil
		}
		if previous.Version >= cfg.Version {
			return Plan{}, sillproblem.New(sillproblem.VersionStale, "The current version is %d.", previous.Version)
		}
		plan, err := commitPlan(ctx, cfg, previous, revision)
		switch {
		case err == nil:
			return plan, nil
		case errors.Is(err, silltable.ErrUnavailable):
			return Plan{}, unavailable(err, outcomeUnknown)
		case !errors.Is(err, silltable.ErrConflict):
			outcomeUnknown = true
		}
	}
	return Plan{}, unavailable(eris.New("too many conflicts"), outcomeUnknown)
}

func commitPlan(ctx context.Context, cfg PublishConfig, previous Plan, revision silltable.Revision) (Plan, error) {
	next := Plan{Model: cfg.Model, Version: cfg.Version, Hash: cfg.Hash}
	var before *Plan
	if revision != silltable.Absent {
		before = &previous
	}
	plan := NewPlan(before, next, cfg.Members, cfg.Floor)
	// Marshal can't fail: the plan holds only strings and numbers.
	value, _ := json.Marshal(plan)
	versionValue, _ := json.Marshal(versionRow{Version: plan.Version})
	_, err := cfg.Store.Commit(ctx, silltable.Txn{
		Checks: []silltable.Check{{Key: PlanKey(cfg.Model), Revision: revision}},
		Writes: []silltable.Write{
			{Key: PlanKey(cfg.Model), Value: value},
			{Key: VersionKey(cfg.Model), Value: versionValue},
		},
	})
	return plan, err
}

// Read returns a model's current plan and its row's revision, or the zero Plan and
// silltable.Absent if no version was published.
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
	var h versionRow
	err = json.Unmarshal(row.Value, &h)
	return h.Version, eris.Wrapf(err, "sillweight.ReadVersion: row %q", row.Key)
}

// unavailable returns the problem StoreUnavailable. Its outcome is unknown if a commit
// whose result is not known may have published the version.
func unavailable(err error, outcomeUnknown bool) error {
	p := sillproblem.New(sillproblem.StoreUnavailable, "The version could not be published: %v.", err)
	if outcomeUnknown {
		return p.WithOutcome(sillproblem.OutcomeUnknown)
	}
	return p
}
