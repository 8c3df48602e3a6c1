package sillload

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// requestIDHeader names the request in answers.
const requestIDHeader = "X-Request-Id"

// Deployment holds the addresses of the parts of a running deployment.
type Deployment struct {
	// Gateways are the base URLs of the callers' side.
	Gateways []string `json:"gateways"`
	// Keys are the organisations' keys.
	Keys map[sillid.OrganisationID]string `json:"keys"`
	// Engines and Services are the stand-ins of the targets by name.
	Engines  map[sillid.TargetID]string `json:"engines"`
	Services map[sillid.TargetID]string `json:"services"`
	// Platform is the stand-in of the platform; empty if there is none.
	Platform string `json:"platform"`
	// UsageSettleSeconds is the time from the end of the load until all usage
	// is reported; 0 means that the deployment reports none.
	UsageSettleSeconds int `json:"usage-settle-seconds"`
}

// Check errs at an address that is not on loopback.
func (d *Deployment) Check() error {
	if len(d.Gateways) == 0 {
		return eris.New("sillload.Check: gateways: give at least one")
	}
	urls := append([]string{}, d.Gateways...)
	for _, u := range d.Engines {
		urls = append(urls, u)
	}
	for _, u := range d.Services {
		urls = append(urls, u)
	}
	if d.Platform != "" {
		urls = append(urls, d.Platform)
	}
	for _, u := range urls {
		if err := checkLoopback(u); err != nil {
			return err
		}
	}
	return nil
}

func checkLoopback(raw string) error {
	u, err := url.Parse(raw)
	if err != nil {
		return eris.Wrap(err, "sillload.checkLoopback")
	}
	addr, err := netip.ParseAddr(u.Hostname())
	if err != nil || !addr.IsLoopback() {
		return eris.Errorf("sillload.checkLoopback: %s: load is put on loopback addresses only", raw)
	}
	return nil
}

// Bounds of the HTTP client.
const (
	dialTimeout     = 2 * time.Second
	idleConnections = 256
)

// newClient returns a client that keeps connections open and dials loopback only.
func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			addr, err := netip.ParseAddrPort(address)
			if err != nil || !addr.Addr().IsLoopback() {
				return nil, eris.Errorf("sillload.newClient: %s: load is put on loopback addresses only", address)
			}
			return dialer.DialContext(ctx, network, address)
		},
	}}
}

// isDialError returns whether no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func hashOf(b []byte) string {
	sum := sha256.Sum256(b)
	const length = 16
	return hex.EncodeToString(sum[:length])
}
