package sillstandengine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Actions of an order.
const (
	actionLoadWeights = "load-weights"
	actionLoadAdapter = "load-adapter"
	actionSetRole     = "set-role"
)

type orderRequest struct {
	OrderID       string               `json:"order-id"`
	FencingNumber sillid.Epoch         `json:"fencing-number"`
	Action        string               `json:"action"`
	Model         sillid.ModelID       `json:"model"`
	Version       sillid.WeightVersion `json:"version"`
	URL           string               `json:"url"`
	Role          string               `json:"role"`
}

type orderAnswer struct {
	EngineID sillid.EngineID      `json:"engine-id"`
	Model    sillid.ModelID       `json:"model"`
	Version  sillid.WeightVersion `json:"version"`
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o orderRequest
	if err := sillstandin.Decode(r, &o); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.orderMu.Lock()
	defer e.orderMu.Unlock()
	if !e.admitFencing(o.FencingNumber) {
		refuse(w, http.StatusConflict, "fencing number is old: another process gives the orders")
		return
	}
	if err := e.carryOut(r.Context(), o); err != nil {
		refuse(w, http.StatusInternalServerError, err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	sillstandin.Answer(w, http.StatusOK, orderAnswer{EngineID: e.id, Model: e.model, Version: e.version})
}

// admitFencing keeps the highest fencing number seen.
func (e *Engine) admitFencing(n sillid.Epoch) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.CheckFencing && n < e.fencing {
		return false
	}
	e.fencing = max(e.fencing, n)
	return true
}

func (e *Engine) carryOut(ctx context.Context, o orderRequest) error {
	switch o.Action {
	case actionLoadWeights, actionLoadAdapter:
		return e.loadWeights(ctx, o)
	case actionSetRole:
		e.mu.Lock()
		defer e.mu.Unlock()
		e.role = o.Role
		return nil
	}
	return eris.Errorf("sillstandengine.carryOut: unknown action %q", o.Action)
}

// loadWeights swaps the version while generations run on: the next token after
// the swap is made by the new version. The order takes effect even if its
// sender left, unless the engine crashed meanwhile.
func (e *Engine) loadWeights(ctx context.Context, o orderRequest) error {
	f := e.Panel.Get(areaOrders)
	life := e.ID()
	ctx = context.WithoutCancel(ctx)
	if o.URL != "" {
		if err := e.cfg.Fetch(ctx, o.URL); err != nil {
			return eris.Wrap(err, "sillstandengine.loadWeights: fetch")
		}
	}
	time.Sleep(e.cfg.SwapTime)
	if f.FailLoad {
		return eris.New("sillstandengine.loadWeights: failed by a fault of the stand-in")
	}
	e.mu.Lock()
	if e.id != life {
		e.mu.Unlock()
		return eris.New("sillstandengine.loadWeights: the engine crashed during the load")
	}
	if o.Action == actionLoadWeights {
		e.model = o.Model
	}
	e.version = o.Version
	e.load.add(e.loadNow(time.Now()))
	e.mu.Unlock()
	if f.HalfLoad {
		return eris.New("sillstandengine.loadWeights: failed after the swap by a fault of the stand-in")
	}
	return nil
}

// fetchTimeout bounds a download of weights.
const fetchTimeout = 30 * time.Second

func fetchHTTP(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("weight store answered %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}
