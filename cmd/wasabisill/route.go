package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillclient"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillexplanation"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const routeHelp = `Ask a running gateway without agents where a request or a job would go now, and why.

Nothing is sent to a target, counted or reserved. The answer names the route, the organisation, the target that would be chosen, all targets of the pool with their cost or the reason why they are left out, how long the request would wait or why it would be refused, and the age of what the gateway knows. The key is read from a file and never printed; the gateway gets its hash. With --body-file or --content, it also tells the evidence that requests with this content crash targets; the body itself is not sent. No permit is asked for: the answer tells the rate of permits, who grants them and when the next one is expected, if the gateway knows.

Exit codes: 0 answered, 1 the gateway is away, 2 wrong command line, 3 refused: wrong key, unknown route, or a gateway without a configuration.`

// defaultRouteTimeout bounds the question; a gateway answers it from its memory.
const defaultRouteTimeout = 5 * time.Second

// routeFlags are the flags of the command.
type routeFlags struct {
	gateway, method, host, path, keyFile, model, bodyFile, content string
	minVersion                                                     uint64
	tokens                                                         int
	deadline, timeout                                              time.Duration
	asJSON                                                         bool
}

func newRouteCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("route")
	describe(sub, routeHelp)
	f := routeFlags{timeout: defaultRouteTimeout}
	sub.String(&f.gateway, "", "gateway", "address on which the gateway serves its metrics, as IP:PORT")
	sub.String(&f.method, "", "method", "method of the request")
	sub.String(&f.host, "", "host", "host of the request")
	sub.String(&f.path, "", "path", "path of the request")
	sub.String(&f.keyFile, "", "key-file", "file with the key of the organisation")
	sub.String(&f.bodyFile, "", "body-file", "file with the body of the request, to look at crash evidence")
	sub.String(&f.content, "", "content", "fingerprint of the content as logs name it, instead of --body-file")
	sub.String(&f.model, "", "model", "model of a job")
	sub.UInt64(&f.minVersion, "", "min-version", "least weight version of a job")
	sub.Int(&f.tokens, "", "tokens", "expected length of a generation")
	sub.Duration(&f.deadline, "", "deadline", "time that the caller gives the request; that of the route by default")
	sub.Duration(&f.timeout, "", "timeout", "time for the question")
	sub.Bool(&f.asJSON, "", "json", "print the answer as JSON")
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error { return f.run(ctx) }}
}

func (f *routeFlags) run(ctx context.Context) error {
	q, err := f.question()
	if err != nil {
		return err
	}
	var body []byte
	if f.bodyFile != "" {
		if body, err = os.ReadFile(f.bodyFile); err != nil {
			return usageError("read the body: %w", err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, f.timeout)
	defer cancel()
	a, err := f.ask(ctx, q, body)
	var refused *sillexplanation.RefusedError
	switch {
	case errors.As(err, &refused) && refused.Status == http.StatusBadRequest:
		return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: refused}
	case errors.As(err, &refused):
		return &sillcommand.ExitError{Code: exitRefused, Err: refused}
	case err != nil:
		return fmt.Errorf("the gateway at %s does not answer: %w", f.gateway, err)
	case f.asJSON:
		return printJSON(a)
	}
	return sillexplanation.Write(os.Stdout, a)
}

// ask asks the gateway, and once more with the content if there is one: the answer names the
// organisation, on which the fingerprint depends.
func (f *routeFlags) ask(ctx context.Context, q *sillexplanation.Question, body []byte) (*sillexplanation.Answer, error) {
	client := sillclient.New(&http.Transport{Proxy: http.ProxyFromEnvironment})
	a, err := sillexplanation.Ask(ctx, client, f.gateway, q)
	if err != nil || (f.bodyFile == "" && f.content == "") {
		return a, err
	}
	withContent := *q
	withContent.Content = f.content
	if f.bodyFile != "" {
		withContent.Content = sillexplanation.Content(q, a, body)
	}
	told, err := sillexplanation.Ask(ctx, client, f.gateway, &withContent)
	var refused *sillexplanation.RefusedError
	if errors.As(err, &refused) && refused.Status == http.StatusBadRequest {
		fmt.Fprintln(os.Stderr, "the gateway does not tell crash evidence; it may be of an earlier build")
		return a, nil
	}
	return told, err
}

// question returns the question of the flags.
func (f *routeFlags) question() (*sillexplanation.Question, error) {
	if err := required([2]string{"gateway", f.gateway}, [2]string{"host", f.host}, [2]string{"path", f.path}); err != nil {
		return nil, err
	}
	if f.tokens < 0 || f.deadline < 0 {
		return nil, usageError("--tokens and --deadline must not be negative")
	}
	if _, ok := sillcrash.ParseFingerprint(f.content); f.content != "" && (!ok || f.bodyFile != "") {
		return nil, usageError("--content must be a fingerprint of 32 hexadecimal digits, without --body-file")
	}
	q := &sillexplanation.Question{
		Method: f.method, Host: f.host, Path: f.path, Model: sillid.ModelID(f.model), MinVersion: sillid.WeightVersion(f.minVersion),
		Tokens: f.tokens, DeadlineMS: f.deadline.Milliseconds(),
	}
	if f.keyFile == "" {
		return q, nil
	}
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return nil, usageError("read the key: %w", err)
	}
	q.KeySHA256 = sillexplanation.HashKey(strings.TrimSpace(string(key)))
	return q, nil
}
