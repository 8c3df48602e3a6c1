package sillweightcontroller

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// sentOrder is an order that reached an engine.
type sentOrder struct {
	orderCount uint64
	fence      sillid.Epoch
}

// runController runs a controller for a second with one engine, which replies to
// orders with the result of reply, and returns the orders that were sent.
func runController(t *testing.T, mayAct bool, reply func(l LoadOrder) Reply, report Report) []sentOrder {
	t.Helper()
	var mu sync.Mutex
	var orders []sentOrder
	synctest.Test(t, func(t *testing.T) {
		c := NewController(Config{
			Engines: func() map[sillid.PoolID][]silltarget.Entry {
				return map[sillid.PoolID][]silltarget.Entry{"p": newFleet(1, versions{"a": 1}).engines}
			},
			Desired: func(sillid.PoolID) map[sillid.ModelID]DesiredVersion {
				return map[sillid.ModelID]DesiredVersion{"a": {Version: 2, MinVersion: 2}}
			},
			Order: func(_ context.Context, l LoadOrder, fence sillid.Epoch) (Reply, silltarget.Notice) {
				mu.Lock()
				defer mu.Unlock()
				orders = append(orders, sentOrder{l.OrderCount, fence})
				return reply(l), silltarget.NoNotice
			},
			Report:   func(context.Context, silltarget.Entry) (Report, error) { return report, nil },
			OnNotice: func(silltarget.Run, silltarget.Notice) {}, Now: time.Now, Log: zap.NewNop(),
		})
		group := sillgroup.New(t.Context())
		guard := silllease.PermanentGuard(7)
		guard.MayAct = func(time.Time) bool { return mayAct }
		group.Go(func(ctx context.Context) { c.Run(ctx, guard) })
		time.Sleep(time.Second)
		group.Stop()
	})
	return orders
}

func TestControllerAsksAfterAConflict(t *testing.T) {
	orders := runController(t, true, func(l LoadOrder) Reply {
		if l.OrderCount != 5 {
			return Conflict
		}
		return Accepted
	}, Report{OrderCount: 5})
	if len(orders) != 2 || orders[0].orderCount != 0 || orders[1].orderCount != 5 || orders[1].fence != 7 {
		t.Errorf("orders %v, want one that expects 0 and one that expects 5, under fence 7", orders)
	}
}

func TestControllerGivesNoOrderWithoutTheLease(t *testing.T) {
	if orders := runController(t, false, func(LoadOrder) Reply { return Accepted }, Report{}); len(orders) != 0 {
		t.Errorf("orders %v, want none without the lease", orders)
	}
}

func TestControllerWaitsForALostAnswer(t *testing.T) {
	if orders := runController(t, true, func(LoadOrder) Reply { return NoReply }, Report{}); len(orders) != 1 {
		t.Errorf("%d orders in a second, want one", len(orders))
	}
}
