package sillscaler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// sampleEvery is the time between two samples; members of the cluster renew what
// they hold as often.
const sampleEvery = 500 * time.Millisecond

// PoolZone is a pool in one availability zone.
type PoolZone struct {
	Pool sillid.PoolID
	Zone sillid.ZoneID
}

// ResizerConfig holds what a Resizer needs.
type ResizerConfig struct {
	// Bounds returns the limits of the pools that the operator lets grow.
	Bounds func() map[sillid.PoolID]Bounds
	// Occupancy returns what is known of those pools' targets.
	Occupancy func(pools map[sillid.PoolID]Bounds) map[PoolZone]Occupancy
	// SetDesiredCount orders the number of targets at a place. It may be repeated.
	SetDesiredCount func(ctx context.Context, p PoolZone, count int) error
	Now             func() time.Time
	Log             *zap.Logger
}

// Resizer keeps the numbers of targets in line with their load, for the one
// process that may order them.
type Resizer struct {
	cfg    ResizerConfig
	sizers map[PoolZone]*Sizer
}

// NewResizer returns a resizer that knows of no load.
func NewResizer(cfg ResizerConfig) *Resizer {
	cfg.Log = cfg.Log.Named("scale")
	return &Resizer{cfg: cfg, sizers: make(map[PoolZone]*Sizer)}
}

// Run gives orders until ctx ends.
func (r *Resizer) Run(ctx context.Context) {
	sillgroup.Every(ctx, sampleEvery, func(time.Time) { r.step(ctx) })
}

func (r *Resizer) step(ctx context.Context) {
	bounds := r.cfg.Bounds()
	if len(bounds) == 0 {
		return
	}
	places := r.cfg.Occupancy(bounds)
	for place := range places {
		if r.sizers[place] == nil {
			r.sizers[place] = &Sizer{Policy: DefaultSizePolicy()}
		}
	}
	for place, s := range r.sizers {
		b, scales := bounds[place.Pool]
		if !scales {
			delete(r.sizers, place)
			continue
		}
		// A place that lost all its targets is without occupancy.
		if count, due := s.Decide(r.cfg.Now(), b, places[place]); due {
			r.order(ctx, place, places[place], s, count)
		}
	}
}

func (r *Resizer) order(ctx context.Context, p PoolZone, o Occupancy, s *Sizer, count int) {
	err := r.cfg.SetDesiredCount(ctx, p, count)
	r.cfg.Log.Info("Ordered targets.", zap.String("pool", string(p.Pool)), zap.String("zone", string(p.Zone)),
		zap.Int("count", count), zap.Int("targets", o.Targets), zap.Float64("busy", s.busy), silllog.Err(err))
	if err == nil {
		s.RecordOrder(r.cfg.Now(), count)
	}
}
