package sillload

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Bounds of a caller.
const (
	callTimeout  = 30 * time.Second
	maxAttempts  = 3
	maxRetryWait = 3 * time.Second
	minRetryWait = 50 * time.Millisecond
)

// caller carries out the calls of the plan.
type caller struct {
	scenario   *Scenario
	deployment *Deployment
	client     *http.Client
	// done takes every attempt.
	done func(sillreport.Call)
}

type bookingBody struct {
	Ref          sillreport.CallID     `json:"booking-ref"`
	Organisation sillid.OrganisationID `json:"organisation"`
	Units        int                   `json:"units"`
}

type completionBody struct {
	Model     sillid.ModelID `json:"model"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"max_tokens"`
	Stream    bool           `json:"stream,omitempty"`
}

// call carries out one call, scheduled at a time, with its repeats.
func (c *caller) call(ctx context.Context, a Arrival, scheduled time.Time) {
	for attempt := 1; ; attempt++ {
		call, wait := c.attempt(ctx, a, attempt)
		call.Scheduled = scheduled.UnixMilli()
		again := attempt < maxAttempts && ctx.Err() == nil && mayRepeat(a, &call)
		c.done(call)
		if !again || !sleep(ctx, wait) {
			return
		}
	}
}

// mayRepeat returns whether a careful caller sends the call again: after a
// refusal that says that it did not run, or if a repeat does no harm.
func mayRepeat(a Arrival, call *sillreport.Call) bool {
	if call.Served() || (call.Status >= 400 && call.Status < 500 && call.Status != http.StatusTooManyRequests &&
		call.Problem != sillproblem.RepeatRunning) {
		return false
	}
	if call.Outcome == sillproblem.NotRun {
		return true
	}
	return a.Kind != sillreport.Booking || a.IdempotencyKey != ""
}

// attempt sends the call once, to the next gateway if one cannot be reached.
func (c *caller) attempt(ctx context.Context, a Arrival, number int) (sillreport.Call, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	call := sillreport.Call{
		CallID: a.CallID, Kind: a.Kind, Organisation: a.Organisation, Attempt: number,
		IdempotencyKey: a.IdempotencyKey, Sent: time.Now().UnixMilli(),
	}
	n := len(c.deployment.Gateways)
	var resp *http.Response
	var err error
	for i := range n {
		gateway := c.deployment.Gateways[(a.Gateway+number-1+i)%n]
		resp, err = c.send(ctx, gateway, a)
		if err == nil || !isDialError(err) {
			break
		}
	}
	if err != nil {
		call.Done = time.Now().UnixMilli()
		call.Error = err.Error()
		if isDialError(err) {
			call.Outcome = sillproblem.NotRun
		}
		return call, minRetryWait
	}
	defer resp.Body.Close()
	call.First = time.Now().UnixMilli()
	call.Status = resp.StatusCode
	call.RequestID = sillid.RequestID(resp.Header.Get(requestIDHeader))
	c.read(resp, a, &call)
	call.Done = time.Now().UnixMilli()
	return call, retryWait(resp)
}

func retryWait(resp *http.Response) time.Duration {
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return minRetryWait
	}
	return min(time.Duration(seconds)*time.Second, maxRetryWait)
}

func (c *caller) send(ctx context.Context, gateway string, a Arrival) (*http.Response, error) {
	req, err := c.request(ctx, gateway, a)
	if err != nil {
		return nil, err
	}
	// A repeat by the transport would hide an attempt from the audit.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+c.deployment.Keys[a.Organisation])
	if a.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", a.IdempotencyKey)
	}
	return c.client.Do(req)
}

func (c *caller) request(ctx context.Context, gateway string, a Arrival) (*http.Request, error) {
	if a.Kind == sillreport.Availability {
		path := gateway + c.scenario.Service.PathPrefix + "/availability?ref=" + url.QueryEscape(string(a.CallID))
		return http.NewRequestWithContext(ctx, http.MethodGet, path, http.NoBody)
	}
	path := gateway + c.scenario.Service.PathPrefix + "/bookings"
	var body any = bookingBody{Ref: a.CallID, Organisation: a.Organisation, Units: 1}
	if a.Kind.IsModel() {
		path = gateway + c.scenario.Model.PathPrefix + "/v1/completions"
		body = completionBody{
			Model: c.scenario.Model.Model, Prompt: a.Prompt,
			MaxTokens: c.scenario.Model.MaxTokens, Stream: a.Kind == sillreport.Stream,
		}
	}
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// maxAnswerBytes bounds an answer.
const maxAnswerBytes = 16 << 20

// read takes the answer into the call.
func (c *caller) read(resp *http.Response, a Arrival, call *sillreport.Call) {
	if resp.StatusCode >= http.StatusMultipleChoices {
		readProblem(resp, call)
		return
	}
	if a.Kind.IsModel() {
		call.WantTokens = min(sillstandengine.StopLength(a.Prompt, 0), c.scenario.Model.MaxTokens)
	}
	if a.Kind == sillreport.Stream {
		readStream(resp.Body, call)
		return
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		call.Error = err.Error()
		return
	}
	if a.Kind == sillreport.Completion {
		readCompletion(body, call)
		return
	}
	readPlain(body, call)
}

type problemAnswer struct {
	Kind    sillproblem.Kind    `json:"kind"`
	Outcome sillproblem.Outcome `json:"outcome"`
}

func readProblem(resp *http.Response, call *sillreport.Call) {
	var p problemAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes)).Decode(&p); err != nil {
		call.Error = "refusal without problem details: " + err.Error()
		return
	}
	call.Whole = true
	call.Problem = p.Kind
	call.Outcome = p.Outcome
}

// plainAnswer holds the call's mark from either call of the service.
type plainAnswer struct {
	Query string      `json:"query"`
	Echo  bookingBody `json:"echo"`
}

func readPlain(body []byte, call *sillreport.Call) {
	var p plainAnswer
	if err := json.Unmarshal(body, &p); err != nil {
		call.Error = err.Error()
		return
	}
	call.Whole = true
	call.AnswerHash = hashOf(body)
	call.AnswerCallID = p.Echo.Ref
	if call.Kind == sillreport.Availability {
		q, _ := url.ParseQuery(p.Query)
		call.AnswerCallID = sillreport.CallID(q.Get("ref"))
	}
}

// sleep waits; it reports false if the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
