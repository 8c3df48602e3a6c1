// Package sillbilling is the client of the platform's interface that accepts
// usage reports.
package sillbilling

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ReportID identifies a report. A report that is sent again keeps its ID.
type ReportID string

// Report is the usage of one organisation in one window.
type Report struct {
	ID           ReportID              `json:"report-id"`
	Organisation sillid.OrganisationID `json:"organisation"`
	// WindowStart is in Unix milliseconds.
	WindowStart         int64         `json:"window-start"`
	WindowSeconds       int64         `json:"window-seconds"`
	Requests            int64         `json:"requests"`
	PromptTokens        sillid.Tokens `json:"prompt-tokens"`
	CompletionTokens    sillid.Tokens `json:"completion-tokens"`
	ServiceMilliseconds int64         `json:"service-milliseconds"`
}

// Encode returns the report as JSON, as Client.Send expects it.
func (r Report) Encode() []byte {
	// The report holds only strings and numbers, whose encoding cannot fail.
	b, _ := json.Marshal(r)
	return b
}

// ErrRejected is returned if the platform rejected the report; it was not recorded.
var ErrRejected = errors.New("usage report rejected: compare its figures with the platform's")

// Client is the interface to the platform's usage reports. Its field is safe for
// concurrent use.
type Client struct {
	// Send sends one encoded report. It calls mayAct right before the request
	// leaves. Only a nil error means that the platform accepted the report. Errors:
	// ErrRejected, sillcall.ErrNotSent, sillcall.ErrNotPermitted,
	// sillcall.ErrUnknown.
	Send func(ctx context.Context, encoded []byte, mayAct func() bool) error
}

// Dial returns a client of the usage interface at an HTTP address. It makes no call.
func Dial(cfg sillcall.Config) *Client {
	caller := sillcall.New(cfg)
	return &Client{Send: func(ctx context.Context, encoded []byte, mayAct func() bool) error {
		resp, err := caller.Post(ctx, "/usage", encoded, mayAct)
		if err != nil {
			return eris.Wrap(err, "sillbilling.Send")
		}
		return eris.Wrapf(statusError(resp.Status), "sillbilling.Send: status %d", resp.Status)
	}}
}

// statusError returns the error for a response status. After a status other than
// OK and the client errors, the report may have been accepted.
func statusError(status int) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status >= 400 && status < 500:
		return ErrRejected
	default:
		return sillcall.ErrUnknown
	}
}
