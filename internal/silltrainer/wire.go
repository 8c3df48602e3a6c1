package silltrainer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/wasabisill/wasabisill/internal/silljson"
	"github.com/wasabisill/wasabisill/internal/sillrollout"
	"github.com/wasabisill/wasabisill/internal/sillserver"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Limits of requests and batches. A training step of the largest trainer has 2,048
// samples.
const (
	maxSamples = 1 << 16
	maxGroups  = 1 << 14
	// maxValues bounds the JSON values of a call.
	maxValues          = 8 * maxGroups
	maxGroupSize       = 1 << 10
	maxMaxTokens       = 1 << 20
	maxDeadlineSeconds = 24 * 60 * 60
	maxBatchIDBytes    = 128
	retryAfter         = time.Second
)

type groupRequest struct {
	Prompt string `json:"prompt"`
}

type createRequest struct {
	Batch           sillid.BatchID                 `json:"batch-id"`
	Trainer         sillid.TrainerID               `json:"trainer"`
	Groups          []groupRequest                 `json:"groups"`
	GroupSize       int                            `json:"group-size"`
	MaxTokens       sillid.Tokens                  `json:"max-tokens"`
	DeadlineSeconds int                            `json:"deadline-seconds"`
	Partial         sillrollout.PartialGroupPolicy `json:"partial"`
}

func (c *createRequest) check() error {
	if !validBatchID(string(c.Batch)) {
		return malformed("batch-id", "must be 1 to %d letters, digits, '-', '_' or '.'", maxBatchIDBytes)
	}
	if c.Trainer == "" {
		return malformed("trainer", "is missing")
	}
	if len(c.Groups) == 0 || len(c.Groups) > maxGroups {
		return malformed("groups", "must hold 1 to %d groups", maxGroups)
	}
	for i, g := range c.Groups {
		if g.Prompt == "" {
			return malformed(fmt.Sprintf("groups[%d].prompt", i), "is missing")
		}
	}
	if err := checkRange("group-size", c.GroupSize, 1, maxGroupSize); err != nil {
		return err
	}
	if len(c.Groups)*c.GroupSize > maxSamples {
		return malformed("group-size", "makes more than %d samples", maxSamples)
	}
	if err := checkRange("max-tokens", int(c.MaxTokens), 1, maxMaxTokens); err != nil {
		return err
	}
	if err := checkRange("deadline-seconds", c.DeadlineSeconds, 1, maxDeadlineSeconds); err != nil {
		return err
	}
	if c.Partial != sillrollout.PartialDrop && c.Partial != sillrollout.PartialDeliver {
		return malformed("partial", "must be %q or %q", sillrollout.PartialDrop, sillrollout.PartialDeliver)
	}
	return nil
}

func (c *createRequest) prompts() []string {
	prompts := make([]string, len(c.Groups))
	for i, g := range c.Groups {
		prompts[i] = g.Prompt
	}
	return prompts
}

func validBatchID(name string) bool {
	if name == "" || len(name) > maxBatchIDBytes {
		return false
	}
	for _, c := range []byte(name) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' && c != '_' && c != '.' {
			return false
		}
	}
	return true
}

func checkRange(field string, value, low, high int) error {
	if value < low || value > high {
		return malformed(field, "must be from %d to %d", low, high)
	}
	return nil
}

func malformed(field, format string, args ...any) *sillproblem.Problem {
	return sillproblem.New(sillproblem.BadRequest, "%s: %s", field, fmt.Sprintf(format, args...))
}

func queryInt(r *http.Request, field string, low, high int) (int, error) {
	raw := r.URL.Query().Get(field)
	if raw == "" {
		return 0, nil
	}
	value, err := strconv.Atoi(raw)
	if err != nil {
		return 0, malformed(field, "is not a number")
	}
	return value, checkRange(field, value, low, high)
}

// decode reads a JSON body. The problem that it returns names the invalid field.
func decode(r *http.Request, into any) error {
	body, err := sillserver.ReadBody(nil, r, maxBodyBytes)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return sillproblem.New(sillproblem.BodyTooLarge, "body: more than %d bytes", maxBodyBytes)
	case err != nil:
		return malformed("body", "could not be read")
	}
	if err := silljson.Check(body, maxValues); err != nil {
		return malformed("body", "holds too many values: %v", err)
	}
	err = json.Unmarshal(body, into)
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) && typeError.Field != "" {
		return malformed(typeError.Field, "can't be a %s", typeError.Value)
	}
	if err != nil {
		return malformed("body", "is not valid JSON: %v", err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, resp reply) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.status)
	// A write error means that the trainer has disconnected; it retries the call.
	_ = json.NewEncoder(w).Encode(resp.body)
}
