// Package sillinstance is the client of the platform's list of instances. The list
// lags behind the actual state.
package sillinstance

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillcall"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// State is the state of an instance as reported by the platform.
type State string

const (
	// Live is the state of an instance that was running when the list was made.
	Live State = "live"
	// Leaving is the state of an instance that is about to end.
	Leaving State = "leaving"
)

// Instance is one entry of the list.
type Instance struct {
	ID     sillid.InstanceID `json:"instance-id"`
	Target sillid.TargetID   `json:"target-id"`
	Pool   sillid.PoolID     `json:"pool"`
	Zone   sillid.ZoneID     `json:"availability-zone"`
	// AgentAddress is "IP:PORT".
	AgentAddress string `json:"agent-address"`
	State        State  `json:"state"`
}

// List is the list of instances at the time AsOf.
type List struct {
	AsOf      time.Time
	Instances []Instance
}

// Client is the interface to the list of instances. Its fields are safe for
// concurrent use.
type Client struct {
	// List reads the list.
	List func(ctx context.Context) (List, error)
}

// Config holds what a client needs.
type Config struct {
	Call sillcall.Config
	// OnSkipped, if not nil, is called for each entry that is not valid. The others hold.
	OnSkipped func(err error)
}

// Dial returns a client of the list at an HTTP address. It makes no call.
func Dial(cfg Config) *Client {
	caller := sillcall.New(cfg.Call)
	if cfg.OnSkipped == nil {
		cfg.OnSkipped = func(error) {}
	}
	return &Client{List: func(ctx context.Context) (List, error) { return list(ctx, caller, cfg.OnSkipped) }}
}

func list(ctx context.Context, caller *sillcall.Caller, onSkipped func(error)) (List, error) {
	resp, err := caller.Get(ctx, "/instances")
	if err != nil {
		return List{}, eris.Wrap(err, "sillinstance.list")
	}
	if resp.Status != http.StatusOK {
		return List{}, eris.Errorf("sillinstance.list: status %d", resp.Status)
	}
	l, err := decodeList(resp.Body, onSkipped)
	return l, eris.Wrap(err, "sillinstance.list")
}
