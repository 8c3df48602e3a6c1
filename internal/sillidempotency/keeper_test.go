package sillidempotency

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// world holds a table, an agent and the gateways of one test.
type world struct {
	now     time.Time
	table   *sillmemtable.Table
	objects map[string][]byte
	// fate is what the agent knows; refused attempts never run.
	fate    map[sillid.AttemptID]Fate
	refused map[sillid.AttemptID]bool
	runs    int
	dead    map[sillid.GatewayID]bool
	names   int
}

func newWorld() *world {
	return &world{
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		table:   &sillmemtable.Table{},
		objects: make(map[string][]byte),
		fate:    make(map[sillid.AttemptID]Fate),
		refused: make(map[sillid.AttemptID]bool),
		dead:    make(map[sillid.GatewayID]bool),
	}
}

func (w *world) fresh(prefix string) string {
	w.names++
	return fmt.Sprint(prefix, w.names)
}

func (w *world) keeper() *Keeper {
	return NewKeeper(Config{
		Gateway: sillid.GatewayID(w.fresh("g")),
		Store:   w.table.Store(),
		Now:     func() time.Time { return w.now },
		Nonce:   func() string { return w.fresh("n") },
		IsAlive: func(g sillid.GatewayID) bool { return !w.dead[g] },
		LookUp:  w.lookUp,
		PutObject: func(_ context.Context, name string, body []byte) error {
			w.objects[name] = body
			return nil
		},
		GetObject: func(_ context.Context, name string) ([]byte, error) { return w.objects[name], nil },
		MaxInline: 10,
	})
}

var wholeAnswer = Answer{Status: 200, ContentType: "text/plain", Body: []byte("a body above the limit of a row")}

func (w *world) lookUp(_ context.Context, p Place) (Fate, Answer) {
	fate, ok := w.fate[p.Attempt]
	if !ok {
		w.refused[p.Attempt] = true
		return NeverCame, Answer{}
	}
	if fate == Finished {
		return Finished, wholeAnswer
	}
	return fate, Answer{}
}

// send lets the agent run an attempt, unless it was looked up before.
func (w *world) send(p Place, fate Fate) bool {
	if w.refused[p.Attempt] {
		return false
	}
	w.fate[p.Attempt] = fate
	w.runs++
	return true
}

func (w *world) request() Request {
	return Request{
		Organisation: "o",
		Key:          "k",
		Fingerprint:  "f",
		Place:        Place{Attempt: sillid.AttemptID(w.fresh("a")), Target: "t", Agent: "run"},
	}
}

func claim(t *testing.T, k *Keeper, r Request) *Claim {
	t.Helper()
	c, _, p := k.Claim(t.Context(), r)
	if c == nil {
		t.Fatalf("Claim() = %v, want a claim", p)
	}
	return c
}

func checkProblem(t *testing.T, k *Keeper, r Request, kind sillproblem.Kind, outcome sillproblem.Outcome) {
	t.Helper()
	c, a, p := k.Claim(t.Context(), r)
	if c != nil || a != nil || p == nil {
		t.Fatalf("Claim() = %v, %v; want the problem %s", c, a, kind)
	}
	if p.Kind != kind || p.Outcome != outcome {
		t.Errorf("Claim() = %s, %s; want %s, %s", p.Kind, p.Outcome, kind, outcome)
	}
}

func checkAnswer(t *testing.T, k *Keeper, r Request) {
	t.Helper()
	_, a, p := k.Claim(t.Context(), r)
	if a == nil {
		t.Fatalf("Claim() = %v, want the stored answer", p)
	}
	if a.Status != wholeAnswer.Status || string(a.Body) != string(wholeAnswer.Body) {
		t.Errorf("answer %d %q, want %d %q", a.Status, a.Body, wholeAnswer.Status, wholeAnswer.Body)
	}
}

func TestSecondCaller(t *testing.T) {
	const unknownOutcome, notRun = sillproblem.OutcomeUnknown, sillproblem.NotRun
	t.Run("while it runs", func(t *testing.T) {
		w := newWorld()
		claim(t, w.keeper(), w.request())
		checkProblem(t, w.keeper(), w.request(), sillproblem.RepeatRunning, unknownOutcome)
	})
	t.Run("after it ran", func(t *testing.T) {
		w := newWorld()
		claim(t, w.keeper(), w.request()).Finish(t.Context(), wholeAnswer)
		checkAnswer(t, w.keeper(), w.request())
	})
	t.Run("with another body", func(t *testing.T) {
		w := newWorld()
		claim(t, w.keeper(), w.request()).Finish(t.Context(), wholeAnswer)
		other := w.request()
		other.Fingerprint = "other"
		checkProblem(t, w.keeper(), other, sillproblem.RepeatMismatch, notRun)
	})
	t.Run("after it did not run", func(t *testing.T) {
		w := newWorld()
		claim(t, w.keeper(), w.request()).Release(t.Context())
		claim(t, w.keeper(), w.request())
	})
	t.Run("after its answer was lost", func(t *testing.T) {
		w := newWorld()
		claim(t, w.keeper(), w.request()).Lose(t.Context())
		checkProblem(t, w.keeper(), w.request(), sillproblem.RepeatUnknown, unknownOutcome)
	})
	t.Run("after the answer expired", func(t *testing.T) {
		w := newWorld()
		claim(t, w.keeper(), w.request()).Finish(t.Context(), wholeAnswer)
		w.now = w.now.Add(DefaultLifetime)
		claim(t, w.keeper(), w.request())
	})
}

func TestGatewayDied(t *testing.T) {
	for _, tc := range []struct {
		name string
		fate Fate
		want func(t *testing.T, w *world, r Request)
	}{
		{"before it sent", "", func(t *testing.T, w *world, r Request) {
			claim(t, w.keeper(), w.request())
			if w.send(r.Place, Finished) {
				t.Error("the agent ran an attempt that was looked up before it came")
			}
		}},
		{"while it ran", Running, func(t *testing.T, w *world, _ Request) {
			checkProblem(t, w.keeper(), w.request(), sillproblem.RepeatRunning, sillproblem.OutcomeUnknown)
		}},
		{"after it ran", Finished, func(t *testing.T, w *world, _ Request) {
			checkAnswer(t, w.keeper(), w.request())
		}},
		{"with its agent", Lost, func(t *testing.T, w *world, _ Request) {
			checkProblem(t, w.keeper(), w.request(), sillproblem.RepeatUnknown, sillproblem.OutcomeUnknown)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld()
			k := w.keeper()
			r := w.request()
			claim(t, k, r)
			if tc.fate != "" {
				w.send(r.Place, tc.fate)
			}
			w.dead[k.cfg.Gateway] = true
			tc.want(t, w, r)
		})
	}
}

func TestStoreFaults(t *testing.T) {
	t.Run("away at the claim", func(t *testing.T) {
		w := newWorld()
		w.table.Fault = func(context.Context, string) error { return silltable.ErrUnavailable }
		checkProblem(t, w.keeper(), w.request(), sillproblem.StoreUnavailable, sillproblem.NotRun)
	})
	t.Run("answer of the claim lost", func(t *testing.T) {
		w := newWorld()
		w.table.Fault = func(_ context.Context, call string) error {
			if call == "commit-answer" {
				return silltable.ErrUnknown
			}
			return nil
		}
		k := w.keeper()
		c := claim(t, k, w.request())
		c.Finish(t.Context(), wholeAnswer)
		k.Settle(t.Context())
		checkAnswer(t, k, w.request())
	})
	t.Run("away at the end", func(t *testing.T) {
		w := newWorld()
		k := w.keeper()
		c := claim(t, k, w.request())
		w.table.Fault = func(context.Context, string) error { return silltable.ErrUnavailable }
		c.Finish(t.Context(), wholeAnswer)
		w.table.Fault = nil
		k.Settle(t.Context())
		checkAnswer(t, w.keeper(), w.request())
	})
}

func TestMoveAfterTakeover(t *testing.T) {
	w := newWorld()
	k := w.keeper()
	paused := claim(t, k, w.request())
	w.dead[k.cfg.Gateway] = true
	claim(t, w.keeper(), w.request())
	if p := paused.Move(t.Context(), w.request().Place); p == nil {
		t.Error("Move() let a holder send after another one took the claim")
	}
}

func TestSweep(t *testing.T) {
	w := newWorld()
	k := w.keeper()
	claim(t, k, w.request()).Finish(t.Context(), wholeAnswer)
	w.now = w.now.Add(DefaultLifetime)
	kept := w.request()
	kept.Key = "kept"
	claim(t, k, kept)
	if _, err := k.Sweep(t.Context(), ""); err != nil {
		t.Fatal(err)
	}
	rows, _ := w.table.Store().ListAll(t.Context(), prefix)
	if len(rows) != 1 || rows[0].Key != rowKey("o", "kept") {
		t.Errorf("%d rows after Sweep, want the one that is in force", len(rows))
	}
}

// player is a gateway with the claims that it has not sent for yet.
type player struct {
	keeper *Keeper
	claims []*Claim
}

// A request with a key runs at most once, whatever the store, the gateways and
// their view of each other do.
func TestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.table.Fault = func(_ context.Context, call string) error {
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				if call == "commit-answer" {
					return silltable.ErrUnknown
				}
				return silltable.ErrUnavailable
			case 1:
				if call == "commit" {
					return silltable.ErrUnknown
				}
			}
			return nil
		}
		players := []*player{{keeper: w.keeper()}, {keeper: w.keeper()}}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			p := players[rapid.IntRange(0, 1).Draw(t, "player")]
			step(t, w, p)
			if w.runs > 1 {
				t.Fatalf("the request ran %d times", w.runs)
			}
		}
	})
}

func step(t *rapid.T, w *world, p *player) {
	ctx := context.Background()
	if len(p.claims) == 0 {
		c, _, problem := p.keeper.Claim(ctx, w.request())
		if c != nil {
			p.claims = append(p.claims, c)
		}
		if problem != nil && problem.Kind == sillproblem.Internal {
			t.Fatal(problem)
		}
		return
	}
	c := p.claims[0]
	switch rapid.IntRange(0, 6).Draw(t, "step") {
	case 0:
		// The other player takes this one for dead, rightly or not.
		w.dead[p.keeper.cfg.Gateway] = true
	case 1:
		w.dead[p.keeper.cfg.Gateway] = true
		p.keeper, p.claims = w.keeper(), nil
	case 2:
		p.claims = nil
		c.Release(ctx)
	case 3:
		// An attempt that surely did not run is tried elsewhere.
		if problem := c.Move(ctx, w.request().Place); problem != nil {
			p.claims = nil
			c.Release(ctx)
		}
	case 4:
		p.claims = nil
		if w.send(c.row.Place, Finished) {
			c.Finish(ctx, wholeAnswer)
		}
	case 5:
		p.claims = nil
		if w.send(c.row.Place, Lost) {
			c.Lose(ctx)
		}
	case 6:
		p.keeper.Settle(ctx)
	}
}

var errObject = errors.New("no object")

func TestAnswerThatCannotBeKept(t *testing.T) {
	w := newWorld()
	k := w.keeper()
	k.cfg.PutObject = func(context.Context, string, []byte) error { return errObject }
	r := w.request()
	c := claim(t, k, r)
	w.send(r.Place, Finished)
	c.Finish(t.Context(), wholeAnswer)
	checkAnswer(t, k, w.request())
}
