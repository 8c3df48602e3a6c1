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

// ID identifies an order. The platform executes an order once per ID, however
// often it is sent.
type ID string

// Action is the kind of an order.
type Action string

const (
	// Start requests a new instance.
	Start Action = "start"
	// Stop requests that an instance be stopped.
	Stop Action = "stop"
)

// Order asks the platform to start or stop one instance.
type Order struct {
	ID ID `json:"order-id"`
	// Fencing is the fencing number of the order.
	Fencing sillid.Epoch  `json:"fencing-number"`
	Action  Action        `json:"action"`
	Pool    sillid.PoolID `json:"pool"`
	Zone    sillid.ZoneID `json:"availability-zone"`
	// Instance is the instance to stop; empty for a start.
	Instance sillid.InstanceID `json:"instance-id,omitempty"`
}

// Response is the platform's confirmation that it accepted an order.
type Response struct {
	ID       ID                `json:"order-id"`
	Instance sillid.InstanceID `json:"instance-id"`
	State    string            `json:"state"`
}

var (
	// ErrNotFound is returned if the platform has not received the order.
	ErrNotFound = errors.New("order not found: send it with the same id if it is still wanted")
	// ErrFenced is returned if the platform has seen a higher fencing number; the order had no effect.
	ErrFenced = errors.New("order refused for its old fencing number: leave orders to the lease's holder")
	// ErrRejected is returned if the platform rejected the order permanently; it had no effect.
	ErrRejected = errors.New("order rejected: check its pool, availability zone and instance")
)

// Client is the interface to the platform's order service. Its fields are safe for
// concurrent use.
type Client struct {
	// Send sends an order. It calls mayAct right before the request leaves.
	// Errors without an effect: ErrFenced, ErrRejected, sillcall.ErrNotSent,
	// sillcall.ErrNotPermitted. After sillcall.ErrUnknown the order may have
	// taken effect.
	Send func(ctx context.Context, order Order, mayAct func() bool) (Response, error)
	// Get looks an order up. It returns ErrNotFound if the order does not exist;
	// any other error leaves open whether it exists.
	Get func(ctx context.Context, id ID) (Response, error)
}

// Dial returns a client of the order service at an HTTP address. It makes no call.
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
	resp, err := caller.Post(ctx, "/orders", body, mayAct)
	if err != nil {
		return Response{}, eris.Wrapf(err, "sillorder.send: order %s", o.ID)
	}
	switch {
	case resp.Status == http.StatusOK:
		return decode(resp)
	case resp.Status == http.StatusConflict:
		return Response{}, eris.Wrapf(ErrFenced, "sillorder.send: order %s", o.ID)
	case resp.Status >= 400 && resp.Status < 500:
		return Response{}, eris.Wrapf(ErrRejected, "sillorder.send: order %s, status %d", o.ID, resp.Status)
	default:
		return Response{}, eris.Wrapf(sillcall.ErrUnknown, "sillorder.send: order %s, status %d", o.ID, resp.Status)
	}
}

func get(ctx context.Context, caller *sillcall.Caller, id ID) (Response, error) {
	resp, err := caller.Get(ctx, "/orders/"+url.PathEscape(string(id)))
	if err != nil {
		return Response{}, eris.Wrapf(err, "sillorder.get: order %s", id)
	}
	switch resp.Status {
	case http.StatusOK:
		return decode(resp)
	case http.StatusNotFound:
		return Response{}, eris.Wrapf(ErrNotFound, "sillorder.get: order %s", id)
	default:
		return Response{}, eris.Errorf("sillorder.get: order %s, status %d", id, resp.Status)
	}
}

// decode decodes a response. One that cannot be decoded counts as lost, so that the
// outcome of the call is unknown.
func decode(resp sillcall.Response) (Response, error) {
	var r Response
	if err := resp.Decode(&r); err != nil {
		return Response{}, eris.Wrapf(sillcall.ErrUnknown, "sillorder.decode: %v", err)
	}
	return r, nil
}
