package silllimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTestQueue(slots, waiting int, floor float64) *Queue {
	return NewQueue(Config{MaxConcurrent: slots, MaxWaiting: waiting, RolloutFloor: floor})
}

func entry(id int, organisation string, class Class) Entry {
	return Entry{
		ID:                  sillid.AttemptID(fmt.Sprint(id)),
		Organisation:        sillid.OrganisationID(organisation),
		Weight:              1,
		Class:               class,
		ExpectedServiceTime: time.Second,
	}
}

func submit(t *testing.T, q *Queue, e Entry) {
	t.Helper()
	if refused := q.Submit(epoch, e); len(refused) > 0 {
		t.Fatalf("Submit(%s) refused %v", e.ID, refused[0].Problem)
	}
}

// drain runs n entries one after another and counts them by key.
func drain(t *testing.T, q *Queue, n int, key func(Entry) string) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range n {
		e, _, ok := q.Next(epoch)
		if !ok {
			t.Fatal("Next() found no entry")
		}
		counts[key(e)]++
		q.Done(e.ID, Result{ServiceTime: e.ExpectedServiceTime})
	}
	return counts
}

func checkCount(t *testing.T, counts map[string]int, key string, want, tolerance int) {
	t.Helper()
	if got := counts[key]; got < want-tolerance || got > want+tolerance {
		t.Errorf("%s ran %d entries, want %d ± %d", key, got, want, tolerance)
	}
}

func TestQueueSharesByServiceTime(t *testing.T) {
	q := newTestQueue(1, 1000, 0)
	for i := range 300 {
		short, long := entry(i, "short", Interactive), entry(1000+i, "long", Interactive)
		long.ExpectedServiceTime = 3 * time.Second
		submit(t, q, short)
		submit(t, q, long)
	}
	counts := drain(t, q, 200, func(e Entry) string { return string(e.Organisation) })
	checkCount(t, counts, "short", 150, 2)
	checkCount(t, counts, "long", 50, 2)
}

// An organisation that was idle for long gets a bounded burst, not all that it
// did not use.
func TestQueueBoundsCreditOfIdleOrganisations(t *testing.T) {
	q := newTestQueue(1, 10000, 0)
	for i := range 2000 {
		submit(t, q, entry(i, "busy", Interactive))
	}
	drain(t, q, 1000, func(Entry) string { return "" })
	for i := range 1000 {
		submit(t, q, entry(5000+i, "idle", Interactive))
	}
	counts := drain(t, q, 200, func(e Entry) string { return string(e.Organisation) })
	checkCount(t, counts, "idle", allowanceServices+(200-allowanceServices)/2, 2)
}

func TestQueueCorrectsByRealServiceTime(t *testing.T) {
	q := newTestQueue(1, 1000, 0)
	for i := range 300 {
		submit(t, q, entry(i, "honest", Interactive))
		submit(t, q, entry(1000+i, "understated", Interactive))
	}
	counts := make(map[sillid.OrganisationID]int)
	for range 200 {
		e, _, _ := q.Next(epoch)
		counts[e.Organisation]++
		service := time.Second
		if e.Organisation == "understated" {
			service = 3 * time.Second
		}
		q.Done(e.ID, Result{ServiceTime: service})
	}
	if got := counts["understated"]; got < 48 || got > 52 {
		t.Errorf("understated ran %d entries of 200, want 50 ± 2", got)
	}
}

func TestQueueKeepsFloors(t *testing.T) {
	class := func(e Entry) string { return e.Class.String() }
	for _, floor := range []float64{0, 0.1, 0.5} {
		t.Run(fmt.Sprint(floor), func(t *testing.T) {
			q := newTestQueue(1, 1000, floor)
			for i := range 300 {
				submit(t, q, entry(i, "a", Interactive))
				submit(t, q, entry(1000+i, "a", Rollout))
			}
			counts := drain(t, q, 200, class)
			checkCount(t, counts, "rollout", int(200*floor), 2)
		})
	}
}

func TestQueueReservesSlotsForInteractive(t *testing.T) {
	q := newTestQueue(10, 100, 0.2)
	submit(t, q, entry(0, "a", Interactive))
	drain(t, q, 1, func(Entry) string { return "" })
	for i := range 20 {
		submit(t, q, entry(1+i, "a", Rollout))
	}
	checkStarts(t, q, epoch, 8)
	checkStarts(t, q, epoch.Add(2*interactiveMemory), 2)
}

func checkStarts(t *testing.T, q *Queue, now time.Time, want int) {
	t.Helper()
	got := 0
	for {
		if _, _, ok := q.Next(now); !ok {
			break
		}
		got++
	}
	if got != want {
		t.Errorf("Next() started %d entries, want %d", got, want)
	}
}

func TestQueueSharesRolloutsBetweenTrainers(t *testing.T) {
	q := newTestQueue(1, 1000, 0)
	for i := range 300 {
		for j, trainer := range []sillid.TrainerID{"light", "heavy"} {
			e := entry(1000*j+i, "a", Rollout)
			e.Trainer, e.TrainerWeight = trainer, 1+2*j
			submit(t, q, e)
		}
	}
	counts := drain(t, q, 200, func(e Entry) string { return string(e.Trainer) })
	checkCount(t, counts, "light", 50, 2)
	checkCount(t, counts, "heavy", 150, 2)
}

func TestQueueDropsHopelessEntries(t *testing.T) {
	t.Run("at arrival", func(t *testing.T) {
		q := newTestQueue(1, 10, 0)
		e := entry(1, "a", Interactive)
		e.Deadline = epoch.Add(time.Second / 2)
		checkRefused(t, q.Submit(epoch, e), sillproblem.DeadlinePassed)
	})
	t.Run("behind its own queue", func(t *testing.T) {
		q := newTestQueue(1, 10, 0)
		for i := range 5 {
			submit(t, q, entry(i, "a", Interactive))
		}
		e := entry(9, "a", Interactive)
		e.Deadline = epoch.Add(3 * time.Second)
		refused := q.Submit(epoch, e)
		checkRefused(t, refused, sillproblem.Overload)
		if got, want := refused[0].Problem.RetryAfter, 3*time.Second; got != want {
			t.Errorf("RetryAfter = %v, want %v", got, want)
		}
	})
	t.Run("after most of its patience", func(t *testing.T) {
		q := newTestQueue(1, 10, 0)
		submit(t, q, entry(1, "a", Interactive))
		if _, _, ok := q.Next(epoch); !ok {
			t.Fatal("the first entry did not start")
		}
		e := entry(2, "b", Interactive)
		e.Deadline = epoch.Add(100 * time.Second)
		submit(t, q, e)
		if _, early, _ := q.Next(epoch.Add(59 * time.Second)); len(early) > 0 {
			t.Errorf("refused with 41 of 100 s left: %v", early)
		}
		_, refused, _ := q.Next(epoch.Add(61 * time.Second))
		checkRefused(t, refused, sillproblem.Overload)
	})
	t.Run("before it runs", func(t *testing.T) {
		q := newTestQueue(1, 10, 0)
		e := entry(1, "a", Interactive)
		e.Deadline = epoch.Add(2 * time.Second)
		submit(t, q, e)
		_, dropped, ok := q.Next(epoch.Add(3 * time.Second / 2))
		if ok {
			t.Error("Next() started an entry that can't end in time")
		}
		checkRefused(t, dropped, sillproblem.DeadlinePassed)
	})
}

func checkRefused(t *testing.T, refused []Refusal, want sillproblem.Kind) {
	t.Helper()
	if len(refused) != 1 {
		t.Fatalf("%d refusals, want 1", len(refused))
	}
	if got := refused[0].Problem; got.Kind != want || got.Outcome != sillproblem.NotRun {
		t.Errorf("refused as %s, %s; want %s, not-run", got.Kind, got.Outcome, want)
	}
}

func TestQueueCancel(t *testing.T) {
	q := newTestQueue(1, 10, 0)
	submit(t, q, entry(1, "a", Interactive))
	submit(t, q, entry(2, "a", Interactive))
	if !q.Cancel("1") || q.Cancel("1") {
		t.Error("Cancel() must find the entry once")
	}
	if e, _, _ := q.Next(epoch); e.ID != "2" {
		t.Errorf("Next() = %q, want 2", e.ID)
	}
}
