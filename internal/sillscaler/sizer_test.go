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

// load plays a number of busy slots for a time, with two samples a second, and
// applies the orders after the time that targets take to start.
type load struct {
	sizer  Sizer
	now    time.Time
	bounds Bounds
	place  Occupancy
	orders []int
	// booting is when the last order for more is carried out.
	booting time.Time
}

func newLoad(targets int) *load {
	return &load{
		sizer: Sizer{Policy: DefaultSizePolicy()}, now: time.Unix(1000, 0),
		bounds: Bounds{Min: 1, Max: 6, StartupTime: 3 * time.Second}, place: Occupancy{Targets: targets, Slots: 5},
	}
}

func (l *load) play(busy int, d time.Duration) {
	for end := l.now.Add(d); l.now.Before(end); l.now = l.now.Add(sampleEvery) {
		l.place.Busy = busy
		if !l.booting.IsZero() && !l.now.Before(l.booting) {
			l.place.Targets, l.booting = l.orders[len(l.orders)-1], time.Time{}
		}
		count, due := l.sizer.Decide(l.now, l.bounds, l.place)
		if !due {
			continue
		}
		l.orders = append(l.orders, count)
		l.sizer.RecordOrder(l.now, count)
		if count < l.place.Targets {
			l.place.Targets = count
		} else {
			l.booting = l.now.Add(l.bounds.StartupTime)
		}
	}
}

func (l *load) assert(t *testing.T, targets, mostOrders int) {
	t.Helper()
	if l.place.Targets != targets || len(l.orders) > mostOrders {
		t.Errorf("%d targets after the orders %v, want %d after at most %d", l.place.Targets, l.orders, targets, mostOrders)
	}
}

func TestSizer(t *testing.T) {
	t.Run("a steady load orders nothing", func(t *testing.T) {
		l := newLoad(2)
		l.play(5, time.Minute)
		l.assert(t, 2, 0)
	})
	t.Run("a rise is served within seconds", func(t *testing.T) {
		l := newLoad(1)
		l.play(1, 10*time.Second)
		l.play(9, 6*time.Second)
		l.assert(t, 3, 3)
	})
	t.Run("a fall gives targets up one by one", func(t *testing.T) {
		l := newLoad(4)
		l.play(12, 10*time.Second)
		l.play(1, 25*time.Second)
		if l.place.Targets < 2 {
			t.Errorf("%d targets 25 s after a fall; orders %v", l.place.Targets, l.orders)
		}
		l.play(1, 2*time.Minute)
		l.assert(t, 1, 3)
	})
	t.Run("a short pause gives nothing up", func(t *testing.T) {
		l := newLoad(3)
		l.play(9, 10*time.Second)
		l.play(0, 5*time.Second)
		l.play(9, 10*time.Second)
		l.assert(t, 3, 0)
	})
	t.Run("the bounds hold", func(t *testing.T) {
		l := newLoad(1)
		l.play(500, 20*time.Second)
		l.assert(t, 6, 3)
		l.play(0, 5*time.Minute)
		l.assert(t, 1, 8)
	})
	t.Run("lost targets are ordered again", func(t *testing.T) {
		l := newLoad(3)
		l.play(9, 10*time.Second)
		l.place.Targets = 1
		l.play(9, 6*time.Second)
		l.assert(t, 3, 1)
	})
}

// TestResizer has orders fail at first; they are repeated until one is taken.
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
					return errors.New("platform away")
				}
				return nil
			},
			Now: time.Now, Log: zap.NewNop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		r.Run(ctx)
		if len(orders) != 3 || orders[2] != 2 {
			t.Errorf("orders %v, want 2 until it is taken once", orders)
		}
	})
}
