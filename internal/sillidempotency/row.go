// Package sillidempotency makes a request with an Idempotency-Key run at most
// once, however often its caller sends it, by a claim in the table service.
package sillidempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// prefix is the key prefix of all claims in the table.
const prefix = "repeat/"

// Request is a request with an idempotency key, bound to its first attempt.
type Request struct {
	Organisation sillid.OrganisationID
	// Key is the caller's Idempotency-Key.
	Key string
	// Fingerprint identifies method, path and body.
	Fingerprint string
	Place       Place
}

// Place identifies an attempt, and the target and the run of the agent that it is
// sent to. The agent must refuse attempts that name another run of an agent, and
// attempts that were looked up before they arrived.
type Place struct {
	Attempt sillid.AttemptID `json:"attempt"`
	Target  sillid.TargetID  `json:"target"`
	Agent   sillid.AgentID   `json:"agent"`
}

// Response is a complete response, kept for replay to callers that repeat the
// request.
type Response struct {
	Status      int    `json:"status"`
	ContentType string `json:"content-type"`
	Body        []byte `json:"body,omitempty"`
	// Object names the body in the object store if it is too large for a row.
	Object string `json:"object,omitempty"`
}

// check returns sillheader.ErrMalformed for a response that can't be replayed. Agents and gateways
// of earlier builds passed such responses on.
func (r *Response) check() error {
	if err := sillheader.CheckStatus(r.Status); err != nil {
		return eris.Wrap(err, "sillidempotency.check")
	}
	return eris.Wrap(sillheader.CheckField("Content-Type", r.ContentType), "sillidempotency.check")
}

type rowState string

const (
	// claimed means that the attempt may have been sent.
	claimed rowState = "claimed"
	done    rowState = "done"
	// unknown means that the attempt may have run and its response is lost.
	unknown rowState = "unknown"
)

type row struct {
	Fingerprint string           `json:"fingerprint"`
	State       rowState         `json:"state"`
	Gateway     sillid.GatewayID `json:"gateway"`
	// Nonce distinguishes this claim from others of the same key.
	Nonce    string   `json:"nonce"`
	Place    Place    `json:"place"`
	Response Response `json:"answer,omitzero"`
	// Expires is in Unix milliseconds.
	Expires int64 `json:"expires"`
}

func (r row) expired(now time.Time) bool {
	return now.UnixMilli() >= r.Expires
}

// rowKey returns the table key of a claim. Hashing the caller's key hides it and
// bounds its length.
func rowKey(organisation sillid.OrganisationID, key string) string {
	sum := sha256.Sum256([]byte(key))
	return prefix + string(organisation) + "/" + hex.EncodeToString(sum[:])
}

func encode(r row) []byte {
	// The row holds only strings, numbers and bytes, which always encode.
	b, _ := json.Marshal(r)
	return b
}

func decode(t silltable.Row) (row, error) {
	var r row
	if err := json.Unmarshal(t.Value, &r); err != nil {
		return row{}, eris.Wrapf(err, "sillidempotency.decode: row %s", t.Key)
	}
	return r, nil
}
