package sillgateway

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/wasabisill/wasabisill/internal/silldispatch"
	"github.com/wasabisill/wasabisill/internal/silljson"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Paths of the completions and chat API below the prefix of a model route.
const (
	completionsPath = "/v1/completions"
	chatPath        = "/v1/chat/completions"
)

// maxValues bounds the JSON values of a request: a chat of thousands of messages has fewer.
const maxValues = 1 << 16

// completionRequest holds the fields of a caller's request that the gateway reads.
type completionRequest struct {
	Model    string          `json:"model"`
	Prompt   json.RawMessage `json:"prompt"`
	Messages json.RawMessage `json:"messages"`
	// MaxTokens is nil if the engine's own bound is to hold.
	MaxTokens *int `json:"max_tokens"`
	Stream    bool `json:"stream"`
	N         *int `json:"n"`
}

// parseCompletion checks a caller's body against its path and model.
func parseCompletion(path string, model sillid.ModelID, body []byte) (*completionRequest, *sillproblem.Problem) {
	var c completionRequest
	if err := silljson.Check(body, maxValues); err != nil {
		return nil, sillproblem.New(sillproblem.BadRequest, "the body holds too many values: %v.", err)
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return nil, sillproblem.New(sillproblem.BadRequest, "the body is no JSON object of the completions API: %v.", err)
	}
	switch {
	case path != completionsPath && path != chatPath:
		return nil, sillproblem.New(sillproblem.RouteUnknown, "a model route serves %s and %s.", completionsPath, chatPath)
	case c.Model != "" && c.Model != string(model):
		return nil, sillproblem.New(sillproblem.BadRequest, "field model: the route serves %q.", model)
	case path == completionsPath && !isText(c.Prompt):
		return nil, sillproblem.New(sillproblem.BadRequest, "field prompt: a non-empty string is needed.")
	case path == chatPath && !isList(c.Messages):
		return nil, sillproblem.New(sillproblem.BadRequest, "field messages: a non-empty list is needed.")
	case c.MaxTokens != nil && *c.MaxTokens < 1:
		return nil, sillproblem.New(sillproblem.BadRequest, "field max_tokens: at least 1 is needed.")
	case c.N != nil && *c.N != 1:
		return nil, sillproblem.New(sillproblem.BadRequest, "field n: only 1 is served; send one request for each answer.")
	}
	return &c, nil
}

func isText(raw json.RawMessage) bool {
	var s string
	return json.Unmarshal(raw, &s) == nil && s != ""
}

func isList(raw json.RawMessage) bool {
	// It is valid JSON already, so that its first two bytes tell.
	rest, ok := bytes.CutPrefix(raw, []byte("["))
	return ok && !bytes.HasPrefix(bytes.TrimLeft(rest, " \t\r\n"), []byte("]"))
}

// promptBytes returns what the engine's prefix cache is keyed by.
func (c *completionRequest) promptBytes() []byte {
	if len(c.Prompt) > 0 {
		return c.Prompt
	}
	return c.Messages
}

// completionWriter renders a generation in the form that the caller asked for.
type completionWriter struct {
	w       http.ResponseWriter
	id      sillid.RequestID
	model   sillid.ModelID
	chat    bool
	stream  bool
	created int64
	// text collects the answer if it is not streamed.
	text strings.Builder
	// begun is true once the caller has got a byte of a stream.
	begun bool
}

type completionChoice struct {
	Index        int         `json:"index"`
	Text         *string     `json:"text,omitempty"`
	Delta        *chatDelta  `json:"delta,omitempty"`
	Message      *chatAnswer `json:"message,omitempty"`
	FinishReason *string     `json:"finish_reason"`
}

type chatDelta struct {
	Content string `json:"content"`
}

type chatAnswer struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	PromptTokens     sillid.Tokens `json:"prompt_tokens"`
	CompletionTokens sillid.Tokens `json:"completion_tokens"`
	TotalTokens      sillid.Tokens `json:"total_tokens"`
}

type completionDocument struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *completionUsage   `json:"usage,omitempty"`
}

func newCompletionWriter(w http.ResponseWriter, r *silldispatch.Request, stream bool, now time.Time) *completionWriter {
	return &completionWriter{
		w:       w,
		id:      r.ID,
		model:   r.Model,
		chat:    r.Path == chatPath,
		stream:  stream,
		created: now.Unix(),
	}
}

func (c *completionWriter) sink() silldispatch.Sink {
	return silldispatch.Sink{
		Head:   func(*sillwire.Head) error { return nil },
		Chunk:  func(*sillwire.Chunk) error { return nil },
		Tokens: c.tokens,
		// A streamed answer can't be taken back.
		Restart: nil,
	}
}

func (c *completionWriter) tokens(t *sillwire.Tokens) error {
	if !c.stream {
		c.text.WriteString(t.Text)
		return nil
	}
	return c.event(c.document(c.choice(t.Text, nil), true))
}

// choice returns the part of a document that holds the text.
func (c *completionWriter) choice(text string, reason *string) completionChoice {
	ch := completionChoice{FinishReason: reason}
	switch {
	case !c.chat:
		ch.Text = &text
	case c.stream:
		ch.Delta = &chatDelta{Content: text}
	default:
		ch.Message = &chatAnswer{Role: "assistant", Content: text}
	}
	return ch
}

func (c *completionWriter) document(ch completionChoice, chunk bool) *completionDocument {
	object := "text_completion"
	switch {
	case c.chat && chunk:
		object = "chat.completion.chunk"
	case c.chat:
		object = "chat.completion"
	}
	return &completionDocument{
		ID:      string(c.id),
		Object:  object,
		Created: c.created,
		Model:   string(c.model),
		Choices: []completionChoice{ch},
	}
}

func (c *completionWriter) begin() {
	if c.begun {
		return
	}
	c.begun = true
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.Header().Set("Cache-Control", "no-cache")
	c.w.WriteHeader(http.StatusOK)
}

// event writes one event of the stream.
func (c *completionWriter) event(document any) error {
	c.begin()
	b, err := json.Marshal(document)
	if err != nil {
		return err
	}
	return c.raw(string(b))
}

func (c *completionWriter) raw(data string) error {
	if _, err := fmt.Fprintf(c.w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(c.w).Flush()
}

// finish ends a complete response.
func (c *completionWriter) finish(f *sillwire.Finish) error {
	reason := f.FinishReason
	usage := &completionUsage{
		PromptTokens:     f.PromptTokens,
		CompletionTokens: sillid.Tokens(f.Tokens),
		TotalTokens:      f.PromptTokens + sillid.Tokens(f.Tokens),
	}
	if !c.stream {
		d := c.document(c.choice(c.text.String(), &reason), false)
		d.Usage = usage
		c.w.Header().Set("Content-Type", "application/json")
		return json.NewEncoder(c.w).Encode(d)
	}
	d := c.document(c.choice("", &reason), true)
	d.Usage = usage
	if err := c.event(d); err != nil {
		return err
	}
	return c.raw("[DONE]")
}

type streamError struct {
	Error json.RawMessage `json:"error"`
}

// fail ends an incomplete response. A stream that has begun gets an error event
// and no end marker, and its connection is closed.
func (c *completionWriter) fail(p *sillproblem.Problem) {
	if !c.begun {
		p.Write(c.w, string(c.id))
		return
	}
	_ = c.event(streamError{Error: p.Document(string(c.id))})
	panic(http.ErrAbortHandler)
}
