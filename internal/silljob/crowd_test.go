package silljob

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// The load of a trainer's step: groups of items of unlike lengths, all submitted at once
// and due together. The estimate of a length is right at the median, but often far off.
const (
	stepGroups    = 23
	itemsPerGroup = 8
	meanItemTime  = time.Second
	stepDue       = 7500 * time.Millisecond
	lengthSpread  = 0.5
	estimateError = 0.4
)

// stepLoad plays the items of one job at an engine in simulated time, with the decisions
// of a Runner and without a network.
type stepLoad struct {
	runner *Runner
	job    *ownedJob
	now    time.Time
	// lengths holds the time that each item takes.
	lengths map[ItemID]time.Duration
	running []runningItem
}

type runningItem struct {
	item   *itemRun
	grant  silltarget.Grant
	doneAt time.Time
}

func newStepLoad(slots int, due time.Duration) *stepLoad {
	rng := rand.New(rand.NewPCG(3, 4))
	directory := silltarget.NewDirectory()
	directory.Apply(silltarget.Entry{ID: "engine", Pool: "p", Address: "engine:1", State: silltarget.Ready, Slots: slots, StartedAt: time.Unix(1, 0)})
	s := &stepLoad{now: time.Unix(1000, 0), lengths: make(map[ItemID]time.Duration)}
	s.runner = NewRunner(RunnerConfig{Directory: directory, Catalog: &sillcatalog.Holder{}, Log: zap.NewNop()})
	s.runner.attemptTime = meanItemTime
	sub := &Submission{Job: "job", Pool: "p", SubmittedMS: s.now.UnixMilli(), DueAfterMS: due.Milliseconds()}
	for i := range stepGroups * itemsPerGroup {
		factor := math.Exp(lengthSpread * rng.NormFloat64())
		estimate := 100 * factor * math.Exp(estimateError*rng.NormFloat64())
		item := Item{ID: ItemID(fmt.Sprintf("i%03d", i)), Group: fmt.Sprintf("g%02d", i/itemsPerGroup), ExpectedTokens: int(estimate)}
		s.lengths[item.ID] = time.Duration(factor * float64(meanItemTime))
		sub.Items = append(sub.Items, item)
	}
	s.job = newOwnedJob(context.Background(), sub, VersionedState{})
	for i := range sub.Items {
		s.job.addItem(&sub.Items[i])
	}
	s.runner.jobs[sub.Job] = s.job
	return s
}

// play runs the job until a time after its submission and returns the number of groups
// of which all items are complete.
func (s *stepLoad) play(until time.Duration) int {
	const tick = 10 * time.Millisecond
	for end := s.now.Add(until); s.now.Before(end); s.now = s.now.Add(tick) {
		s.finishDone()
		s.dispatch()
	}
	s.finishDone()
	whole := make(map[string]int)
	for _, it := range s.job.items {
		if it.phase == finished {
			whole[it.item.Group]++
		}
	}
	n := 0
	for _, items := range whole {
		if items == itemsPerGroup {
			n++
		}
	}
	return n
}

func (s *stepLoad) dispatch() {
	s.runner.orderGroups(s.now)
	for _, it := range s.runner.waitingItems(s.now) {
		grant, ok := s.runner.cfg.Directory.Pick(s.now, s.runner.query(s.now, it))
		if !ok {
			return
		}
		it.phase = running
		s.running = append(s.running, runningItem{it, grant, s.now.Add(s.lengths[it.item.ID])})
	}
}

func (s *stepLoad) finishDone() {
	kept := s.running[:0]
	for _, run := range s.running {
		if run.doneAt.After(s.now) {
			kept = append(kept, run)
			continue
		}
		run.item.phase = finished
		s.runner.recordAttemptTime(s.lengths[run.item.item.ID])
		s.runner.cfg.Directory.Release(s.now, run.grant, silltarget.Answered)
	}
	s.running = kept
}

// TestCrowdedJobCompletesGroups guards against a job that its engines can't complete in
// time having all its groups nearly done, and few of them whole, when it is due.
func TestCrowdedJobCompletesGroups(t *testing.T) {
	// minShare is the share of the groups for which the engines have the time.
	const minShare = 0.75
	for _, slots := range []int{6, 12, 18} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			possible := float64(slots) * stepDue.Seconds() / (itemsPerGroup * meanItemTime.Seconds())
			got := newStepLoad(slots, stepDue).play(stepDue)
			unordered := newStepLoad(slots, 0).play(stepDue)
			t.Logf("%d groups whole when due, %d without the order; time for %.1f", got, unordered, possible)
			if float64(got) < minShare*possible {
				t.Errorf("%d groups whole when due, want %.0f%% of %.1f", got, 100*minShare, possible)
			}
		})
	}
}

// TestRoomyJobRunsLongestFirst checks that a job that can be complete in time is not run
// group by group, also if it takes most of the time.
func TestRoomyJobRunsLongestFirst(t *testing.T) {
	for _, slots := range []int{36, 60} {
		t.Run(fmt.Sprint(slots, " slots"), func(t *testing.T) {
			s := newStepLoad(slots, stepDue)
			if n := s.play(stepDue); n != stepGroups {
				t.Errorf("%d groups whole when due, want %d", n, stepGroups)
			}
			if s.job.crowded {
				t.Error("the job counts as crowded")
			}
		})
	}
}

func TestTimeToComplete(t *testing.T) {
	for _, tc := range []struct {
		load  modelLoad
		slots int
		want  time.Duration
	}{
		{modelLoad{}, 4, 0},
		{modelLoad{waiting: 4, running: 4}, 4, 1500 * time.Millisecond},
		{modelLoad{waiting: 10}, 4, 2500 * time.Millisecond},
		{modelLoad{waiting: 3}, 0, 3 * time.Second},
	} {
		if got := timeToComplete(tc.load, tc.slots, time.Second); got != tc.want {
			t.Errorf("%+v in %d slots: %v, want %v", tc.load, tc.slots, got, tc.want)
		}
	}
}

func TestCrowdedJobsBecomeRoomy(t *testing.T) {
	var j ownedJob
	for _, tc := range []struct {
		share float64
		want  bool
	}{{1, false}, {1.2, true}, {1, true}, {0.9, true}, {0.7, false}, {1, false}} {
		if j.updateCrowded(tc.share); j.crowded != tc.want {
			t.Errorf("crowded at a share of %.1f: %t, want %t", tc.share, j.crowded, tc.want)
		}
	}
}

// TestOverdueJobWithLittleLeft checks that a job that became due while no gateway ran is
// not run group by group for the little that is left of it.
func TestOverdueJobWithLittleLeft(t *testing.T) {
	s := newStepLoad(60, stepDue)
	s.now = s.now.Add(stepDue + time.Second)
	s.dispatch()
	if s.job.crowded {
		t.Error("an overdue job of three attempts for each slot counts as crowded")
	}
	s = newStepLoad(6, stepDue)
	s.now = s.now.Add(stepDue + time.Second)
	if s.dispatch(); !s.job.crowded {
		t.Error("an overdue job of thirty attempts for each slot does not count as crowded")
	}
}
