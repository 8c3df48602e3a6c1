package sillengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Generate is one generation.
type Generate struct {
	// Path is "/v1/completions" or "/v1/chat/completions".
	Path string
	// Body is the caller's JSON object; the fields below replace its own.
	Body         []byte
	RequestID    string
	Priority     int
	PrefixTokens []int32
	// OnHeader, if not nil, is called with the header of the engine's answer, also of one
	// that refuses the request.
	OnHeader func(h http.Header)
}

// Part is a part of a generation.
type Part struct {
	Text string
	IDs  []int32
	// Version and Engine are what the engine reports about these tokens.
	Version sillid.WeightVersion
	Engine  sillid.EngineID
	// FinishReason is set on the last part only.
	FinishReason string
	// PromptTokens and CompletionTokens are set on the last part only.
	PromptTokens     sillid.Tokens
	CompletionTokens sillid.Tokens
}

var (
	// ErrCut is returned if a generation's stream ended before its end mark.
	ErrCut = errors.New("engine's answer was cut off: run the request again if it is idempotent")
	// ErrRejected is returned if the engine refused the request as malformed.
	ErrRejected = errors.New("engine rejected the request: correct its fields")
)

type chunkDocument struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		TokenIDs     []int32 `json:"token_ids"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
	Version sillid.WeightVersion `json:"weight_version"`
	Engine  sillid.EngineID      `json:"engine_id"`
	Usage   *struct {
		PromptTokens     sillid.Tokens `json:"prompt_tokens"`
		CompletionTokens sillid.Tokens `json:"completion_tokens"`
	} `json:"usage"`
}

// maxLineBytes bounds one line of the event stream.
const maxLineBytes = 1 << 20

var (
	eventPrefix = []byte("data:")
	eventEnd    = []byte("[DONE]")
)

// Generate runs a generation and hands every part to yield, which may stop it
// with an error. It returns nil only if the engine sent its end mark. Errors:
// ErrNotReached (no byte reached the engine), ErrRejected, ErrCut, yield's own.
func (c *Client) Generate(ctx context.Context, g Generate, yield func(Part) error) error {
	body, err := g.body()
	if err != nil {
		return err
	}
	resp, err := c.exchange(ctx, http.MethodPost, g.Path, body)
	if err != nil {
		return err
	}
	if g.OnHeader != nil {
		g.OnHeader(resp.Header)
	}
	resp, err = checkStatus(resp)
	var status *statusError
	if errors.As(err, &status) && status.code < http.StatusInternalServerError && status.code != http.StatusTooManyRequests {
		return eris.Wrapf(ErrRejected, "sillengine.Generate: %v", err)
	}
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return readEvents(resp.Body, yield)
}

// body merges the caller's object with the fields that the agent sets.
func (g *Generate) body() ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(g.Body, &fields); err != nil {
		return nil, eris.Wrapf(ErrRejected, "sillengine.Generate: body: %v", err)
	}
	own, err := json.Marshal(ownFields{
		Stream:       true,
		RequestID:    g.RequestID,
		Priority:     g.Priority,
		PrefixTokens: g.PrefixTokens,
	})
	if err != nil {
		return nil, eris.Wrap(err, "sillengine.Generate: encode")
	}
	delete(fields, "prefix_token_ids")
	if err := json.Unmarshal(own, &fields); err != nil {
		return nil, eris.Wrap(err, "sillengine.Generate: merge")
	}
	b, err := json.Marshal(fields)
	return b, eris.Wrap(err, "sillengine.Generate: encode")
}

// ownFields are the fields of the request that the caller has no say in.
type ownFields struct {
	Stream       bool    `json:"stream"`
	RequestID    string  `json:"request_id"`
	Priority     int     `json:"priority"`
	PrefixTokens []int32 `json:"prefix_token_ids,omitempty"`
}

func readEvents(r io.Reader, yield func(Part) error) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	skipped := 0
	for s.Scan() {
		data, ok := bytes.CutPrefix(s.Bytes(), eventPrefix)
		if !ok {
			// Lines without end that are no events are no answer.
			if skipped += len(s.Bytes()) + 1; skipped > maxLineBytes {
				return eris.Wrap(ErrCut, "sillengine.Generate: no event in many lines")
			}
			continue
		}
		skipped = 0
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, eventEnd) {
			return nil
		}
		part, err := decodePart(data)
		if err != nil {
			return err
		}
		if err := yield(part); err != nil {
			return err
		}
	}
	if err := s.Err(); err != nil {
		return eris.Wrapf(ErrCut, "sillengine.Generate: %v", err)
	}
	return eris.Wrap(ErrCut, "sillengine.Generate")
}

func decodePart(data []byte) (Part, error) {
	var d chunkDocument
	if !utf8.Valid(data) {
		// The decoder would replace the bytes.
		return Part{}, eris.Wrap(ErrCut, "sillengine.Generate: event is not UTF-8")
	}
	if err := json.Unmarshal(data, &d); err != nil {
		return Part{}, eris.Wrapf(ErrCut, "sillengine.Generate: malformed event: %v", err)
	}
	p := Part{Version: d.Version, Engine: d.Engine}
	if d.Usage != nil {
		p.PromptTokens = d.Usage.PromptTokens
		p.CompletionTokens = d.Usage.CompletionTokens
	}
	if len(d.Choices) == 0 {
		return p, nil
	}
	ch := d.Choices[0]
	p.Text = ch.Text + ch.Delta.Content
	p.IDs = ch.TokenIDs
	if ch.FinishReason != nil {
		p.FinishReason = *ch.FinishReason
	}
	return p, nil
}
