package silltrainer

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

func newConfig() Config {
	return Config{
		Organisation: func(r *http.Request) sillid.OrganisationID {
			return sillid.OrganisationID(r.Header.Get("Test-Organisation"))
		},
		Trainers: func() []sillbundle.Trainer {
			return []sillbundle.Trainer{
				{ID: "t1", Organisation: "o1", Model: "m1", StalenessBound: 2, Weight: 3},
				{ID: "t2", Organisation: "o2", Model: "m2", Weight: 1},
			}
		},
		Create: func(context.Context, sillrollout.Spec) error { return nil },
		Next: func(context.Context, sillid.OrganisationID, sillid.BatchID, int) (sillrollout.Delivery, error) {
			return sillrollout.Delivery{}, nil
		},
		Acknowledge: func(context.Context, sillid.OrganisationID, sillid.BatchID, sillrollout.DeliveryID) error {
			return nil
		},
		Publish:      func(context.Context, sillid.ModelID, sillid.WeightVersion) error { return nil },
		PollInterval: time.Millisecond,
	}
}

func call(cfg Config, method, path, body string) *httptest.ResponseRecorder {
	r := mux.NewRouter()
	Register(r, cfg)
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Test-Organisation", "o1")
	w := httptest.NewRecorder()
	r.ServeHTTP(w, req)
	return w
}

type problem struct {
	Kind   sillproblem.Kind `json:"kind"`
	Detail string           `json:"detail"`
}

func wantProblem(t *testing.T, w *httptest.ResponseRecorder, kind sillproblem.Kind, detail string) {
	t.Helper()
	var p problem
	if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
		t.Fatalf("body %q: %v", w.Body, err)
	}
	if p.Kind != kind || !strings.HasPrefix(p.Detail, detail) {
		t.Errorf("problem = %+v, want kind %s and detail %q…", p, kind, detail)
	}
}

const goodBatch = `{"batch-id":"b1","trainer":"t1","groups":[{"prompt":"p"}],"group-size":4,` +
	`"max-tokens":100,"deadline-seconds":300,"partial":"drop"}`

func TestMalformed(t *testing.T) {
	tests := []struct {
		name, method, path, body, detail string
	}{
		{"no JSON", "POST", "/v1/rollouts", "{", "body:"},
		{"batch-id", "POST", "/v1/rollouts", strings.Replace(goodBatch, `"b1"`, `"a/b"`, 1), "batch-id:"},
		{"batch-id long", "POST", "/v1/rollouts", strings.Replace(goodBatch, "b1", strings.Repeat("x", 129), 1), "batch-id:"},
		{"foreign trainer", "POST", "/v1/rollouts", strings.Replace(goodBatch, "t1", "t2", 1), "trainer:"},
		{"no trainer", "POST", "/v1/rollouts", strings.Replace(goodBatch, "t1", "", 1), "trainer:"},
		{"no groups", "POST", "/v1/rollouts", strings.Replace(goodBatch, `{"prompt":"p"}`, "", 1), "groups:"},
		{"no prompt", "POST", "/v1/rollouts", strings.Replace(goodBatch, `"p"`, `""`, 1), "groups[0].prompt:"},
		{"group-size", "POST", "/v1/rollouts", strings.Replace(goodBatch, `:4`, `:0`, 1), "group-size:"},
		{"group-size type", "POST", "/v1/rollouts", strings.Replace(goodBatch, `:4`, `:"4"`, 1), "group-size:"},
		{"max-tokens", "POST", "/v1/rollouts", strings.Replace(goodBatch, `:100`, `:-1`, 1), "max-tokens:"},
		{"deadline", "POST", "/v1/rollouts", strings.Replace(goodBatch, `:300`, `:0`, 1), "deadline-seconds:"},
		{"partial", "POST", "/v1/rollouts", strings.Replace(goodBatch, "drop", "some", 1), "partial:"},
		{"max", "GET", "/v1/rollouts/b1/samples?max=x", "", "max:"},
		{"wait", "GET", "/v1/rollouts/b1/samples?wait-seconds=61", "", "wait-seconds:"},
		{"ack", "POST", "/v1/rollouts/b1/acks", "{}", "delivery-id:"},
		{"version", "POST", "/v1/weights", `{"model":"m1"}`, "version:"},
		{"foreign model", "POST", "/v1/weights", `{"model":"m2","version":2}`, "model:"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			wantProblem(t, call(newConfig(), tt.method, tt.path, tt.body), sillproblem.BadRequest, tt.detail)
		})
	}
}

func TestErrors(t *testing.T) {
	tests := []struct {
		name string
		err  error
		want sillproblem.Kind
	}{
		{"taken", sillrollout.ErrBatchIDTaken, sillproblem.Duplicate},
		{"unavailable", silltable.ErrUnavailable, sillproblem.StoreUnavailable},
		{"unknown", silltable.ErrUnknown, sillproblem.StoreUnavailable},
		{"other", http.ErrAbortHandler, sillproblem.Internal},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := newConfig()
			cfg.Create = func(context.Context, sillrollout.Spec) error { return tt.err }
			wantProblem(t, call(cfg, "POST", "/v1/rollouts", goodBatch), tt.want, "")
		})
	}
}

func TestCalls(t *testing.T) {
	cfg := newConfig()
	var got sillrollout.Spec
	cfg.Create = func(_ context.Context, spec sillrollout.Spec) error { got = spec; return nil }
	calls := 0
	cfg.Next = func(context.Context, sillid.OrganisationID, sillid.BatchID, int) (sillrollout.Delivery, error) {
		calls++
		if calls < 3 {
			return sillrollout.Delivery{}, silltable.ErrUnknown
		}
		return sillrollout.Delivery{ID: "d", Samples: json.RawMessage(`[{"a":1}]`), Count: 1}, nil
	}
	tests := []struct {
		name, method, path, body string
		status                   int
		want                     string
	}{
		{"create", "POST", "/v1/rollouts", goodBatch, 202, `{"batch-id":"b1"}`},
		{"samples after lost responses", "GET", "/v1/rollouts/b1/samples?wait-seconds=10", "", 200, `{"delivery-id":"d","samples":[{"a":1}],"done":false}`},
		{"ack", "POST", "/v1/rollouts/b1/acks", `{"delivery-id":"d"}`, 200, `{"delivery-id":"d"}`},
		{"weights", "POST", "/v1/weights", `{"model":"m1","version":2}`, 202, `{"model":"m1","version":2}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := call(cfg, tt.method, tt.path, tt.body)
			if body := strings.TrimSpace(w.Body.String()); w.Code != tt.status || body != tt.want {
				t.Errorf("response = %d %s, want %d %s", w.Code, body, tt.status, tt.want)
			}
		})
	}
	if got.Organisation != "o1" || got.Model != "m1" || got.StalenessBound != 2 || got.Weight != 3 {
		t.Errorf("spec = %+v, want the trainer's settings", got)
	}
}
