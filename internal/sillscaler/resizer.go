package sillscaler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllog"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// sampleInterval is the time between two samples. Cluster members publish their
// running requests at the same interval.
const sampleInterval = 500 * time.Millisecond

// PoolZone is a pool in one availability zone.
type PoolZone struct {
	Pool sillid.PoolID
	Zone sillid.ZoneID
}

// ResizerConfig configures a Resizer.
type ResizerConfig struct {
	// Bounds returns the bounds of the pools that are autoscaled.
	Bounds func() map[sillid.PoolID]Bounds
	// Occupancy returns the occupancy of those pools, by pool and zone.
	Occupancy func(pools map[sillid.PoolID]Bounds) map[PoolZone]Occupancy
	// SetDesiredCount asks the platform for count targets in the pool and zone.
	// It may be repeated.
	SetDesiredCount func(ctx context.Context, p PoolZone, count int) error
	Now             func() time.Time
	Log             *zap.Logger
}

// Resizer adjusts the desired target counts of the autoscaled pools to their
// load. It runs only in the process that holds the lease for these orders.
type Resizer struct {
	cfg    ResizerConfig
	sizers map[PoolZone]*Sizer
}

// NewResizer returns a resizer without samples.
func NewResizer(cfg ResizerConfig) *Resizer {
	cfg.Log = cfg.Log.Named("scale")
	return &Resizer{cfg: cfg, sizers: make(map[PoolZone]*Sizer)}
}

// Run samples the load and sets desired counts until ctx ends.
func (r *Resizer) Run(ctx context.Context) {
	sillgroup.Every(ctx, sampleInterval, func(time.Time) { r.step(ctx) })
}

func (r *Resizer) step(ctx context.Context) {
	bounds := r.cfg.Bounds()
	if len(bounds) == 0 {
		return
	}
	occupancies := r.cfg.Occupancy(bounds)
	for p := range occupancies {
		if r.sizers[p] == nil {
			r.sizers[p] = &Sizer{Policy: DefaultSizePolicy()}
		}
	}
	for p, s := range r.sizers {
		b, autoscaled := bounds[p.Pool]
		if !autoscaled {
			delete(r.sizers, p)
			continue
		}
		// Occupancy is zero if the pool lost all its targets in the zone.
		if count, due := s.Decide(r.cfg.Now(), b, occupancies[p]); due {
			r.order(ctx, p, occupancies[p], s, count)
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
