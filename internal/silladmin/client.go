package silladmin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbody"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// Client calls the administration API.
type Client struct {
	// BaseURL is the address of the API, without a path.
	BaseURL string
	// Token is the operator's credential.
	Token string
	// HTTP sends the calls.
	HTTP *http.Client
}

// RefusedError is an answer of the API that refuses a call.
type RefusedError struct {
	Kind   sillproblem.Kind `json:"kind"`
	Title  string           `json:"title"`
	Detail string           `json:"detail"`
	Remedy string           `json:"remedy"`
}

// Error returns the reason and the remedy.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s: %s %s %s", e.Kind, e.Title, e.Detail, e.Remedy)
}

// Bundle returns an accepted version; version 0 asks for the current one, which
// is version 0 with an empty bundle before the first.
func (c *Client) Bundle(ctx context.Context, v sillid.BundleVersion) (sillid.BundleVersion, *sillbundle.Bundle, error) {
	path := "/bundle"
	if v != 0 {
		path += "?version=" + strconv.FormatUint(uint64(v), 10)
	}
	var result versionAnswer
	if err := c.call(ctx, http.MethodGet, path, nil, &result); err != nil {
		return 0, nil, err
	}
	if result.Signed == nil {
		return 0, &sillbundle.Bundle{}, nil
	}
	b, err := sillbundle.Decode(result.Signed.Bundle)
	return result.Version, b, err
}

// Accept hands a signed bundle in.
func (c *Client) Accept(ctx context.Context, signed *sillbundle.Signed) (sillbundlestore.Accepted, error) {
	var accepted sillbundlestore.Accepted
	err := c.call(ctx, http.MethodPost, "/bundle", signed, &accepted)
	return accepted, err
}

// RollBack hands in the content of an earlier version, signed anew.
func (c *Client) RollBack(ctx context.Context, to sillid.BundleVersion, signed *sillbundle.Signed) (sillbundlestore.Accepted, error) {
	var accepted sillbundlestore.Accepted
	err := c.call(ctx, http.MethodPost, "/bundle/roll-back", rollBackCall{To: to, Signed: *signed}, &accepted)
	return accepted, err
}

// Withdraw hands in a signed withdrawal and returns whether the store has it already.
func (c *Client) Withdraw(ctx context.Context, w sillbundle.Withdrawal) (bool, error) {
	var result withdrawAnswer
	err := c.call(ctx, http.MethodPost, "/withdrawals", w, &result)
	return result.Recorded, err
}

// Status returns the accepted version, nil while the store does not answer, and
// each process's.
func (c *Client) Status(ctx context.Context) (*sillbundlestore.Head, []ProcessStatus, error) {
	var result statusAnswer
	err := c.call(ctx, http.MethodGet, "/bundle/status", nil, &result)
	return result.Current, result.Processes, err
}

// History returns the last accepted versions, the newest first.
func (c *Client) History(ctx context.Context, limit int) ([]sillbundlestore.Accepted, error) {
	var result historyAnswer
	err := c.call(ctx, http.MethodGet, "/bundle/history?limit="+strconv.Itoa(limit), nil, &result)
	return result.Versions, err
}

func (c *Client) call(ctx context.Context, method, path string, body, result any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return eris.Wrap(err, "silladmin.call: encode")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.BaseURL, "/")+"/admin/v1"+path, bytes.NewReader(data))
	if err != nil {
		return eris.Wrap(err, "silladmin.call: check --admin-url")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return eris.Wrap(err, "silladmin.call: the administration API does not answer; try another gateway")
	}
	defer resp.Body.Close()
	answer, err := sillbody.ReadAll(resp.Body, maxBodyBytes)
	if err != nil {
		return eris.Wrap(err, "silladmin.call: the answer broke off; the same call may be sent again")
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return refusal(resp.StatusCode, answer)
	}
	return eris.Wrap(json.Unmarshal(answer, result), "silladmin.call: decode")
}

func refusal(status int, answer []byte) error {
	var refused RefusedError
	if err := json.Unmarshal(answer, &refused); err != nil || refused.Kind == "" {
		return eris.Errorf("silladmin.call: status %d; check that --admin-url is the administration port", status)
	}
	return &refused
}
