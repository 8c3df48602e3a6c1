package silltrainer

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

type batchResponse struct {
	Batch sillid.BatchID `json:"batch-id"`
}

func (h *handlers) create(r *http.Request) (reply, error) {
	var req createRequest
	if err := decode(r, &req); err != nil {
		return reply{}, err
	}
	if err := req.check(); err != nil {
		return reply{}, err
	}
	trainer, err := h.trainer(r, req.Trainer)
	if err != nil {
		return reply{}, err
	}
	spec := sillrollout.Spec{
		Batch:           req.Batch,
		Trainer:         trainer.ID,
		Organisation:    trainer.Organisation,
		Model:           trainer.Model,
		Prompts:         req.prompts(),
		GroupSize:       req.GroupSize,
		MaxTokens:       req.MaxTokens,
		DeadlineSeconds: req.DeadlineSeconds,
		Partial:         req.Partial,
		StalenessBound:  trainer.StalenessBound,
		Weight:          trainer.Weight,
	}
	if err := h.Create(r.Context(), spec); err != nil {
		return reply{}, err
	}
	return reply{status: http.StatusAccepted, body: batchResponse{Batch: req.Batch}}, nil
}

type samplesResponse struct {
	Delivery sillrollout.DeliveryID `json:"delivery-id"`
	Samples  json.RawMessage        `json:"samples"`
	Done     bool                   `json:"done"`
}

func (h *handlers) samples(r *http.Request) (reply, error) {
	limit, err := queryInt(r, "max", 0, maxSamples)
	if err != nil {
		return reply{}, err
	}
	wait, err := queryInt(r, "wait-seconds", 0, int(maxWait/time.Second))
	if err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Second)
	defer cancel()
	batch := sillid.BatchID(mux.Vars(r)["batch"])
	delivery, err := h.poll(ctx, r, batch, limit)
	if err != nil {
		return reply{}, err
	}
	if delivery.Samples == nil {
		delivery.Samples = json.RawMessage("[]")
	}
	response := samplesResponse{Delivery: delivery.ID, Samples: delivery.Samples, Done: delivery.Done}
	return reply{status: http.StatusOK, body: response}, nil
}

// poll requests the next delivery until there is one, the batch is done or wait is
// over. The calls use the request's context, so that the end of the wait cancels none
// of them.
func (h *handlers) poll(wait context.Context, r *http.Request, batch sillid.BatchID, limit int) (sillrollout.Delivery, error) {
	ticker := time.NewTicker(h.PollInterval)
	defer ticker.Stop()
	for {
		delivery, err := h.Next(r.Context(), h.Organisation(r), batch, limit)
		if err == nil && (delivery.ID != "" || delivery.Done) {
			return delivery, nil
		}
		if err != nil && !isTransient(err) {
			return delivery, err
		}
		select {
		case <-wait.Done():
			return delivery, err
		case <-ticker.C:
		}
	}
}

// isTransient reports whether the error is transient, so that the same call may succeed
// later.
func isTransient(err error) bool {
	return errors.Is(err, silltable.ErrConflict) || errors.Is(err, silltable.ErrUnknown) ||
		errors.Is(err, silltable.ErrUnavailable)
}

type ackRequest struct {
	Delivery sillrollout.DeliveryID `json:"delivery-id"`
}

type ackResponse struct {
	Delivery sillrollout.DeliveryID `json:"delivery-id"`
}

func (h *handlers) acknowledge(r *http.Request) (reply, error) {
	var req ackRequest
	if err := decode(r, &req); err != nil {
		return reply{}, err
	}
	if req.Delivery == "" {
		return reply{}, malformed("delivery-id", "is missing")
	}
	batch := sillid.BatchID(mux.Vars(r)["batch"])
	if err := h.Acknowledge(r.Context(), h.Organisation(r), batch, req.Delivery); err != nil {
		return reply{}, err
	}
	return reply{status: http.StatusOK, body: ackResponse(req)}, nil
}

type weightsRequest struct {
	Model   sillid.ModelID       `json:"model"`
	Version sillid.WeightVersion `json:"version"`
}

func (h *handlers) publish(r *http.Request) (reply, error) {
	var req weightsRequest
	if err := decode(r, &req); err != nil {
		return reply{}, err
	}
	if req.Version == 0 {
		return reply{}, malformed("version", "must be at least 1")
	}
	if !h.trains(r, req.Model) {
		return reply{}, malformed("model", "is trained by no trainer of the organisation")
	}
	if err := h.Publish(r.Context(), req.Model, req.Version); err != nil {
		return reply{}, err
	}
	return reply{status: http.StatusAccepted, body: req}, nil
}

// problemOf returns the problem document for an error. A trainer may repeat any call
// with the same content.
func problemOf(err error) *sillproblem.Problem {
	switch {
	case errors.Is(err, sillrollout.ErrBatchIDTaken):
		return sillproblem.New(sillproblem.Duplicate, "batch-id: taken by other content")
	case errors.Is(err, sillrollout.ErrUnknownBatch):
		return sillproblem.New(sillproblem.NotFound, "batch: no such batch of the organisation")
	case errors.Is(err, sillrollout.ErrUnknownDelivery):
		return sillproblem.New(sillproblem.NotFound, "delivery-id: no such delivery was given")
	case errors.Is(err, sillrollout.ErrDeliveryTooLarge):
		return malformed("max", "is below the size of the next delivery")
	case errors.Is(err, silltable.ErrUnavailable):
		return sillproblem.New(sillproblem.StoreUnavailable, "").WithRetryAfter(retryAfter)
	case errors.Is(err, silltable.ErrConflict):
		return sillproblem.New(sillproblem.StoreUnavailable, "another process changed the row").WithRetryAfter(retryAfter)
	case errors.Is(err, silltable.ErrUnknown):
		return sillproblem.New(sillproblem.StoreUnavailable, "the answer was lost").
			WithOutcome(sillproblem.OutcomeUnknown).WithRetryAfter(retryAfter)
	default:
		return sillproblem.From(err)
	}
}
