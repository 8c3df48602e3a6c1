// Package sillorder is the client of the platform's interface that starts and
// stops instances.
package sillorder

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ID names one order. The platform acts once for each ID.
type ID string

// Action is what an order asks for.
type Action string

const (
	// Start asks for a fresh instance.
	Start Action = "start"
	// Stop asks for the end of an instance.
	Stop Action = "stop"
)

// Order asks the platform to start or stop one instance.
type Order struct {
	ID ID `json:"order-id"`
	// Fencing is the epoch of the sender's lease.
	Fencing sillid.Epoch  `json:"fencing-number"`
	Action  Action        `json:"action"`
	Pool    sillid.PoolID `json:"pool"`
	Zone    sillid.ZoneID `json:"availability-zone"`
	// Instance is the instance to stop; empty for a start.
	Instance sillid.InstanceID `json:"instance-id,omitempty"`
}

// Response tells that the platform took an order.
type Response struct {
	ID       ID                `json:"order-id"`
	Instance sillid.InstanceID `json:"instance-id"`
	State    string            `json:"state"`
}

var (
	// ErrNotFound is returned if the order has not arrived at the platform.
	ErrNotFound = errors.New("order not found: send it with the same id if it is still wanted")
	// ErrFenced is returned if the platform has seen a higher fencing number; the order had no effect.
	ErrFenced = errors.New("order refused for its old fencing number: leave orders to the lease's holder")
	// ErrRejected is returned if the platform refused the order for good; it had no effect.
	ErrRejected = errors.New("order rejected: check its pool, availability zone and instance")
)

// Client is the order interface as the rest of the program sees it. Its fields
// are safe for concurrent use.
type Client struct {
	// Send sends an order; mayAct is asked again right before the bytes leave.
	// Errors: ErrFenced, ErrRejected, sillcall.ErrNotSent,
	// sillcall.ErrNotPermitted (no effect); sillcall.ErrUnknown.
	Send func(ctx context.Context, order Order, mayAct func() bool) (Response, error)
	// Get looks an order up. Errors: ErrNotFound; any other tells nothing.
	Get func(ctx context.Context, id ID) (Response, error)
}

// Dial returns the order interface behind an HTTP address. It makes no call.
func Dial(cfg sillcall.Config) *Client {
	caller := sillcall.New(cfg)
	return &Client{
		Send: func(ctx context.Context, o Order, mayAct func() bool) (Response, error) {
			return send(ctx, caller, o, mayAct)
		},
		Get: func(ctx context.Context, id ID) (Response, error) { return get(ctx, caller, id) },
	}
}

func send(ctx context.Context, caller *sillcall.Caller, o Order, mayAct func() bool) (Response, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return Response{}, eris.Wrap(err, "sillorder.send: encode")
	}
	answer, err := caller.Post(ctx, "/orders", body, mayAct)
	if err != nil {
		return Response{}, eris.Wrapf(err, "sillorder.send: order %s", o.ID)
	}
	switch {
	case answer.Status == http.StatusOK:
		return decode(answer)
	case answer.Status == http.StatusConflict:
		return Response{}, eris.Wrapf(ErrFenced, "sillorder.send: order %s", o.ID)
	case answer.Status >= 400 && answer.Status < 500:
		return Response{}, eris.Wrapf(ErrRejected, "sillorder.send: order %s, status %d", o.ID, answer.Status)
	default:
		return Response{}, eris.Wrapf(sillcall.ErrUnknown, "sillorder.send: order %s, status %d", o.ID, answer.Status)
	}
}

func get(ctx context.Context, caller *sillcall.Caller, id ID) (Response, error) {
	answer, err := caller.Get(ctx, "/orders/"+url.PathEscape(string(id)))
	if err != nil {
		return Response{}, eris.Wrapf(err, "sillorder.get: order %s", id)
	}
	switch answer.Status {
	case http.StatusOK:
		return decode(answer)
	case http.StatusNotFound:
		return Response{}, eris.Wrapf(ErrNotFound, "sillorder.get: order %s", id)
	default:
		return Response{}, eris.Errorf("sillorder.get: order %s, status %d", id, answer.Status)
	}
}

// decode counts an answer that cannot be read as lost.
func decode(answer sillcall.Answer) (Response, error) {
	var a Response
	if err := answer.Decode(&a); err != nil {
		return Response{}, eris.Wrapf(sillcall.ErrUnknown, "sillorder.decode: %v", err)
	}
	return a, nil
}
