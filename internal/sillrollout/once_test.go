package sillrollout

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
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
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "40")
	os.Exit(m.Run())
}

// scenario holds the faults of one run; shares are of the calls or events.
type scenario struct {
	seed                                   int64
	refused, lost, objects                 float64
	generationFails, unattributable, score float64
	// ownerDies is when the first owner dies; ownerJoins is when the second one
	// starts, while the first may still believe that it is in charge.
	ownerDies, ownerJoins time.Duration
	// trainerDies is the share of deliveries after which the trainer restarts
	// before it acknowledges; lostAnswers those whose answer is lost.
	trainerDies, lostAnswers float64
	publish                  time.Duration
	straggler                StragglerPolicy
}

const (
	worldOrganisation = sillid.OrganisationID("o")
	worldModel        = sillid.ModelID("m")
	leaseKey          = "lease-epoch/rollout"
	generationSeconds = 20
	// faultsEnd bounds the faults, so that every run can end.
	faultsEnd = 5 * time.Minute
)

func worldSpec() Spec {
	return Spec{
		Batch: "b", Trainer: "t", Organisation: worldOrganisation, Model: worldModel,
		Prompts: []string{"p0", "p1", "p2", "p3", "p4", "p5"}, GroupSize: 4, MaxTokens: 100,
		DeadlineSeconds: 3600, Partial: PartialDrop, StalenessBound: 1, Weight: 1,
	}
}

// world is one batch with its table, its owners and its trainer.
type world struct {
	scenario
	t       *testing.T
	table   *sillmemtable.Table
	ledger  *Ledger
	started time.Time

	mu      sync.Mutex
	rng     *rand.Rand
	content map[string][]byte
	version sillid.WeightVersion
	// versions holds the version of each revision of the weights row.
	versions map[silltable.Revision]sillid.WeightVersion
	// truth holds the spans of every generation by its text.
	truth map[string][]sillattribution.Span
	// givenAt holds the trainer's version when a delivery was first given.
	givenAt map[DeliveryID]sillid.WeightVersion
	runs    int
	// writes counts the row writes of the ledger.
	writes int
	slots  int
	faults []string
}

func newWorld(t *testing.T, sc scenario) *world {
	w := &world{
		slots: 8, scenario: sc, t: t, started: time.Now(), rng: rand.New(rand.NewSource(sc.seed)),
		content: make(map[string][]byte), truth: make(map[string][]sillattribution.Span),
		versions: make(map[silltable.Revision]sillid.WeightVersion),
		givenAt:  make(map[DeliveryID]sillid.WeightVersion),
	}
	w.table = &sillmemtable.Table{Fault: w.tableFault}
	store := w.table.Store()
	commit := store.Commit
	store.Commit = func(ctx context.Context, txn silltable.Txn) ([]silltable.Revision, error) {
		revisions, err := commit(ctx, txn)
		if err == nil || errors.Is(err, silltable.ErrUnknown) {
			w.noteGiven(txn)
		}
		return revisions, err
	}
	w.ledger = &Ledger{Store: store, Objects: Objects{PutNew: w.put, Get: w.get}, Now: time.Now}
	return w
}

func (w *world) noteGiven(txn silltable.Txn) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writes += len(txn.Writes)
	version := w.version
	for _, c := range txn.Checks {
		if c.Key == weightsKey(worldModel) {
			version = w.versions[c.Revision]
		}
	}
	for _, wr := range txn.Writes {
		var d deliveryRow
		if strings.Contains(wr.Key, "/delivery/") && json.Unmarshal(wr.Value, &d) == nil && d.State == Given {
			w.givenAt[d.Delivery] = version
		}
	}
}

func (w *world) chance(share float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.started) < faultsEnd && w.rng.Float64() < share
}

func (w *world) tableFault(ctx context.Context, call string) error {
	if ctx.Value(steadyKey{}) != nil {
		return nil
	}
	if call == "commit-answer" && w.chance(w.lost) {
		return silltable.ErrUnknown
	}
	if call != "commit-answer" && w.chance(w.refused) {
		return silltable.ErrUnavailable
	}
	return nil
}

func (w *world) put(_ context.Context, name string, content []byte) error {
	if w.chance(w.objects) {
		return errors.New("object store down")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if old, ok := w.content[name]; ok && !bytes.Equal(old, content) {
		w.faults = append(w.faults, "object changed: "+name)
	}
	w.content[name] = content
	if len(w.content)%2 == 0 && time.Since(w.started) < faultsEnd && w.rng.Float64() < w.objects {
		return errors.New("object store answer lost")
	}
	return nil
}

func (w *world) get(_ context.Context, name string) ([]byte, error) {
	if w.chance(w.objects) {
		return nil, errors.New("object store down")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.content[name], nil
}

func (w *world) currentVersion() sillid.WeightVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *world) move() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version++
	w.versions[w.commitSteady(weightsKey(worldModel), encode(weightsRow{Version: w.version}))] = w.version
}

type steadyKey struct{}

// commitSteady writes a row without faults, as a caller does that retries until it succeeds.
func (w *world) commitSteady(key string, value []byte) silltable.Revision {
	ctx := context.WithValue(context.Background(), steadyKey{}, true)
	revisions, err := w.table.Store().Commit(ctx, silltable.Txn{Writes: []silltable.Write{{Key: key, Value: value}}})
	if err != nil {
		w.t.Error(err)
		return 0
	}
	return revisions[0]
}

func (w *world) generate(ctx context.Context, r GenerateRequest) (Generation, error) {
	w.mu.Lock()
	w.runs++
	text := fmt.Sprintf("%v run %d", r.Sample, w.runs)
	n := 5 + w.rng.Intn(40)
	half := time.Duration(w.rng.Intn(generationSeconds*1000/2)) * time.Millisecond
	if w.rng.Float64() < 0.1 {
		half *= 6
	}
	w.mu.Unlock()
	from := len(r.Prefix)
	spans := r.PrefixSpans
	for _, part := range []int{n / 2, n - n/2} {
		version := w.currentVersion()
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
	case w.chance(w.generationFails):
		return Generation{}, &GenerateError{Target: "x", Cause: errors.New("target died")}
	case w.chance(w.unattributable):
		return Generation{}, &GenerateError{Reason: sillattribution.EngineRestarted}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.truth[text] = spans
	return Generation{Text: text, TokenIDs: make([]int, from), Spans: spans, FinishReason: "stop"}, nil
}

func (w *world) scoreSample(context.Context, Spec, ScoreCommand) (float64, error) {
	time.Sleep(time.Second)
	if w.chance(w.score) {
		return 0, errors.New("scorer slow")
	}
	return 0.5, nil
}

// guard returns the lease of a new owner; the lease row makes older ones' writes fail.
func (w *world) guard(epoch sillid.Epoch) silllease.Guard {
	w.mu.Lock()
	defer w.mu.Unlock()
	revision := w.commitSteady(leaseKey, encode(epoch))
	return silllease.Guard{
		Epoch: epoch, MayAct: func(time.Time) bool { return true },
		Check: silltable.Check{Key: leaseKey, Revision: revision},
	}
}

func (w *world) task() *Task {
	return NewTask(TaskConfig{
		Ledger: w.ledger, Generate: w.generate, Scorers: []ScoreFunc{w.scoreSample, w.scoreSample},
		Load:   func(sillid.ModelID) Load { return Load{Slots: w.slots, Free: w.slots, TokensPerSecond: 5} },
		Policy: Policy{LongestFirst: true, HoldPredictedStale: true, Straggler: w.straggler},
	}, Shard("t"))
}

// own runs the two owners one after the other, or side by side.
func (w *world) own(g *sillgroup.Group) {
	first, kill := context.WithCancel(g.Context())
	g.Go(func(context.Context) { w.task().Run(first, w.guard(1)) })
	g.Go(func(ctx context.Context) {
		sleep(ctx, w.ownerDies)
		kill()
	})
	g.Go(func(ctx context.Context) {
		sleep(ctx, w.ownerJoins)
		w.task().Run(ctx, w.guard(2))
	})
	g.Go(func(ctx context.Context) {
		for ctx.Err() == nil {
			w.move()
			sleep(ctx, w.publish)
		}
	})
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// train takes the batch as a trainer that keeps the last delivery-id with its samples.
func (w *world) train(ctx context.Context) map[sillid.SampleID]int {
	got := make(map[sillid.SampleID]int)
	seen := make(map[DeliveryID]string)
	for time.Since(w.started) < 50*time.Minute {
		sleep(ctx, time.Second)
		d, err := w.ledger.Next(ctx, worldOrganisation, "b", 0)
		if err != nil || w.chance(w.lostAnswers) {
			continue
		}
		if d.ID == "" {
			if d.Done {
				return got
			}
			continue
		}
		w.receive(d, seen, got)
		if w.chance(w.trainerDies) {
			sleep(ctx, 10*time.Second)
			continue
		}
		if err := w.ledger.Acknowledge(ctx, worldOrganisation, "b", d.ID); err == nil && d.Done {
			return got
		}
	}
	w.faults = append(w.faults, "batch never done")
	return got
}

func (w *world) receive(d Delivery, seen map[DeliveryID]string, got map[sillid.SampleID]int) {
	if before, ok := seen[d.ID]; ok {
		if before != string(d.Samples) {
			w.faults = append(w.faults, fmt.Sprintf("delivery %s changed", d.ID))
		}
		return
	}
	seen[d.ID] = string(d.Samples)
	var samples []Sample
	if err := json.Unmarshal(d.Samples, &samples); err != nil {
		w.faults = append(w.faults, err.Error())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	given, ok := w.givenAt[d.ID]
	if !ok {
		w.faults = append(w.faults, fmt.Sprintf("delivery %s given without a claim", d.ID))
		given = w.version
	}
	for _, s := range samples {
		got[s.ID]++
		if !reflect.DeepEqual(w.truth[s.Text], s.Spans) {
			w.faults = append(w.faults, fmt.Sprintf("%v: spans %v, truth %v", s.ID, s.Spans, w.truth[s.Text]))
		}
		if oldest, _ := sillattribution.Oldest(s.Spans); given > oldest+1 {
			w.faults = append(w.faults, fmt.Sprintf("%v: version %d given at %d", s.ID, oldest, given))
		}
	}
}

// play runs a scenario to the end of its batch and returns what went wrong.
func play(t *testing.T, sc scenario) []string {
	var faults []string
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, sc)
		g := sillgroup.New(t.Context())
		for w.ledger.Create(t.Context(), worldSpec()) != nil {
			time.Sleep(time.Second)
		}
		w.own(g)
		got := w.train(t.Context())
		g.Stop()
		for i := range worldSpec().Prompts {
			for j := range worldSpec().GroupSize {
				id := sillid.SampleID{Batch: "b", Group: i, Index: j}
				if got[id] != 1 {
					w.faults = append(w.faults, fmt.Sprintf("%v delivered %d times", id, got[id]))
				}
			}
		}
		faults = w.faults
	})
	return faults
}

func TestOnce(t *testing.T) {
	calm := scenario{seed: 1, ownerDies: time.Hour, ownerJoins: time.Hour, publish: time.Minute}
	tests := []struct {
		name   string
		change func(*scenario)
	}{
		{"calm", func(*scenario) {}},
		{"owner dies early", func(s *scenario) { s.ownerDies, s.ownerJoins = 5*time.Second, 8*time.Second }},
		{"owner dies while it delivers", func(s *scenario) { s.ownerDies, s.ownerJoins = 40*time.Second, 45*time.Second }},
		{"two owners", func(s *scenario) { s.ownerJoins = 2 * time.Second }},
		{"answers lost", func(s *scenario) { s.lost = 0.4 }},
		{"answers lost with two owners", func(s *scenario) { s.lost, s.ownerJoins = 0.4, 30*time.Second }},
		{"table refuses", func(s *scenario) { s.refused = 0.4 }},
		{"objects fail", func(s *scenario) { s.objects = 0.4 }},
		{"trainer restarts", func(s *scenario) { s.trainerDies, s.lostAnswers = 0.5, 0.3 }},
		{"versions move fast", func(s *scenario) { s.publish = 15 * time.Second }},
		{"generations fail", func(s *scenario) { s.generationFails, s.unattributable, s.score = 0.3, 0.2, 0.3 }},
		{"migration", func(s *scenario) { s.straggler = StragglerMigrate }},
		{"second run", func(s *scenario) { s.straggler = StragglerSecondAttempt }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sc := calm
			tt.change(&sc)
			for _, f := range play(t, sc) {
				t.Error(f)
			}
		})
	}
}

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
		if faults := play(t, sc); len(faults) > 0 {
			rt.Fatalf("%v", faults)
		}
	})
}
