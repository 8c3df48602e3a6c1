package sillexplanation

import (
	"bytes"
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
)

// maxAnswerBytes bounds an answer: some thousand targets take less.
const maxAnswerBytes = 8 << 20

// RefusedError is the error of a question that the gateway does not answer.
type RefusedError struct {
	// Status is the status code of HTTP.
	Status int
	// Message tells why.
	Message string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("the gateway answered %d: %s", e.Status, e.Message)
}

// HashKey returns the hash of a key.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// Content returns the fingerprint of a request with a body, for Question.Content. The answer to the
// question without one names the organisation.
func Content(q *Question, a *Answer, body []byte) string {
	host := q.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return sillcrash.NewFingerprint(a.Organisation, cmp.Or(q.Method, http.MethodPost), host+q.Path, body).String()
}

// Ask asks the gateway whose metrics are served at an address. It returns a *RefusedError if the
// gateway does not answer the question.
func Ask(ctx context.Context, client *http.Client, address string, q *Question) (*Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return nil, eris.Wrap(err, "sillexplanation.Ask")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrap(err, "sillexplanation.Ask")
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "sillexplanation.Ask")
	}
	defer resp.Body.Close()
	b, err := sillbody.ReadAll(resp.Body, maxAnswerBytes)
	if err != nil {
		return nil, eris.Wrap(err, "sillexplanation.Ask")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refusal(resp.StatusCode, b)
	}
	var a Answer
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, eris.Wrap(err, "sillexplanation.Ask: the answer can't be read")
	}
	return &a, nil
}

func refusal(status int, body []byte) error {
	var f Failure
	if err := json.Unmarshal(body, &f); err != nil || f.Error == "" {
		f.Error = "it does not explain routes; name the address on which it serves metrics"
	}
	return &RefusedError{Status: status, Message: f.Error}
}
