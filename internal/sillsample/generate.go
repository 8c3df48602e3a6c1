// Package sillsample generates the samples of rollouts on the targets, with requests of
// the class rollout.
package sillsample

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/internal/sillroute"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// completionsPath is the path of generation requests at the engine.
const completionsPath = "/v1/completions"

// rolloutRoute is the route of rollouts in usage records.
const rolloutRoute sillid.RouteID = "rollout"

// partialTimeout bounds the wait for the partial result of an attempt that was stopped.
const partialTimeout = 2 * time.Second

// Config configures a Generator.
type Config struct {
	// Index returns the configuration in force; nil if there is none yet.
	Index    func() *sillbundle.Index
	Dispatch *silldispatch.Dispatcher
	Now      func() time.Time
}

// Generator runs generation attempts. It is safe for concurrent use.
type Generator struct {
	cfg Config
}

// New returns a generator.
func New(cfg Config) *Generator {
	return &Generator{cfg: cfg}
}

type completionBody struct {
	Model     sillid.ModelID `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens sillid.Tokens  `json:"max_tokens"`
}

// errNoModel is returned if the bundle in force lacks the model, the trainer or the
// organisation.
var errNoModel = errors.New("the bundle has no such model, trainer or organisation: roll out one that has")

// Generate runs one generation attempt. If ctx ends first, the attempt is stopped and the
// error holds the tokens generated until then. All errors are of type
// *sillrollout.GenerateError.
func (g *Generator) Generate(ctx context.Context, r sillrollout.GenerateRequest) (sillrollout.Generation, error) {
	request, err := g.request(r)
	if err != nil {
		return sillrollout.Generation{}, &sillrollout.GenerateError{Cause: err}
	}
	request.Stop = ctx.Done()
	// After ctx ends, the request goes on for up to partialTimeout, to return its partial
	// result.
	requestCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(partialTimeout, cancel) })
	defer stop()
	c := &collector{text: r.PrefixText, ids: append([]int32(nil), request.PrefixTokens...)}
	response, p := g.cfg.Dispatch.Do(requestCtx, request, c.sink())
	if p == nil {
		return c.finished(response)
	}
	failure := &sillrollout.GenerateError{Cause: p}
	if response != nil {
		failure.Target = response.Target
		failure.Partial = c.partial(response)
		if ctx.Err() != nil && response.Finish != nil {
			failure.Reason = sillattribution.Reason(response.Finish.Unattributable)
		}
	}
	return sillrollout.Generation{}, failure
}

func (g *Generator) request(r sillrollout.GenerateRequest) (*silldispatch.Request, error) {
	index := g.cfg.Index()
	if index == nil {
		return nil, errNoModel
	}
	model, trainer, organisation := index.Model(r.Model), index.Trainer(r.Trainer), index.Organisation(r.Organisation)
	if model == nil || trainer == nil || organisation == nil {
		return nil, errNoModel
	}
	body, err := json.Marshal(completionBody{Model: r.Model, Prompt: r.Prompt, MaxTokens: r.MaxTokens})
	if err != nil {
		return nil, eris.Wrap(err, "sillsample.request")
	}
	prompt, err := json.Marshal(r.Prompt)
	if err != nil {
		return nil, eris.Wrap(err, "sillsample.request")
	}
	return &silldispatch.Request{
		ID:            sillid.RequestID(sillid.Fresh("s")),
		Organisation:  r.Organisation,
		Weight:        organisation.Weight,
		Class:         sillwire.Rollout,
		Trainer:       r.Trainer,
		TrainerWeight: trainer.Weight,
		Priority:      r.Priority,
		Route:         rolloutRoute,
		Pool:          model.Pool,
		Model:         r.Model,
		Method:        "POST",
		Path:          completionsPath,
		Body:          body,
		Prefix:        sillroute.PrefixBlocks(prompt),
		Idempotent:    true,
		Deadline:      r.Deadline,
		Avoid:         r.AvoidTargets,
		PrefixTokens:  narrow(r.Prefix),
		PrefixSpans:   r.PrefixSpans,
		RequireSpans:  true,
		Fingerprint:   sillcrash.NewFingerprint(r.Organisation, "POST", completionsPath, body),
	}, nil
}

// collector collects the text and tokens of one attempt.
type collector struct {
	text string
	ids  []int32
}

func (c *collector) sink() silldispatch.Sink {
	var b strings.Builder
	b.WriteString(c.text)
	return silldispatch.Sink{
		Head:  func(*sillwire.Head) error { return nil },
		Chunk: func(*sillwire.Chunk) error { return nil },
		Tokens: func(t *sillwire.Tokens) error {
			b.WriteString(t.Text)
			c.text = b.String()
			c.ids = append(c.ids, t.IDs...)
			return nil
		},
		Restart: func() {
			b.Reset()
			c.text = ""
			c.ids = nil
		},
	}
}

// finished returns the generation of a complete response, or an error if its tokens
// can't be attributed to weight versions.
func (c *collector) finished(a *silldispatch.Answer) (sillrollout.Generation, error) {
	f := a.Finish
	if f.Unattributable != "" {
		return sillrollout.Generation{}, &sillrollout.GenerateError{
			Reason: sillattribution.Reason(f.Unattributable),
			Target: a.Target,
		}
	}
	return sillrollout.Generation{
		Text:         c.text,
		TokenIDs:     widen(c.ids),
		Spans:        f.Spans,
		FinishReason: f.FinishReason,
		Target:       a.Target,
	}, nil
}

// partial returns the generation of a stopped attempt, or an empty one if its tokens
// can't be attributed to weight versions.
func (c *collector) partial(a *silldispatch.Answer) sillrollout.Generation {
	f := a.Finish
	if f == nil || f.Unattributable != "" || len(f.Spans) == 0 || f.Tokens != len(c.ids) {
		return sillrollout.Generation{}
	}
	return sillrollout.Generation{Text: c.text, TokenIDs: widen(c.ids), Spans: f.Spans, Target: a.Target}
}

func narrow(ids []int) []int32 {
	var out []int32
	for _, id := range ids {
		out = append(out, int32(id))
	}
	return out
}

func widen(ids []int32) []int {
	var out []int
	for _, id := range ids {
		out = append(out, int(id))
	}
	return out
}
