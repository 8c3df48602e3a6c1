package silllease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
)

func TestTableCallsOfAllGateways(t *testing.T) {
	const gateways = 410
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		table := &sillmemtable.Table{Fault: func(_ context.Context, name string) error {
			if name != "commit-answer" {
				calls.Add(1)
			}
			return nil
		}}
		group := sillgroup.New(t.Context())
		for n := range gateways {
			group.Go(newCandidate(table, table.Store(), n).runner.Run)
		}
		time.Sleep(15 * time.Minute)
		calls.Store(0)
		const window = 30 * time.Minute
		time.Sleep(window)
		rate := float64(calls.Load()) / window.Seconds()
		t.Logf("%d gateways, one lease: %.2f table calls per second", gateways, rate)
		// The full-rate candidates, the holder and the next ranks make five calls per
		// poll interval together; each gateway adds one read per longest poll interval.
		bound := 5/DefaultPollEvery.Seconds() + gateways/DefaultMaxPollEvery.Seconds()*4/3
		if rate > bound {
			t.Errorf("%.2f calls per second, more than %.2f", rate, bound)
		}
		group.Stop()
	})
}

func BenchmarkHolderTick(b *testing.B) {
	now := time.Unix(1000, 0)
	h := NewHolder(Config{Name: "task", Owner: "owner", Random: rand.New(rand.NewPCG(1, 1))}, 0, now)
	for b.Loop() {
		now = now.Add(DefaultRenewEvery)
		switch c := h.Tick(now); c.Kind {
		case ReadRow:
			h.HandleRead(now, silltable.Row{}, nil)
		case TryAcquire:
			h.HandleCommit(now, []silltable.Revision{1, 2}, nil)
		case Renew:
			h.HandleCommit(now, []silltable.Revision{3}, nil)
		case Wait, StepDown:
		}
	}
}
