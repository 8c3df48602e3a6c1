package silldirectgateway

import (
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silljob"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/sillweightcontroller"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// view is what the process believes of the outside, from the tables it follows.
type view struct {
	seams     *Adapter
	catalog   *sillcatalog.Holder
	directory *silltarget.Directory
	board     *silljob.Board
	log       *zap.Logger

	mu sync.Mutex
	// named holds the newest version of each model that its trainer named.
	named map[sillid.ModelID]sillid.WeightVersion
}

func newView(seams *Adapter, log *zap.Logger) *view {
	return &view{
		seams:     seams,
		catalog:   &sillcatalog.Holder{},
		directory: silltarget.NewDirectory(),
		board:     silljob.NewBoard(),
		log:       log.Named("view"),
		named:     make(map[sillid.ModelID]sillid.WeightVersion),
	}
}

// takeOperator takes rows of the operator's table.
func (v *view) takeOperator(rows []silltable.Row) {
	for _, row := range rows {
		switch {
		case row.Key == v.seams.ConfigKey:
			v.applyConfig(row)
		case strings.HasPrefix(row.Key, v.seams.VersionPrefix):
			v.applyNamed(row)
		}
	}
}

func (v *view) applyConfig(row silltable.Row) {
	c, err := v.seams.DecodeCatalog(row.Value)
	if err != nil {
		v.log.Error("Configuration can't be read.", zap.Uint64("revision", uint64(row.Revision)), silllog.Err(err))
		return
	}
	if v.catalog.Offer(c) {
		v.log.Info("Configuration in force.", zap.Uint64("version", uint64(c.Version)),
			zap.Int("routes", len(c.Routes)), zap.Int("organisations", len(c.Organisations)))
	}
}

func (v *view) applyNamed(row silltable.Row) {
	model, version, err := v.seams.DecodeModelVersion(row.Value)
	if err != nil {
		v.log.Error("Named version can't be read.", zap.String("key", row.Key), silllog.Err(err))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.named[model] {
		v.named[model] = version
		v.log.Info("Version named.", zap.String("model", string(model)), zap.Uint64("version", uint64(version)))
	}
}

func (v *view) targetID(key string) string { return key[len(v.seams.RegistryTable)+1:] }

// applyTarget takes the row of one target.
func (v *view) applyTarget(row silltable.Row) {
	id := v.targetID(row.Key)
	e, err := v.seams.DecodeTarget(id, row.Value)
	if err != nil {
		v.log.Info("Entry of the registry left out.", zap.String("target", id), silllog.Err(err))
		return
	}
	if v.directory.Apply(e) {
		v.log.Info("Target registered.", zap.String("target", id), zap.String("pool", string(e.Pool)),
			zap.String("address", e.Address), zap.String("state", string(e.State)), zap.Any("versions", e.Versions),
			zap.Uint64("revision", uint64(row.Revision)))
	}
}

// applyTargets takes changes of the registry. A target whose entry vanished in
// an outage of the store gets some time to register again.
func (v *view) applyTargets(changes []silltable.Change, outage time.Duration) {
	now := time.Now()
	for _, c := range changes {
		if !c.Removed {
			v.applyTarget(c.Row)
			continue
		}
		id := sillid.TargetID(v.targetID(c.Row.Key))
		v.log.Info("Target left the registry.", zap.String("target", string(id)), zap.Duration("outage", outage))
		v.removeTarget(now, id, outage)
	}
}

func (v *view) removeTarget(now time.Time, id sillid.TargetID, outage time.Duration) {
	if outage > 0 {
		v.directory.MarkMissing(now, id)
		return
	}
	v.directory.Remove(id)
}

// resetTargets takes the whole registry.
func (v *view) resetTargets(rows []silltable.Row, outage time.Duration) {
	now := time.Now()
	listed := make(map[sillid.TargetID]bool, len(rows))
	for _, row := range rows {
		listed[sillid.TargetID(v.targetID(row.Key))] = true
		v.applyTarget(row)
	}
	for _, id := range v.directory.IDs() {
		if !listed[id] {
			v.removeTarget(now, id, outage)
		}
	}
}

// engines returns the targets of the pools that serve models.
func (v *view) engines() map[sillid.PoolID][]silltarget.Entry {
	c := v.catalog.Get()
	if c == nil {
		return nil
	}
	engines := make(map[sillid.PoolID][]silltarget.Entry)
	for _, m := range c.Models {
		if engines[m.Pool] == nil {
			engines[m.Pool] = v.directory.Entries(m.Pool)
		}
	}
	return engines
}

// wanted returns what trainers want of the models of a pool. Models without a
// trainer are left out.
func (v *view) wanted(pool sillid.PoolID) map[sillid.ModelID]sillweightcontroller.DesiredVersion {
	c := v.catalog.Get()
	if c == nil {
		return nil
	}
	demands := v.board.Demands()
	v.mu.Lock()
	named := maps.Clone(v.named)
	v.mu.Unlock()
	wanted := make(map[sillid.ModelID]sillweightcontroller.DesiredVersion)
	for _, m := range c.Models {
		d, open := demands[m.ID]
		version, ok := named[m.ID]
		if m.Pool != pool || (!ok && !open) {
			continue
		}
		wanted[m.ID] = sillweightcontroller.DesiredVersion{
			Version: max(version, firstVersion), MinVersion: d.MinVersion, WaitingItems: d.Waiting, FinishRuns: d.SingleVersion,
		}
	}
	return wanted
}

// firstVersion is the version of a model before any is named.
const firstVersion sillid.WeightVersion = 1
