package sillrollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"reflect"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/silllease"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/sillproperty"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	os.Exit(sillproperty.Run(m, sillproperty.Config{Checks: 40}))
}

// scenario configures the faults injected into one batch.
type scenario struct {
	seed int64
	// refused, lost and objects are the shares of failed table calls, of commits
	// with an unknown outcome, and of failed object store calls.
	refused, lost, objects float64
	// generationFails, unattributable and score are the shares of failed attempts,
	// of attempts without weight versions, and of failed score calls.
	generationFails, unattributable, score float64
	// ownerDies is when the first owner stops; ownerJoins is when the second one
	// starts, possibly while the first still acts as the owner.
	ownerDies, ownerJoins time.Duration
	// trainerDies is the share of deliveries after which the trainer restarts
	// before it acknowledges, lostAnswers the share of lost responses to it.
	trainerDies, lostAnswers float64
	publish                  time.Duration
	straggler                StragglerPolicy
}

const (
	testOrganisation  = sillid.OrganisationID("o")
	testModel         = sillid.ModelID("m")
	leaseKey          = "lease-epoch/rollout"
	generationSeconds = 20
	// faultsEnd is the time after which no faults are injected, so that every
	// scenario can finish.
	faultsEnd = 5 * time.Minute
)

func testSpec() Spec {
	return Spec{
		Batch: "b", Trainer: "t", Organisation: testOrganisation, Model: testModel,
		Prompts: []string{"p0", "p1", "p2", "p3", "p4", "p5"}, GroupSize: 4, MaxTokens: 100,
		DeadlineSeconds: 3600, Partial: PartialDrop, StalenessBound: 1, Weight: 1,
	}
}

// testbed runs one batch with its table, object store, owners and trainer.
type testbed struct {
	scenario
	t       *testing.T
	table   *sillmemtable.Table
	ledger  *Ledger
	started time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	content map[string][]byte
	version sillid.WeightVersion
	// versions holds the version at each revision of the weights row.
	versions map[silltable.Revision]sillid.WeightVersion
	// truth holds the spans of every generation, by its text.
	truth map[string][]sillattribution.Span
	// givenAt holds the trainer's version when a delivery was first given.
	givenAt  map[DeliveryID]sillid.WeightVersion
	attempts int
	// scoreFailures counts the failed score calls of each text.
	scoreFailures map[string]int
	// writes counts the row writes of the ledger.
	writes     int
	slots      int
	violations []string
}

func newTestbed(t *testing.T, sc scenario) *testbed {
	tb := &testbed{
		slots: 8, scenario: sc, t: t, started: time.Now(), rng: rand.New(rand.NewSource(sc.seed)),
		content: make(map[string][]byte), truth: make(map[string][]sillattribution.Span),
		versions: make(map[silltable.Revision]sillid.WeightVersion),
		givenAt:  make(map[DeliveryID]sillid.WeightVersion),

		scoreFailures: make(map[string]int),
	}
	tb.table = &sillmemtable.Table{Fault: tb.tableFault}
	store := tb.table.Store()
	commit := store.Commit
	store.Commit = func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
		revisions, err := commit(ctx, txn)
		if err == nil || errors.Is(err, silltable.ErrUnknown) {
			tb.recordGiven(txn)
		}
		return revisions, err
	}
	tb.ledger = &Ledger{Store: store, Objects: Objects{PutNew: tb.put, Get: tb.get}, Now: time.Now}
	return tb
}

func (tb *testbed) recordGiven(txn silltable.Txn) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.writes += len(txn.Writes)
	version := tb.version
	for _, c := range txn.Checks {
		if c.Key == weightsKey(testModel) {
			version = tb.versions[c.Revision]
		}
	}
	for _, wr := range txn.Writes {
		var d deliveryRow
		if strings.Contains(wr.Key, "/delivery/") && json.Unmarshal(wr.Value, &d) == nil && d.State == Given {
			tb.givenAt[d.Delivery] = version
		}
	}
}

func (tb *testbed) chance(share float64) bool {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return time.Since(tb.started) < faultsEnd && tb.rng.Float64() < share
}

func (tb *testbed) tableFault(ctx context.Context, call string) error {
	if ctx.Value(noFaultsKey{}) != nil {
		return nil
	}
	if call == "commit-answer" && tb.chance(tb.lost) {
		return silltable.ErrUnknown
	}
	if call != "commit-answer" && tb.chance(tb.refused) {
		return silltable.ErrUnavailable
	}
	return nil
}

func (tb *testbed) put(_ context.Context, name string, content []byte) error {
	if tb.chance(tb.objects) {
		return errors.New("object store down")
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if old, ok := tb.content[name]; ok && !bytes.Equal(old, content) {
		tb.violations = append(tb.violations, "object changed: "+name)
	}
	tb.content[name] = content
	if len(tb.content)%2 == 0 && time.Since(tb.started) < faultsEnd && tb.rng.Float64() < tb.objects {
		return errors.New("object store response lost")
	}
	return nil
}

func (tb *testbed) get(_ context.Context, name string) ([]byte, error) {
	if tb.chance(tb.objects) {
		return nil, errors.New("object store down")
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.content[name], nil
}

func (tb *testbed) currentVersion() sillid.WeightVersion {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.version
}

func (tb *testbed) publishVersion() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.version++
	tb.versions[tb.commitWithoutFaults(weightsKey(testModel), encode(weightsRow{Version: tb.version}))] = tb.version
}

type noFaultsKey struct{}

// commitWithoutFaults writes a row with no faults injected, like a caller that retries
// until it succeeds.
func (tb *testbed) commitWithoutFaults(key string, value []byte) silltable.Revision {
	ctx := context.WithValue(context.Background(), noFaultsKey{}, true)
	revisions, err := tb.table.Store().Commit(ctx, silltable.Txn{Writes: []silltable.Write{{Key: key, Value: value}}})
	if err != nil {
		tb.t.Error(err)
		return 0
	}
	return revisions[0]
}

func (tb *testbed) generate(ctx context.Context, r GenerateRequest) (Generation, error) {
	tb.mu.Lock()
	tb.attempts++
	text := fmt.Sprintf("%v attempt %d", r.Sample, tb.attempts)
	n := 5 + tb.rng.Intn(40)
	half := time.Duration(tb.rng.Intn(generationSeconds*1000/2)) * time.Millisecond
	if tb.rng.Float64() < 0.1 {
		half *= 6
	}
	tb.mu.Unlock()
	from := len(r.Prefix)
	spans := r.PrefixSpans
	for _, part := range []int{n / 2, n - n/2} {
		version := tb.currentVersion()
		select {
		case <-ctx.Done():
			return Generation{}, &GenerateError{Partial: Generation{TokenIDs: make([]int, from), Spans: spans}, Cause: ctx.Err()}
		case <-time.After(half):
		}
		next := sillattribution.Span{From: sillid.Tokens(from), To: sillid.Tokens(from + part), Version: version}
		spans, _ = sillattribution.Join(spans, []sillattribution.Span{next})
		from += part
	}
	switch {
	case tb.chance(tb.generationFails):
		return Generation{}, &GenerateError{Target: "x", Cause: errors.New("target died")}
	case tb.chance(tb.unattributable):
		return Generation{}, &GenerateError{Reason: sillattribution.EngineRestarted}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.truth[text] = spans
	return Generation{Text: text, TokenIDs: make([]int, from), Spans: spans, FinishReason: "stop"}, nil
}

// scoreSample fails a text less often than makes its sample unscorable: a group with
// such a sample is dropped, as Spec.Partial says.
func (tb *testbed) scoreSample(_ context.Context, _ Spec, command ScoreCommand) (float64, error) {
	time.Sleep(time.Second)
	fails := tb.chance(tb.score)
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if fails && tb.scoreFailures[command.Text] < maxScoreAttempts-1 {
		tb.scoreFailures[command.Text]++
		return 0, errors.New("scorer slow")
	}
	return 0.5, nil
}

// guard returns the lease guard of a new owner. It rewrites the lease row, so that the
// writes of earlier owners fail.
func (tb *testbed) guard(epoch sillid.Epoch) silllease.Guard {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	revision := tb.commitWithoutFaults(leaseKey, encode(epoch))
	return silllease.Guard{
		Epoch: epoch, MayAct: func(time.Time) bool { return true },
		Check: silltable.Check{Key: leaseKey, Revision: revision},
	}
}

func (tb *testbed) task() *Task {
	return NewTask(TaskConfig{
		Ledger: tb.ledger, Generate: tb.generate, Scorers: []ScoreFunc{tb.scoreSample, tb.scoreSample},
		Load:   func(sillid.ModelID) Load { return Load{Slots: tb.slots, Free: tb.slots, TokensPerSecond: 5} },
		Policy: Policy{LongestFirst: true, HoldPredictedStale: true, Straggler: tb.straggler},
	}, Shard("t"))
}

// runOwners runs the two owners, one after the other or concurrently, and publishes
// new versions.
func (tb *testbed) runOwners(g *sillgroup.Group) {
	first, kill := context.WithCancel(g.Context())
	g.Go(func(context.Context) { tb.task().Run(first, tb.guard(1)) })
	g.Go(func(ctx context.Context) {
		sleep(ctx, tb.ownerDies)
		kill()
	})
	g.Go(func(ctx context.Context) {
		sleep(ctx, tb.ownerJoins)
		tb.task().Run(ctx, tb.guard(2))
	})
	g.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			tb.publishVersion()
			sleep(ctx, tb.publish)
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runTrainer takes and acknowledges deliveries until the batch is done. It ignores
// repeated deliveries by their delivery-id, and returns how often it got each sample.
func (tb *testbed) runTrainer(ctx context.Context) map[sillid.SampleID]int {
	got := make(map[sillid.SampleID]int)
	seen := make(map[DeliveryID]string)
	for time.Since(tb.started) < 50*time.Minute {
		sleep(ctx, time.Second)
		d, err := tb.ledger.Next(ctx, testOrganisation, "b", 0)
		if err != nil || tb.chance(tb.lostAnswers) {
			continue
		}
		if d.ID == "" {
			if d.Done {
				return got
			}
			continue
		}
		tb.receive(d, seen, got)
		if tb.chance(tb.trainerDies) {
			sleep(ctx, 10*time.Second)
			continue
		}
		if err := tb.ledger.Acknowledge(ctx, testOrganisation, "b", d.ID); err == nil && d.Done {
			return got
		}
	}
	tb.violations = append(tb.violations, "batch not done after 50 minutes")
	return got
}

func (tb *testbed) receive(d Delivery, seen map[DeliveryID]string, got map[sillid.SampleID]int) {
	if before, ok := seen[d.ID]; ok {
		if before != string(d.Samples) {
			tb.violations = append(tb.violations, fmt.Sprintf("content of delivery %s changed", d.ID))
		}
		return
	}
	seen[d.ID] = string(d.Samples)
	var samples []Sample
	if err := json.Unmarshal(d.Samples, &samples); err != nil {
		tb.violations = append(tb.violations, err.Error())
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	given, ok := tb.givenAt[d.ID]
	if !ok {
		tb.violations = append(tb.violations, fmt.Sprintf("delivery %s given without a claim", d.ID))
		given = tb.version
	}
	for _, s := range samples {
		got[s.ID]++
		if !reflect.DeepEqual(tb.truth[s.Text], s.Spans) {
			tb.violations = append(tb.violations, fmt.Sprintf("%v: spans %v, want %v", s.ID, s.Spans, tb.truth[s.Text]))
		}
		if oldest, _ := sillattribution.Oldest(s.Spans); given > oldest+1 {
			tb.violations = append(tb.violations, fmt.Sprintf("%v: oldest version %d given at trainer version %d", s.ID, oldest, given))
		}
	}
}

// runScenario runs a scenario until its batch is done and returns the violations: lost,
// repeated, stale or wrongly attributed samples and changed deliveries.
func runScenario(t *testing.T, sc scenario) []string {
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, sc)
		g := sillgroup.New(t.Context())
		for tb.ledger.Create(t.Context(), testSpec()) != nil {
			time.Sleep(time.Second)
		}
		tb.runOwners(g)
		got := tb.runTrainer(t.Context())
		g.Stop()
		for i := range testSpec().Prompts {
			for j := range testSpec().GroupSize {
				id := sillid.SampleID{Batch: "b", Group: i, Index: j}
				if got[id] != 1 {
					tb.violations = append(tb.violations, fmt.Sprintf("%v delivered %d times", id, got[id]))
				}
			}
		}
		faults = tb.violations
	})
	return faults
}

// TestOnce checks that every sample is delivered once, within the staleness bound and
// with the right weight versions, under each fault.
func TestOnce(t *testing.T) {
	noFaults := scenario{seed: 1, ownerDies: time.Hour, ownerJoins: time.Hour, publish: time.Minute}
	tests := []struct {
		name   string
		change func(*scenario)
	}{
		{"no faults", func(*scenario) {}},
		{"owner dies early", func(s *scenario) { s.ownerDies, s.ownerJoins = 5*time.Second, 8*time.Second }},
		{"owner dies while it delivers", func(s *scenario) { s.ownerDies, s.ownerJoins = 40*time.Second, 45*time.Second }},
		{"two owners", func(s *scenario) { s.ownerJoins = 2 * time.Second }},
		{"commit outcomes unknown", func(s *scenario) { s.lost = 0.4 }},
		{"commit outcomes unknown with two owners", func(s *scenario) { s.lost, s.ownerJoins = 0.4, 30*time.Second }},
		{"table unavailable", func(s *scenario) { s.refused = 0.4 }},
		{"objects fail", func(s *scenario) { s.objects = 0.4 }},
		{"trainer restarts", func(s *scenario) { s.trainerDies, s.lostAnswers = 0.5, 0.3 }},
		{"frequent versions", func(s *scenario) { s.publish = 15 * time.Second }},
		{"generations fail", func(s *scenario) { s.generationFails, s.unattributable, s.score = 0.3, 0.2, 0.3 }},
		{"migration", func(s *scenario) { s.straggler = StragglerMigrate }},
		{"second attempt", func(s *scenario) { s.straggler = StragglerSecondAttempt }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sc := noFaults
			tt.change(&sc)
			for _, f := range runScenario(t, sc) {
				t.Error(f)
			}
		})
	}
}

// TestOnceRandom checks the same under random combinations of the faults.
func TestOnceRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		share := func(name string) float64 { return float64(rapid.IntRange(0, 40).Draw(rt, name)) / 100 }
		seconds := func(name string, low, high int) time.Duration {
			return time.Duration(rapid.IntRange(low, high).Draw(rt, name)) * time.Second
		}
		sc := scenario{
			seed: rapid.Int64().Draw(rt, "seed"), refused: share("refused"), lost: share("lost"),
			objects: share("objects"), generationFails: share("generation"), unattributable: share("unattributable"),
			score: share("score"), trainerDies: share("trainer dies"), lostAnswers: share("lost answers"),
			ownerDies: seconds("owner dies", 1, 300), ownerJoins: seconds("owner joins", 1, 300),
			publish:   seconds("publish", 12, 120),
			straggler: rapid.SampledFrom([]StragglerPolicy{StragglerLeave, StragglerSecondAttempt, StragglerMigrate}).Draw(rt, "straggler"),
		}
		if faults := runScenario(t, sc); len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}
