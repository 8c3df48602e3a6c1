package sillusage

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillgroup"
)

// TestTaskSettles checks that reports are sent only after the settle time.
func TestTaskSettles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.gateways = []*testGateway{w.newGateway()}
		a := w.addAgent()
		h := w.takeOver()
		w.serve(a, w.gateways[0], "a", 1)
		_ = w.flush(a, false)
		w.now = w.now.Add(2 * testWindow)
		_ = w.flush(a, true)
		const settle = 10 * time.Second
		task := NewTask(TaskConfig{
			Closer: h.closer, Reporter: h.reporter, Interval: time.Second, SettleTime: settle, Logger: zap.NewNop(),
		})
		group := sillgroup.New(t.Context())
		group.Go(func(ctx context.Context) { task.Run(ctx, h.guard) })
		time.Sleep(settle - time.Second)
		synctest.Wait()
		if w.reports() != 0 {
			t.Errorf("%d reports before the settle time", w.reports())
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if w.reports() != 1 {
			t.Errorf("%d reports after the settle time, want 1", w.reports())
		}
		group.Stop()
	})
}

// TestTaskClosesAfterDeadAgent guards against a dead agent's window that is never
// closed because the steps are further apart than OrphanGrace.
func TestTaskClosesAfterDeadAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.now = time.Now()
		w.gateways = []*testGateway{w.newGateway()}
		a := w.addAgent()
		h := w.takeOver()
		h.closer.Now = time.Now
		w.serve(a, w.gateways[0], "a", 1)
		_ = w.flush(a, false)
		a.alive = false
		task := NewTask(TaskConfig{
			Closer: h.closer, Reporter: h.reporter, Interval: 2 * h.closer.OrphanGrace, Logger: zap.NewNop(),
		})
		group := sillgroup.New(t.Context())
		group.Go(func(ctx context.Context) { task.Run(ctx, h.guard) })
		time.Sleep(2*testWindow + 4*h.closer.DeadAfter)
		synctest.Wait()
		if w.reports() != 1 {
			t.Errorf("%d reports of the dead agent's window, want 1", w.reports())
		}
		group.Stop()
	})
}

// TestCollect checks that only rows that are counted and sent are deleted.
func TestCollect(t *testing.T) {
	w := newWorld(t)
	w.gateways = []*testGateway{w.newGateway()}
	dying, alive := w.addAgent(), w.addAgent()
	w.serve(alive, w.gateways[0], "a", 1)
	_ = w.flush(alive, false)
	_ = w.flush(dying, false)
	w.serve(dying, w.gateways[0], "a", 2)
	dying.alive = false
	w.finish()
	w.assertExact()
	h := w.takeOver()
	c := NewCollector(CollectorConfig{Store: w.table.Store(), Now: w.clock, Retention: time.Hour})
	assertRows := func(want int) {
		t.Helper()
		if err := c.Step(context.Background(), h.guard); err != nil {
			t.Fatal(err)
		}
		rows, _ := w.table.Store().ListAll(context.Background(), "usage/")
		var keys []string
		for _, row := range rows {
			keys = append(keys, row.Key)
		}
		if len(rows) != want {
			t.Errorf("%d rows, want %d:\n%s", len(rows), want, strings.Join(keys, "\n"))
		}
	}
	rows, _ := w.table.Store().ListAll(context.Background(), "usage/")
	assertRows(len(rows))
	w.now = w.now.Add(2 * time.Hour)
	// The closed row and the row of the agent that is not sealed remain.
	assertRows(2)
}
