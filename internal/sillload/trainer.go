package sillload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// modelVersion is the newest published weight version.
type modelVersion struct {
	atomic.Uint64
}

// trainer requests batches, trains on the samples and publishes weights.
type trainer struct {
	Trainer
	deployment *Deployment
	model      sillid.ModelID
	client     *http.Client
	version    *modelVersion
	// run makes the batches of one run differ from those of another.
	run string
	// gotSample, gotBatch and failed take what happened.
	gotSample func(sillreport.Sample)
	gotBatch  func(sillreport.Batch)
	failed    func(error)

	deliveries int
	seen       map[string]bool
	// busyUntil is the time until which the trainer has work.
	busyUntil time.Time
	// publishAt is when the batch in training is through; zero if none is.
	publishAt time.Time
}

// Waits of a trainer.
const (
	pollSeconds  = 2
	samplesAtOne = 64
	refusedPause = time.Second
	trainerRetry = 300 * time.Millisecond
	trainerCall  = 10 * time.Second
	afterLate    = 15 * time.Second
)

type groupBody struct {
	Prompt string `json:"prompt"`
}

type rolloutBody struct {
	BatchID         sillid.BatchID   `json:"batch-id"`
	Trainer         sillid.TrainerID `json:"trainer"`
	Groups          []groupBody      `json:"groups"`
	GroupSize       int              `json:"group-size"`
	MaxTokens       int              `json:"max-tokens"`
	DeadlineSeconds int              `json:"deadline-seconds"`
	Partial         string           `json:"partial"`
}

type weightsBody struct {
	Model   sillid.ModelID `json:"model"`
	Version uint64         `json:"version"`
}

type ackBody struct {
	Delivery string `json:"delivery-id"`
}

type sampleAnswer struct {
	SampleID sillid.SampleID   `json:"sample-id"`
	Prompt   string            `json:"prompt"`
	TokenIDs []int             `json:"token-ids"`
	Spans    []sillreport.Span `json:"weight-spans"`
}

type samplesAnswer struct {
	Delivery string            `json:"delivery-id"`
	Samples  []json.RawMessage `json:"samples"`
	Done     bool              `json:"done"`
}

// work requests one batch after the other until a time, and finishes the last one.
func (t *trainer) work(ctx context.Context, until time.Time) {
	t.seen = map[string]bool{}
	t.busyUntil = time.Now()
	for n := 1; time.Now().Before(until) && ctx.Err() == nil; n++ {
		b := t.batch(ctx, n)
		t.gotBatch(b)
		t.publishAt = t.busyUntil
		t.publish(ctx)
	}
}

// samplePromptPrefix begins the prompts of a trainer's groups, so that runs of
// samples can be told from others.
func samplePromptPrefix(id sillid.TrainerID) string {
	return fmt.Sprintf("write one line for batch %s-", id)
}

// samplePrompt is the prompt of a group. No other group has the same.
func (t *trainer) samplePrompt(number, group int) string {
	return fmt.Sprintf("%s%s-%d group-%d", samplePromptPrefix(t.ID), t.run, number, group)
}

// batch requests one batch and takes its samples until it is done. The time of
// a batch that was refused counts as idle.
func (t *trainer) batch(ctx context.Context, number int) sillreport.Batch {
	id := sillid.BatchID(fmt.Sprintf("%s-%s-%d", t.ID, t.run, number))
	start := time.Now()
	deadline := start.Add(time.Duration(t.DeadlineSeconds) * time.Second)
	b := sillreport.Batch{
		Trainer: t.ID, Batch: id, Asked: t.Groups * t.GroupSize,
		Start: start.UnixMilli(), Deadline: deadline.UnixMilli(),
	}
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(afterLate))
	defer cancel()
	body := rolloutBody{
		BatchID: id, Trainer: t.ID, GroupSize: t.GroupSize, MaxTokens: t.MaxTokens,
		DeadlineSeconds: t.DeadlineSeconds, Partial: t.Partial,
	}
	for g := range t.Groups {
		body.Groups = append(body.Groups, groupBody{Prompt: t.samplePrompt(number, g)})
	}
	if t.insist(ctx, http.MethodPost, "/v1/rollouts", body, nil) {
		t.takeAll(ctx, &b)
	} else {
		sleep(ctx, refusedPause)
	}
	now := time.Now()
	t.idle(&b, start, now)
	b.Done = now.UnixMilli()
	return b
}

// idle adds the time between the end of the trainer's work and now.
func (t *trainer) idle(b *sillreport.Batch, start, now time.Time) {
	from := t.busyUntil
	if start.After(from) {
		from = start
	}
	if now.After(from) {
		b.IdleMilliseconds += now.Sub(from).Milliseconds()
		t.busyUntil = now
	}
}

func (t *trainer) takeAll(ctx context.Context, b *sillreport.Batch) {
	path := fmt.Sprintf("/v1/rollouts/%s/samples?max=%d&wait-seconds=%d", b.Batch, samplesAtOne, pollSeconds)
	start := time.UnixMilli(b.Start)
	for ctx.Err() == nil {
		t.publish(ctx)
		current := sillid.WeightVersion(t.version.Load())
		var answer samplesAnswer
		if !t.insist(ctx, http.MethodGet, path, nil, &answer) {
			return
		}
		if len(answer.Samples) > 0 {
			t.idle(b, start, time.Now())
			t.take(ctx, b, &answer, current)
		}
		if answer.Done && len(answer.Samples) == 0 {
			b.Ended = true
			return
		}
	}
}

// take records a delivery and acknowledges it. A delivery seen before is not
// trained on again.
func (t *trainer) take(ctx context.Context, b *sillreport.Batch, answer *samplesAnswer, current sillid.WeightVersion) {
	again := t.seen[answer.Delivery]
	t.seen[answer.Delivery] = true
	if !again {
		t.deliveries++
	}
	skip := !again && t.SkipAckEvery > 0 && t.deliveries%t.SkipAckEvery == 0
	for _, raw := range answer.Samples {
		var s sampleAnswer
		if err := json.Unmarshal(raw, &s); err != nil {
			t.failed(eris.Wrap(err, "sillload.take"))
			continue
		}
		t.gotSample(sillreport.Sample{
			Trainer: t.ID, SampleID: s.SampleID, Delivery: answer.Delivery, Received: time.Now().UnixMilli(),
			Current: current, Bound: t.StalenessBound, Prompt: s.Prompt, Tokens: s.TokenIDs, Spans: s.Spans,
			Acked: !skip, ContentKey: hashOf(raw),
		})
		if !again {
			b.Delivered++
			t.busyUntil = t.busyUntil.Add(time.Duration(t.TrainMS) * time.Millisecond)
		}
	}
	if !skip {
		t.insist(ctx, http.MethodPost, fmt.Sprintf("/v1/rollouts/%s/acks", b.Batch), ackBody{answer.Delivery}, nil)
	}
}

// publish posts the next weight version once the trained batch is through.
func (t *trainer) publish(ctx context.Context) {
	if !t.Publishes || t.publishAt.IsZero() || time.Now().Before(t.publishAt) {
		return
	}
	next := t.version.Load() + 1
	if t.insist(ctx, http.MethodPost, "/v1/weights", weightsBody{t.model, next}, nil) {
		t.version.Store(next)
		t.publishAt = time.Time{}
	}
}

// insist repeats a call until it is answered; the trainer's calls may be
// repeated. It reports false if the call was refused for good or time ran out.
func (t *trainer) insist(ctx context.Context, method, path string, body, into any) bool {
	for i := 0; ctx.Err() == nil; i++ {
		gateway := t.deployment.Gateways[i%len(t.deployment.Gateways)]
		status, err := t.send(ctx, method, gateway+path, body, into)
		switch {
		case err == nil && status < http.StatusMultipleChoices:
			return true
		case err == nil && status == http.StatusConflict && path == "/v1/weights":
			// The version got through before; its answer was lost.
			return true
		case err == nil && status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			t.failed(eris.Errorf("sillload.insist: %s %s: status %d", method, path, status))
			return false
		}
		if !sleep(ctx, trainerRetry) {
			break
		}
	}
	t.failed(eris.Errorf("sillload.insist: %s %s: no answer in time", method, path))
	return false
}

func (t *trainer) send(ctx context.Context, method, url string, body, into any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, trainerCall)
	defer cancel()
	b, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	if body == nil {
		b = nil
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+t.deployment.Keys[t.Organisation])
	req.Header.Set("Content-Type", "application/json")
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil || into == nil || resp.StatusCode >= http.StatusMultipleChoices {
		return resp.StatusCode, err
	}
	return resp.StatusCode, json.Unmarshal(answer, into)
}
