package sillstandengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Bounds and defaults of a request, in tokens.
const (
	defaultMaxTokens = 256
	maxMaxTokens     = 16384
)

// generationRequest is what both completion calls come to.
type generationRequest struct {
	id        sillid.RequestID
	model     sillid.ModelID
	prompt    string
	seed      int64
	maxTokens int
	prefix    []int
	priority  int
	stream    bool
	chat      bool
}

// completionRequest holds OpenAI's fields that matter here; others are
// accepted and ignored, as engines do.
type completionRequest struct {
	Model          sillid.ModelID   `json:"model"`
	Prompt         string           `json:"prompt"`
	Messages       []chatMessage    `json:"messages"`
	MaxTokens      *int             `json:"max_tokens"`
	Seed           int64            `json:"seed"`
	Stream         bool             `json:"stream"`
	RequestID      sillid.RequestID `json:"request_id"`
	Priority       int              `json:"priority"`
	PrefixTokenIDs []int            `json:"prefix_token_ids"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt that a chat's messages make.
func ChatPrompt(roles, contents []string) string {
	var b strings.Builder
	for i, role := range roles {
		b.WriteString(role + ": " + contents[i] + "\n")
	}
	return b.String()
}

func parseCompletion(r *http.Request, chat bool) (*generationRequest, error) {
	var c completionRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		return nil, eris.Wrap(err, "sillstandengine.parseCompletion")
	}
	req := &generationRequest{
		id: c.RequestID, model: c.Model, prompt: c.Prompt, seed: c.Seed, maxTokens: defaultMaxTokens,
		prefix: c.PrefixTokenIDs, priority: c.Priority, stream: c.Stream, chat: chat,
	}
	if c.MaxTokens != nil {
		req.maxTokens = *c.MaxTokens
	}
	if req.maxTokens < 1 || req.maxTokens > maxMaxTokens {
		return nil, eris.Errorf("sillstandengine.parseCompletion: max_tokens %d: use 1 to %d", req.maxTokens, maxMaxTokens)
	}
	if chat {
		var roles, contents []string
		for _, m := range c.Messages {
			roles = append(roles, m.Role)
			contents = append(contents, m.Content)
		}
		req.prompt = ChatPrompt(roles, contents)
	}
	return req, nil
}

func (e *Engine) serveText(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) }
func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	seen, err := sillstandin.See(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	req, err := parseCompletion(r, chat)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(req.model) {
		refuse(w, http.StatusNotFound, "model not served: name the engine's model")
		return
	}
	g := e.submit(req, seen, sillstandin.AnswerIsLost(w))
	defer e.withdraw(g, reasonGone)
	a := &answer{engine: e, req: req, gen: g, id: g.run.EngineID, spans: []Span{}}
	if req.stream {
		a.stream(w, r)
		return
	}
	a.whole(w, r)
}

func (e *Engine) serves(model sillid.ModelID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.model == "" || model == "" || model == e.model
}

// answer builds the answer of one generation.
type answer struct {
	engine *Engine
	req    *generationRequest
	gen    *generation
	id     sillid.EngineID
	tokens []int
	spans  []Span
	last   sillid.WeightVersion
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	TokenIDs     []int        `json:"token_ids"`
	FinishReason *string      `json:"finish_reason"`
}

type completion struct {
	ID            sillid.RequestID     `json:"id"`
	Object        string               `json:"object"`
	Model         sillid.ModelID       `json:"model"`
	Choices       []choice             `json:"choices"`
	WeightVersion sillid.WeightVersion `json:"weight_version"`
	WeightSpans   []Span               `json:"weight_spans,omitempty"`
	EngineID      sillid.EngineID      `json:"engine_id"`
	Usage         *usage               `json:"usage,omitempty"`
}

func (a *answer) take(s step) {
	a.spans = extend(a.spans, len(a.req.prefix)+len(a.tokens), s.version)
	a.tokens = append(a.tokens, s.token)
	a.last = s.version
}

func (a *answer) usage() *usage {
	p, c := a.gen.run.PromptTokens, len(a.tokens)
	return &usage{PromptTokens: p, CompletionTokens: c, TotalTokens: p + c}
}

func (a *answer) completion(object string, c choice) completion {
	return completion{
		ID: a.req.id, Object: object, Model: a.req.model, Choices: []choice{c},
		WeightVersion: a.last, EngineID: a.id,
	}
}

// next waits for the next step; it reports false if the caller left.
func (a *answer) next(r *http.Request) (step, bool) {
	select {
	case s, ok := <-a.gen.out:
		return s, ok
	case <-r.Context().Done():
		return step{}, false
	}
}

// broken returns whether a generation that ended for a reason has its answer cut off.
func broken(reason string) bool {
	return reason != "" && reason != reasonStop && reason != reasonLength && reason != reasonCancel
}

func (a *answer) whole(w http.ResponseWriter, r *http.Request) {
	for {
		s, ok := a.next(r)
		if !ok || broken(s.reason) {
			panic(http.ErrAbortHandler)
		}
		if s.reason == "" {
			a.take(s)
			continue
		}
		c := a.completion(a.object(""), a.choice(a.tokens, &s.reason, false))
		c.WeightSpans = a.spans
		c.Usage = a.usage()
		sillstandin.Answer(w, http.StatusOK, c)
		return
	}
}

func (a *answer) object(suffix string) string {
	if a.req.chat {
		return "chat.completion" + suffix
	}
	return "text_completion"
}

func (a *answer) choice(tokens []int, reason *string, delta bool) choice {
	text := TextOf(tokens)
	if tokens == nil {
		tokens = []int{}
	}
	c := choice{TokenIDs: tokens, FinishReason: reason}
	message := &chatMessage{Role: "assistant", Content: text}
	switch {
	case !a.req.chat:
		c.Text = &text
	case delta:
		c.Delta = message
	default:
		c.Message = message
	}
	return c
}

// doneLine ends a stream of server-sent events.
const doneLine = "data: [DONE]\n\n"

func (a *answer) stream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	for {
		s, ok := a.next(r)
		if !ok || broken(s.reason) {
			panic(http.ErrAbortHandler)
		}
		if s.reason == "" {
			a.take(s)
			a.event(w, a.completion(a.object(".chunk"), a.choice([]int{s.token}, nil, true)))
			continue
		}
		c := a.completion(a.object(".chunk"), a.choice(nil, &s.reason, true))
		c.Usage = a.usage()
		a.event(w, c)
		_, _ = io.WriteString(w, doneLine)
		flush(w)
		return
	}
}

func (a *answer) event(w http.ResponseWriter, c completion) {
	b, err := json.Marshal(c)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, "data: "+string(b)+"\n\n")
	flush(w)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
}

// refuse answers an error in OpenAI's form.
func refuse(w http.ResponseWriter, status int, text string) {
	sillstandin.Answer(w, status, errorBody{Error: errorDetail{Message: text, Type: "invalid_request_error"}})
}
