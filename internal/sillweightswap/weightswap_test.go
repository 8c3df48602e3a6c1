package sillweightswap

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillweight"
	"github.com/wasabisill/wasabisill/internal/sillweightstore"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// pause lets time pass and every goroutine come to rest.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// bench is a runner of a single target with an engine that obeys.
type bench struct {
	runner *Runner
	// mu guards engine.
	mu     sync.Mutex
	engine Engine
	// fetch answers the weight store, load the engine.
	fetch func(version sillid.WeightVersion) ([]byte, error)
	load  func(version sillid.WeightVersion) error
	loads atomic.Int32
	reads atomic.Int32
	out   bool
}

// inBubble runs a test of a started runner in its own time.
func inBubble(t *testing.T, test func(t *testing.T, b *bench)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		b := &bench{engine: Engine{ID: "engine-1", Version: 1}}
		b.fetch = func(sillid.WeightVersion) ([]byte, error) { return []byte("weights"), nil }
		b.load = func(sillid.WeightVersion) error { return nil }
		b.runner = New(Config{
			Weight: sillweight.Config{Target: "t", Retries: 1, RetryDelay: time.Second, StatusPollInterval: time.Second},
			Engine: func() (Engine, bool) {
				e := b.loaded()
				return e, e.ID != ""
			},
			FetchStore: func(_ context.Context, _ sillid.ModelID, v sillid.WeightVersion) ([]byte, error) {
				b.reads.Add(1)
				return b.fetch(v)
			},
			Load: func(_ context.Context, _ sillid.ModelID, v sillid.WeightVersion) error {
				b.loads.Add(1)
				err := b.load(v)
				if err == nil {
					b.set(Engine{ID: b.loaded().ID, Version: v})
				}
				return err
			},
			FetchPeer: func(context.Context, string, *sillwire.FetchWeights) ([]byte, error) {
				return nil, errNotHeld
			},
			Exchange: func(context.Context, string, *sillwire.WeightStatus) (*sillwire.WeightStatus, error) {
				return nil, errors.New("no answer")
			},
			SetOutOfService: func(out bool) { b.out = out },
			HoldTime:        time.Minute,
			Metrics:         NewMetrics(prometheus.NewRegistry()),
			Log:             zap.NewNop(),
			Now:             time.Now,
		})
		b.runner.Start(t.Context())
		defer b.runner.Stop()
		test(t, b)
	})
}

func (b *bench) loaded() Engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.engine
}

func (b *bench) set(e Engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engine = e
}

func (b *bench) adopt(version sillid.WeightVersion, hash string) {
	b.runner.AdoptPlan(sillweight.Plan{Model: "m", Version: version, Hash: hash, Groups: 1, Members: []sillweight.Member{{Target: "t"}}})
}

func (b *bench) get(version string) int {
	w := httptest.NewRecorder()
	b.runner.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/weights/m/"+version, http.NoBody))
	return w.Code
}

func assertInt(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d, want %d", what, got, want)
	}
}

// TestToldOutStaysOut asks a target for its status before its engine is known.
// The group holds it to be out from then on, and hears of nothing earlier than
// the end of its load; so it must load without waiting for the others.
func TestToldOutStaysOut(t *testing.T) {
	inBubble(t, func(t *testing.T, b *bench) {
		engine := b.loaded()
		b.set(Engine{})
		b.runner.AdoptPlan(sillweight.Plan{Model: "m", Version: 2, Groups: 1, MaxFailedPerGroup: 1, Members: []sillweight.Member{
			{Target: "first"}, {Target: "t"}, {Target: "last"},
		}})
		ask := &sillwire.WeightStatus{Target: "first", Model: "m", Version: 2, State: string(sillweight.Waiting)}
		if got := b.runner.HandleStatus(ask).State; got != string(sillweight.OutOfService) {
			t.Fatalf("status without an engine %q", got)
		}
		b.set(engine)
		pause(3 * time.Second)
		assertInt(t, "version", int(b.loaded().Version), 2)
		if got := b.runner.HandleStatus(ask).State; got != string(sillweight.Done) {
			t.Errorf("status %q, want done", got)
		}
	})
}

func TestRunner(t *testing.T) {
	t.Run("weights are held for the engine, and dropped in the end", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.adopt(2, "")
			pause(time.Second)
			assertInt(t, "version", int(b.loaded().Version), 2)
			assertInt(t, "status of the held version", b.get("2"), http.StatusOK)
			assertInt(t, "status of another version", b.get("1"), http.StatusNotFound)
			pause(2 * time.Minute)
			assertInt(t, "status after the hold", b.get("2"), http.StatusNotFound)
		})
	})
	t.Run("the store's limit is kept", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.fetch = func(sillid.WeightVersion) ([]byte, error) {
				return nil, &sillweightstore.RateLimitError{RetryAfter: 10 * time.Second}
			}
			b.adopt(2, "")
			pause(10 * time.Second)
			assertInt(t, "reads", int(b.reads.Load()), 1)
			pause(2 * time.Second)
			assertInt(t, "reads", int(b.reads.Load()), 2)
		})
	})
	t.Run("weights that differ from the hash are not loaded", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.adopt(2, "00")
			pause(5 * time.Second)
			assertInt(t, "loads", int(b.loads.Load()), 0)
		})
	})
	t.Run("a load that fails is tried again, then the target is taken out", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.load = func(v sillid.WeightVersion) error {
				if v == 2 {
					return errors.New("test")
				}
				return nil
			}
			b.adopt(2, "")
			pause(10 * time.Second)
			assertInt(t, "loads", int(b.loads.Load()), 2)
			if !b.out {
				t.Error("the target serves")
			}
			b.adopt(3, "")
			pause(time.Second)
			if b.out {
				t.Error("the target does not serve after the next version")
			}
		})
	})
	t.Run("a new run of the engine loads again", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.adopt(2, "")
			pause(time.Second)
			b.set(Engine{ID: "engine-2", Version: 1})
			pause(time.Second)
			assertInt(t, "version", int(b.loaded().Version), 2)
		})
	})
	t.Run("a target without engine is out for its group", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.set(Engine{})
			b.adopt(2, "")
			got := b.runner.HandleStatus(&sillwire.WeightStatus{Target: "other", Model: "m", Version: 2, State: string(sillweight.Waiting)})
			if got.State != string(sillweight.OutOfService) || got.Version != 2 {
				t.Errorf("status %+v, want out with version 2", got)
			}
		})
	})
}

func TestSend(t *testing.T) {
	send := func(t *testing.T, b *bench, version sillid.WeightVersion) ([]byte, error) {
		var stream bytes.Buffer
		if err := b.runner.SendWeights(t.Context(), &sillwire.FetchWeights{Model: "m", Version: version}, &stream); err != nil {
			t.Fatal(err)
		}
		return readWeights(&stream)
	}
	t.Run("weights that come later are waited for", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			time.AfterFunc(5*time.Second, func() { b.adopt(2, "") })
			data, err := send(t, b, 2)
			if err != nil || string(data) != "weights" {
				t.Errorf("got %q, %v", data, err)
			}
		})
	})
	t.Run("an overtaken version is refused at once", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			b.adopt(3, "")
			pause(time.Second)
			before := time.Now()
			if _, err := send(t, b, 2); !errors.Is(err, errNotHeld) || time.Since(before) > 0 {
				t.Errorf("error %v after %v, want errNotHeld at once", err, time.Since(before))
			}
		})
	})
	t.Run("weights that never come are refused in the end", func(t *testing.T) {
		inBubble(t, func(t *testing.T, b *bench) {
			if _, err := send(t, b, 2); !errors.Is(err, errNotHeld) {
				t.Errorf("error %v, want errNotHeld", err)
			}
		})
	})
	t.Run("a cut answer is no weights", func(t *testing.T) {
		var stream bytes.Buffer
		_ = sillwire.Write(&stream, &sillwire.Chunk{Data: []byte("wei")})
		if _, err := readWeights(&stream); err == nil {
			t.Error("no error")
		}
		_ = sillwire.Write(&stream, &sillwire.Finish{Bytes: 5})
		if _, err := readWeights(&stream); err == nil {
			t.Error("no error for a short answer")
		}
	})
}
