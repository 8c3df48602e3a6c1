package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/integrii/flaggy"
	"github.com/sebdah/goldie/v2"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillmemobject"
	"github.com/wasabisill/wasabisill/internal/sillmemtable"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const sessionToken = "credential"

// session runs commands of an operator against an administration API and keeps
// what they print.
type session struct {
	t    *testing.T
	dir  string
	url  string
	down atomic.Bool
	log  bytes.Buffer
}

func newSession(t *testing.T) *session {
	t.Helper()
	s := &session{t: t, dir: t.TempDir()}
	s.write("credential", sessionToken+"\n")
	return s
}

func (s *session) path(name string) string { return filepath.Join(s.dir, name) }

func (s *session) write(name, content string) {
	s.t.Helper()
	if err := os.WriteFile(s.path(name), []byte(content), 0o600); err != nil {
		s.t.Fatal(err)
	}
}

// serve starts the administration API for the operator with the public key.
func (s *session) serve(public ed25519.PublicKey) {
	operators := sillbundle.Operators{"ann": public}
	table := &sillmemtable.Table{Fault: func(context.Context, string) error {
		if s.down.Load() {
			return silltable.ErrUnavailable
		}
		return nil
	}}
	objects := &sillmemobject.Objects{}
	server := httptest.NewServer(silladmin.New(silladmin.Config{
		Publisher: sillbundlestore.NewPublisher(sillbundlestore.PublisherConfig{
			Table: table.Store(), Objects: objects.Store(), Operators: operators,
			Now: func() time.Time { return time.Unix(1_800_000_000, 0) }, RetryInterval: time.Nanosecond,
		}),
		Credentials: []silladmin.Credential{{Operator: "ann", TokenHash: sillbundle.HashKey(sessionToken)}},
		Operators:   operators,
		Apply:       func(sillid.BundleVersion, *sillbundle.Signed) {},
		Withdraw:    func(sillbundle.Withdrawal) error { return nil },
		Processes: func() []silladmin.ProcessStatus {
			return []silladmin.ProcessStatus{{Process: "gateway-1", Role: "gateway", Zone: "tx-1", Version: 1}}
		},
	}))
	s.t.Cleanup(server.Close)
	s.url = server.URL
}

// run carries out one command line and logs its output and exit code.
func (s *session) run(line string) string {
	s.t.Helper()
	line = strings.ReplaceAll(line, "@admin", "--admin-url URL --credential-file DIR/credential")
	line = strings.ReplaceAll(line, "@ann", "--operator ann --operator-key-file DIR/ann.pem")
	fmt.Fprintf(&s.log, "$ wasabisill bundle %s\n", line)
	var args []string
	for _, a := range strings.Fields(line) {
		a = strings.ReplaceAll(a, "DIR", s.dir)
		args = append(args, strings.ReplaceAll(a, "URL", s.url))
	}
	output := s.capture(func() error { return runBundle(args) })
	s.log.WriteString(strings.NewReplacer(s.dir, "DIR", s.url, "URL").Replace(output))
	return output
}

func runBundle(args []string) error {
	c := newBundleCommand()
	c.Sub.Used = true
	p := flaggy.NewParser("wasabisill")
	p.AttachSubcommand(c.Sub, 1)
	c.AttachChildren()
	if err := p.ParseArgs(append([]string{"bundle"}, args...)); err != nil {
		return err
	}
	return c.Used().Run(context.Background())
}

// capture returns what run prints, and its error with the exit code.
func (s *session) capture(run func() error) string {
	s.t.Helper()
	f, err := os.Create(s.path("stdout"))
	if err != nil {
		s.t.Fatal(err)
	}
	stdout := os.Stdout
	os.Stdout = f
	runErr := run()
	os.Stdout = stdout
	_ = f.Close()
	data, err := os.ReadFile(s.path("stdout"))
	if err != nil {
		s.t.Fatal(err)
	}
	if runErr == nil {
		return string(data)
	}
	code := sillcommand.ExitFailed
	var e *sillcommand.ExitError
	if errors.As(runErr, &e) {
		code = e.Code
	}
	return fmt.Sprintf("%serror: %v\nexit code %d\n", data, runErr, code)
}

const sessionBundle = `{
  "organisations": [{"id": "utility", "weight": %d, "routes": ["desk"], "keys": [
    {"label": "main", "hash": "%s"}, {"label": "old", "hash": "%s"}]}],
  "routes": [{"id": "desk", "path-prefix": "/desk", "kind": "service", "pool": "slot-desk"}],
  "pools": [{"id": "slot-desk", "kind": "service", "max-per-zone": 4}]
}`

func (s *session) writeBundle(name string, weight int) {
	s.write(name, fmt.Sprintf(sessionBundle, weight, sillbundle.HashKey("k1"), sillbundle.HashKey("k2")))
}

// newOperator makes the operator's key outside of the log, since it is random.
func (s *session) newOperator() ed25519.PublicKey {
	s.t.Helper()
	output := s.capture(func() error { return runBundle([]string{"operator", "new", "--operator-key-file", s.path("ann.pem")}) })
	text, found := strings.CutPrefix(strings.TrimSpace(output), "public key: ")
	public, err := base64.StdEncoding.DecodeString(text)
	if !found || err != nil {
		s.t.Fatalf("output %q, %v", output, err)
	}
	return public
}

func TestBundleSession(t *testing.T) {
	s := newSession(t)
	s.serve(s.newOperator())
	s.writeBundle("one.json", 1)
	s.writeBundle("two.json", 2)
	s.writeBundle("bad.json", -1)
	s.run("check --bundle DIR/bad.json")
	s.run("check --bundle DIR/one.json")
	s.run("sign --bundle DIR/one.json --out DIR/one.signed @ann @admin")
	s.run("roll-out --signed DIR/one.signed @admin")
	s.run("roll-out --signed DIR/one.signed @admin")
	s.run("get --out DIR/accepted.json @admin")
	s.run("diff --bundle DIR/accepted.json @admin")
	s.run("diff --bundle DIR/two.json @admin")
	s.run("sign --bundle DIR/two.json --base-version 1 --out DIR/two.signed @ann")
	s.run("sign --bundle DIR/two.json --base-version 0 --out DIR/late.signed @ann")
	s.run("roll-out --signed DIR/late.signed @admin")
	s.run("roll-out --signed DIR/two.signed @admin")
	s.run("withdraw-key --organisation utility --label old @ann @admin")
	s.run("roll-back --to 1 @ann @admin")
	s.run("roll-back --to 9 @ann @admin")
	s.run("get --bundle-version 9 --out DIR/accepted.json @admin")
	s.run("diff --bundle DIR/one.json @admin")
	s.run("status @admin")
	s.down.Store(true)
	s.run("withdraw-key --hash " + string(sillbundle.HashKey("k1")) + " @ann @admin")
	s.run("status @admin")
	s.down.Store(false)
	s.run("history --limit 3 @admin")
	s.run("history")
	s.run("operator new --operator-key-file DIR/ann.pem")
	goldie.New(t).Assert(t, "bundle-session", s.log.Bytes())
}

func TestKeyNewPrintsAKeyWithItsHash(t *testing.T) {
	s := newSession(t)
	output := s.run("key new")
	var key, hash string
	if _, err := fmt.Sscanf(output, "key:  %s\nhash: %s\n", &key, &hash); err != nil {
		t.Fatal(err)
	}
	if string(sillbundle.HashKey(key)) != hash {
		t.Errorf("hash %s does not belong to the key", hash)
	}
	if other := s.run("key new"); other == output {
		t.Error("the same key twice")
	}
}
