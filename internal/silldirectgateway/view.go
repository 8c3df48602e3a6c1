package silldirectgateway

import (
	"maps"
	"strings"
	"sync"
	"sync/atomic"
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

// view holds the process's view of the platform's tables that it follows.
type view struct {
	settings  *Settings
	adapter   *Adapter
	catalog   *sillcatalog.Holder
	directory *silltarget.Directory
	board     *silljob.Board
	log       *zap.Logger
	// unreadConfig is whether the newest configuration can't be read.
	unreadConfig atomic.Bool

	mu sync.Mutex
	// evacuated holds the availability zones that rows name.
	evacuated map[sillid.ZoneID]bool
	// announced holds the newest version of each model that its trainer announced.
	announced map[sillid.ModelID]sillid.WeightVersion
}

func newView(s *Settings, adapter *Adapter, directory *silltarget.Directory, log *zap.Logger) *view {
	return &view{
		settings:  s,
		adapter:   adapter,
		catalog:   &sillcatalog.Holder{},
		directory: directory,
		board:     silljob.NewBoard(),
		log:       log.Named("view"),
		evacuated: make(map[sillid.ZoneID]bool),
		announced: make(map[sillid.ModelID]sillid.WeightVersion),
	}
}

// applyOperatorRows applies rows of the operator's table.
func (v *view) applyOperatorRows(rows []silltable.Row) {
	for _, row := range rows {
		switch {
		case row.Key == v.adapter.ConfigKey:
			v.applyConfig(row)
		case strings.HasPrefix(row.Key, v.adapter.VersionPrefix):
			v.applyVersion(row)
		}
	}
}

func (v *view) applyConfig(row silltable.Row) {
	c, err := v.adapter.DecodeCatalog(row.Value)
	v.unreadConfig.Store(err != nil)
	if err != nil {
		v.log.Error("Configuration can't be read.", zap.Uint64("revision", uint64(row.Revision)), silllog.Err(err))
		return
	}
	if held := v.catalog.Get(); held == nil || c.Version > held.Version {
		// Before the catalog, so that no request is sent without the rules.
		v.directory.SetColdRules(coldRules(c))
		v.directory.SetPrioritiesDiffer(c.PrioritiesDiffer())
	}
	if v.catalog.UpdateIfNewer(c) {
		v.log.Info("Configuration in force.", zap.Uint64("version", uint64(c.Version)),
			zap.Int("routes", len(c.Routes)), zap.Int("organisations", len(c.Organisations)),
			zap.Int("cold-pools", len(c.ColdPools)), zap.Int("invalid-fields", c.InvalidFields))
		v.logUnknownHomes(c)
	}
}

func (v *view) applyVersion(row silltable.Row) {
	model, version, err := v.adapter.DecodeModelVersion(row.Value)
	if err != nil {
		v.log.Error("Announced version can't be decoded; skipping it.", zap.String("key", row.Key), silllog.Err(err))
		return
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if version > v.announced[model] {
		v.announced[model] = version
		v.log.Info("Version named.", zap.String("model", string(model)), zap.Uint64("version", uint64(version)))
	}
}

func (v *view) targetID(key string) string { return key[len(v.adapter.RegistryTable)+1:] }

// applyTarget applies the registry row of one target; it skips a row that can't be
// decoded.
func (v *view) applyTarget(row silltable.Row) {
	id := v.targetID(row.Key)
	e, err := v.adapter.DecodeTarget(id, row.Value)
	if err != nil {
		v.log.Info("Registry entry can't be decoded; skipping it.", zap.String("target", id), silllog.Err(err))
		return
	}
	e.Revision = uint64(row.Revision)
	if v.directory.Apply(e) {
		v.log.Info("Target registered.", zap.String("target", id), zap.String("pool", string(e.Pool)),
			zap.String("address", e.Address), zap.String("state", string(e.State)), zap.Any("versions", e.Versions),
			zap.Uint64("revision", uint64(row.Revision)))
	}
}

// applyTargets applies changes of the registry. A target whose entry was removed during
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

// resetTargets replaces the targets by the rows of the whole registry.
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
	v.directory.Settle()
}

// observeNotice records what a response to an order or a call for a report says of its
// target leaving.
func (v *view) observeNotice(run silltarget.Run, n silltarget.Notice) {
	v.directory.ObserveNotice(time.Now(), run, n)
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

// desiredVersions returns the desired version of each model of a pool. Models without
// an announced version and without open jobs are left out.
func (v *view) desiredVersions(pool sillid.PoolID) map[sillid.ModelID]sillweightcontroller.DesiredVersion {
	c := v.catalog.Get()
	if c == nil {
		return nil
	}
	demands := v.board.Demands()
	v.mu.Lock()
	announced := maps.Clone(v.announced)
	v.mu.Unlock()
	desired := make(map[sillid.ModelID]sillweightcontroller.DesiredVersion)
	for _, m := range c.Models {
		d, open := demands[m.ID]
		version, ok := announced[m.ID]
		if m.Pool != pool || (!ok && !open) {
			continue
		}
		desired[m.ID] = sillweightcontroller.DesiredVersion{
			Version: max(version, initialVersion), MinVersion: d.MinVersion, WaitingItems: d.Waiting, FinishRuns: d.SingleVersion,
		}
	}
	return desired
}

// initialVersion is the version of a model before its trainer announces one.
const initialVersion sillid.WeightVersion = 1
