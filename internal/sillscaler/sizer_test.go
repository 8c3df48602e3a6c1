package sillscaler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// simulation feeds a sizer two samples a second and carries out its orders: fewer
// targets at once, more after their startup time.
type simulation struct {
	sizer     Sizer
	now       time.Time
	bounds    Bounds
	occupancy Occupancy
	orders    []int
	// readyAt is when the last ordered scale-up is complete; zero if none is pending.
	readyAt time.Time
}

func newSimulation(targets int) *simulation {
	return &simulation{
		sizer: Sizer{Policy: DefaultSizePolicy()}, now: time.Unix(1000, 0),
		bounds: Bounds{Min: 1, Max: 6, StartupTime: 3 * time.Second}, occupancy: Occupancy{Targets: targets, Slots: 5},
	}
}

func (s *simulation) run(busy int, d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(sampleInterval) {
		s.occupancy.Busy = busy
		if !s.readyAt.IsZero() && !s.now.Before(s.readyAt) {
			s.occupancy.Targets, s.readyAt = s.orders[len(s.orders)-1], time.Time{}
		}
		count, due := s.sizer.Decide(s.now, s.bounds, s.occupancy)
		if !due {
			continue
		}
		s.orders = append(s.orders, count)
		s.sizer.RecordOrder(s.now, count)
		if count < s.occupancy.Targets {
			s.occupancy.Targets = count
		} else {
			s.readyAt = s.now.Add(s.bounds.StartupTime)
		}
	}
}

func (s *simulation) assert(t *testing.T, targets, maxOrders int) {
	t.Helper()
	if s.occupancy.Targets != targets || len(s.orders) > maxOrders {
		t.Errorf("%d targets after the orders %v, want %d after at most %d", s.occupancy.Targets, s.orders, targets, maxOrders)
	}
}

func TestSizer(t *testing.T) {
	t.Run("a steady load orders nothing", func(t *testing.T) {
		s := newSimulation(2)
		s.run(5, time.Minute)
		s.assert(t, 2, 0)
	})
	t.Run("a rise in load adds targets within seconds", func(t *testing.T) {
		s := newSimulation(1)
		s.run(1, 10*time.Second)
		s.run(9, 6*time.Second)
		s.assert(t, 3, 3)
	})
	t.Run("a drop in load removes targets one by one", func(t *testing.T) {
		s := newSimulation(4)
		s.run(12, 10*time.Second)
		s.run(1, 25*time.Second)
		if s.occupancy.Targets < 2 {
			t.Errorf("%d targets 25 s after a drop in load; orders %v", s.occupancy.Targets, s.orders)
		}
		s.run(1, 2*time.Minute)
		s.assert(t, 1, 3)
	})
	t.Run("a short pause removes no target", func(t *testing.T) {
		s := newSimulation(3)
		s.run(9, 10*time.Second)
		s.run(0, 5*time.Second)
		s.run(9, 10*time.Second)
		s.assert(t, 3, 0)
	})
	t.Run("the bounds hold", func(t *testing.T) {
		s := newSimulation(1)
		s.run(500, 20*time.Second)
		s.assert(t, 6, 3)
		s.run(0, 5*time.Minute)
		s.assert(t, 1, 8)
	})
	t.Run("lost targets are ordered again", func(t *testing.T) {
		s := newSimulation(3)
		s.run(9, 10*time.Second)
		s.occupancy.Targets = 1
		s.run(9, 6*time.Second)
		s.assert(t, 3, 1)
	})
}

// TestResizer guards against an order that is not repeated after it failed, or
// that is repeated after the platform accepted it.
func TestResizer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var orders []int
		r := NewResizer(ResizerConfig{
			Bounds: func() map[sillid.PoolID]Bounds {
				return map[sillid.PoolID]Bounds{"p": {Min: 2, Max: 4, StartupTime: time.Minute}}
			},
			Occupancy: func(map[sillid.PoolID]Bounds) map[PoolZone]Occupancy {
				return map[PoolZone]Occupancy{{Pool: "p", Zone: "a"}: {Targets: 1, Slots: 4}}
			},
			SetDesiredCount: func(_ context.Context, p PoolZone, count int) error {
				orders = append(orders, count)
				if len(orders) < 3 {
					return errors.New("platform unreachable")
				}
				return nil
			},
			Now: time.Now, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		r.Run(ctx)
		if len(orders) != 3 || orders[2] != 2 {
			t.Errorf("orders %v, want 3 with a desired count of 2, the last one accepted", orders)
		}
	})
}
