package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillclient"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// defaultAdminTimeout bounds one call of the administration API.
const defaultAdminTimeout = 30 * time.Second

// remoteFlags are the flags for calls to the administration API.
type remoteFlags struct {
	adminURL       string
	credentialFile string
	caFile         string
	timeout        time.Duration
}

func (r *remoteFlags) attach(sub *flaggy.Subcommand) {
	r.timeout = defaultAdminTimeout
	sub.String(&r.adminURL, "", "admin-url", "address of a gateway's administration port, as https://IP:PORT")
	sub.String(&r.credentialFile, "", "credential-file", "file of the operator's bearer token")
	sub.String(&r.caFile, "", "ca-file", "file of the certificates that sign the gateway's, PEM; the system's by default")
	sub.Duration(&r.timeout, "", "timeout", "time for one call")
}

func (r *remoteFlags) client() (*silladmin.Client, error) {
	if err := required([2]string{"admin-url", r.adminURL}, [2]string{"credential-file", r.credentialFile}); err != nil {
		return nil, err
	}
	token, err := os.ReadFile(r.credentialFile)
	if err != nil {
		return nil, usageError("read the credential: %w", err)
	}
	transport := &http.Transport{}
	if r.caFile != "" {
		transport.TLSClientConfig, err = tlsConfig(r.caFile)
		if err != nil {
			return nil, err
		}
	}
	client := sillclient.New(transport)
	client.Timeout = r.timeout
	return &silladmin.Client{BaseURL: r.adminURL, Token: strings.TrimSpace(string(token)), HTTP: client}, nil
}

// tlsConfig returns a configuration that trusts only the certificates of a file.
func tlsConfig(path string) (*tls.Config, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("read the certificates: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageError("%s holds no certificate in PEM", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// bundleOrFile returns the bundle in a file, or the accepted one if path is empty.
func (r *remoteFlags) bundleOrFile(ctx context.Context, path string) (*sillbundle.Bundle, error) {
	if path != "" {
		return readBundle(path)
	}
	c, err := r.client()
	if err != nil {
		return nil, err
	}
	_, b, err := c.Bundle(ctx, 0)
	return b, refused(err)
}

// refused adds the exit code to an error if the API refused the call.
func refused(err error) error {
	var e *silladmin.RefusedError
	if errors.As(err, &e) {
		return &sillcommand.ExitError{Code: exitRefused, Err: err}
	}
	return err
}

func newRollOutCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("roll-out")
	sub.Description = rollOutHelp
	var file string
	var remote remoteFlags
	sub.String(&file, "", "signed", "file of the signed bundle")
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		if err := required([2]string{"signed", file}); err != nil {
			return err
		}
		data, err := os.ReadFile(file)
		if err != nil {
			return usageError("read the signed bundle: %w", err)
		}
		var signed sillbundle.Signed
		if err := json.Unmarshal(data, &signed); err != nil {
			return usageError("%s holds no signed bundle: %w", file, err)
		}
		c, err := remote.client()
		if err != nil {
			return err
		}
		return printAccepted(c.Accept(ctx, &signed))
	}}
}

func printAccepted(accepted sillbundlestore.Accepted, err error) error {
	if err != nil {
		return refused(err)
	}
	fmt.Printf("Accepted as version %d.\n", accepted.Version)
	return nil
}

func newRollBackCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("roll-back")
	sub.Description = rollBackHelp
	var to uint64
	var operator operatorFlags
	var remote remoteFlags
	sub.UInt64(&to, "", "to", "version whose content comes back")
	operator.attach(sub)
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		if to == 0 {
			return usageError("set --to")
		}
		return rollBack(ctx, sillid.BundleVersion(to), &operator, &remote)
	}}
}

func rollBack(ctx context.Context, to sillid.BundleVersion, operator *operatorFlags, remote *remoteFlags) error {
	c, err := remote.client()
	if err != nil {
		return err
	}
	e, err := newEditor(c, operator)
	if err != nil {
		return err
	}
	e.Accept = func(ctx context.Context, signed *sillbundle.Signed) (sillbundlestore.Accepted, error) {
		return c.RollBack(ctx, to, signed)
	}
	return printAccepted(e.RollBack(ctx, to))
}

// newEditor returns an editor that uses the administration API.
func newEditor(c *silladmin.Client, operator *operatorFlags) (*sillbundlestore.Editor, error) {
	key, err := operator.key()
	if err != nil {
		return nil, err
	}
	return &sillbundlestore.Editor{
		Current: func(ctx context.Context) (sillid.BundleVersion, *sillbundle.Bundle, error) { return c.Bundle(ctx, 0) },
		Load: func(ctx context.Context, v sillid.BundleVersion) (*sillbundle.Bundle, error) {
			_, b, err := c.Bundle(ctx, v)
			return b, err
		},
		Accept: c.Accept,
		IsConflict: func(err error) bool {
			var e *silladmin.RefusedError
			return errors.As(err, &e) && e.Kind == sillproblem.BundleConflict
		},
		Sign: func(b *sillbundle.Bundle, base sillid.BundleVersion) *sillbundle.Signed {
			return sillbundle.Sign(b, base, sillbundle.OperatorName(operator.name), key)
		},
	}, nil
}

func newStatusCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("status")
	sub.Description = statusHelp
	var asJSON bool
	var remote remoteFlags
	sub.Bool(&asJSON, "", "json", "print JSON")
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		c, err := remote.client()
		if err != nil {
			return err
		}
		head, processes, err := c.Status(ctx)
		if err != nil {
			return refused(err)
		}
		if asJSON {
			return printJSON(processes)
		}
		printStatus(head, processes)
		return nil
	}}
}

func printStatus(head *sillbundlestore.Head, processes []silladmin.ProcessStatus) {
	if head == nil {
		fmt.Println("accepted: unknown, the store does not answer")
	} else {
		fmt.Printf("accepted: version %d by %s at %s\n", head.Version, head.By, atTime(head.AcceptedAtMS))
	}
	for _, p := range processes {
		fmt.Printf("%-32s %-8s %-16s version %d\n", p.Process, p.Role, p.Zone, p.Version)
	}
}

func atTime(ms int64) string {
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}

func newHistoryCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("history")
	sub.Description = historyHelp
	limit := 20
	var remote remoteFlags
	sub.Int(&limit, "", "limit", "number of versions")
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		c, err := remote.client()
		if err != nil {
			return err
		}
		versions, err := c.History(ctx, limit)
		if err != nil {
			return refused(err)
		}
		for _, v := range versions {
			fmt.Printf("version %-8d %s by %s\n", v.Version, atTime(v.AcceptedAtMS), v.By)
		}
		return nil
	}}
}
