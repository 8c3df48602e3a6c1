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

// pause advances the time of the synctest bubble and waits until every goroutine is
// blocked.
func pause(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// harness is a Runner of a single target with a simulated engine and weight store.
type harness struct {
	runner *Runner
	// mu guards engine.
	mu     sync.Mutex
	engine Engine
	// fetch simulates the weight store, load the engine.
	fetch func(version sillid.WeightVersion) ([]byte, error)
	load  func(version sillid.WeightVersion) error
	loads atomic.Int32
	reads atomic.Int32
	out   bool
}

// withHarness runs a test with a started Runner in a synctest bubble, which has its own
// clock.
func withHarness(t *testing.T, test func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{engine: Engine{ID: "engine-1", Version: 1}}
		h.fetch = func(sillid.WeightVersion) ([]byte, error) { return []byte("weights"), nil }
		h.load = func(sillid.WeightVersion) error { return nil }
		h.runner = New(Config{
			Weight: sillweight.Config{Target: "t", Retries: 1, RetryDelay: time.Second, StatusPollInterval: time.Second},
			Engine: func() (Engine, bool) {
				e := h.loaded()
				return e, e.ID != ""
			},
			FetchStore: func(_ context.Context, _ sillid.ModelID, v sillid.WeightVersion) ([]byte, error) {
				h.reads.Add(1)
				return h.fetch(v)
			},
			Load: func(_ context.Context, _ sillid.ModelID, v sillid.WeightVersion) error {
				h.loads.Add(1)
				err := h.load(v)
				if err == nil {
					h.set(Engine{ID: h.loaded().ID, Version: v})
				}
				return err
			},
			FetchPeer: func(context.Context, string, *sillwire.FetchWeights) ([]byte, error) {
				return nil, errNotHeld
			},
			Exchange: func(context.Context, string, *sillwire.WeightStatus) (*sillwire.WeightStatus, error) {
				return nil, errors.New("no response")
			},
			SetOutOfService: func(out bool) { h.out = out },
			HoldTime:        time.Minute,
			Metrics:         NewMetrics(prometheus.NewRegistry()),
			Log:             zap.NewNop(),
			Now:             time.Now,
		})
		h.runner.Start(t.Context())
		defer h.runner.Stop()
		test(t, h)
	})
}

func (h *harness) loaded() Engine {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.engine
}

func (h *harness) set(e Engine) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.engine = e
}

func (h *harness) adopt(version sillid.WeightVersion, hash string) {
	h.runner.AdoptPlan(sillweight.Plan{Model: "m", Version: version, Hash: hash, Groups: 1, Members: []sillweight.Member{{Target: "t"}}})
}

func (h *harness) get(version string) int {
	w := httptest.NewRecorder()
	h.runner.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/weights/m/"+version, http.NoBody))
	return w.Code
}

func assertInt(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: %d, want %d", what, got, want)
	}
}

// TestLoadsAfterReportedOutOfService requests a target's status before its engine is
// known. From then on its group counts it as out of service and ignores every state up
// to the end of its load, so the target must load without waiting for the others.
func TestLoadsAfterReportedOutOfService(t *testing.T) {
	withHarness(t, func(t *testing.T, h *harness) {
		engine := h.loaded()
		h.set(Engine{})
		h.runner.AdoptPlan(sillweight.Plan{Model: "m", Version: 2, Groups: 1, MaxFailedPerGroup: 1, Members: []sillweight.Member{
			{Target: "first"}, {Target: "t"}, {Target: "last"},
		}})
		ask := &sillwire.WeightStatus{Target: "first", Model: "m", Version: 2, State: string(sillweight.Waiting)}
		if got := h.runner.HandleStatus(ask).State; got != string(sillweight.OutOfService) {
			t.Fatalf("status without an engine %q", got)
		}
		h.set(engine)
		pause(3 * time.Second)
		assertInt(t, "version", int(h.loaded().Version), 2)
		if got := h.runner.HandleStatus(ask).State; got != string(sillweight.Done) {
			t.Errorf("status %q, want done", got)
		}
	})
}

func TestRunner(t *testing.T) {
	t.Run("weights are held for the engine and dropped after the hold time", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.adopt(2, "")
			pause(time.Second)
			assertInt(t, "version", int(h.loaded().Version), 2)
			assertInt(t, "status of the held version", h.get("2"), http.StatusOK)
			assertInt(t, "status of another version", h.get("1"), http.StatusNotFound)
			pause(2 * time.Minute)
			assertInt(t, "status after the hold", h.get("2"), http.StatusNotFound)
		})
	})
	t.Run("the store's rate limit is kept", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.fetch = func(sillid.WeightVersion) ([]byte, error) {
				return nil, &sillweightstore.RateLimitError{RetryAfter: 10 * time.Second}
			}
			h.adopt(2, "")
			pause(10 * time.Second)
			assertInt(t, "reads", int(h.reads.Load()), 1)
			pause(2 * time.Second)
			assertInt(t, "reads", int(h.reads.Load()), 2)
		})
	})
	t.Run("weights that differ from the hash are not loaded", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.adopt(2, "00")
			pause(5 * time.Second)
			assertInt(t, "loads", int(h.loads.Load()), 0)
		})
	})
	t.Run("a failed load is retried, then the target is taken out of service", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.load = func(v sillid.WeightVersion) error {
				if v == 2 {
					return errors.New("test")
				}
				return nil
			}
			h.adopt(2, "")
			pause(10 * time.Second)
			assertInt(t, "loads", int(h.loads.Load()), 2)
			if !h.out {
				t.Error("the target serves")
			}
			h.adopt(3, "")
			pause(time.Second)
			if h.out {
				t.Error("the target does not serve after the next version")
			}
		})
	})
	t.Run("a new run of the engine loads again", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.adopt(2, "")
			pause(time.Second)
			h.set(Engine{ID: "engine-2", Version: 1})
			pause(time.Second)
			assertInt(t, "version", int(h.loaded().Version), 2)
		})
	})
	t.Run("a target without an engine reports out of service", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.set(Engine{})
			h.adopt(2, "")
			got := h.runner.HandleStatus(&sillwire.WeightStatus{Target: "other", Model: "m", Version: 2, State: string(sillweight.Waiting)})
			if got.State != string(sillweight.OutOfService) || got.Version != 2 {
				t.Errorf("status %+v, want out with version 2", got)
			}
		})
	})
}

func TestSend(t *testing.T) {
	send := func(t *testing.T, h *harness, version sillid.WeightVersion) ([]byte, error) {
		var stream bytes.Buffer
		if err := h.runner.SendWeights(t.Context(), &sillwire.FetchWeights{Model: "m", Version: version}, &stream); err != nil {
			t.Fatal(err)
		}
		return readWeights(&stream)
	}
	t.Run("waits for weights that are fetched later", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			time.AfterFunc(5*time.Second, func() { h.adopt(2, "") })
			data, err := send(t, h, 2)
			if err != nil || string(data) != "weights" {
				t.Errorf("got %q, %v", data, err)
			}
		})
	})
	t.Run("an overtaken version is refused at once", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			h.adopt(3, "")
			pause(time.Second)
			before := time.Now()
			if _, err := send(t, h, 2); !errors.Is(err, errNotHeld) || time.Since(before) > 0 {
				t.Errorf("error %v after %v, want errNotHeld at once", err, time.Since(before))
			}
		})
	})
	t.Run("weights that are never fetched are refused after the wait timeout", func(t *testing.T) {
		withHarness(t, func(t *testing.T, h *harness) {
			if _, err := send(t, h, 2); !errors.Is(err, errNotHeld) {
				t.Errorf("error %v, want errNotHeld", err)
			}
		})
	})
	t.Run("a truncated response is an error", func(t *testing.T) {
		var stream bytes.Buffer
		_ = sillwire.Write(&stream, &sillwire.Chunk{Data: []byte("wei")})
		if _, err := readWeights(&stream); err == nil {
			t.Error("no error")
		}
		_ = sillwire.Write(&stream, &sillwire.Finish{Bytes: 5})
		if _, err := readWeights(&stream); err == nil {
			t.Error("no error for a response shorter than its finish message says")
		}
	})
}
