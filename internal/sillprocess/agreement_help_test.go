package sillprocess

import (
	"bufio"
	"context"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// goalLimit is the stated time for a withdrawal and for a version in force.
const goalLimit = 8 * time.Second

// passage passes one gateway's calls to the platform and can be cut.
type passage struct {
	url    string
	server *httptest.Server
	// cut drops every call, cutTable those of the table service.
	cut, cutTable atomic.Bool
	// loseHeads drops the answer of every other transaction that changed the
	// head row of the bundle; lost counts them.
	loseHeads atomic.Bool
	heads     atomic.Int64
	lost      atomic.Int64
}

func newPassage(t *testing.T, platform string) *passage {
	p := &passage{url: platform}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

// ServeHTTP passes a call on; a cut one gets no answer.
func (p *passage) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.cut.Load() || (p.cutTable.Load() && strings.HasPrefix(r.URL.Path, "/table/")) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out, err := http.NewRequestWithContext(r.Context(), r.Method, p.url+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = r.Header.Clone()
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	if p.losesAnswer(r, body, resp.StatusCode) {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = io.Copy(w, resp.Body)
}

// losesAnswer decides whether the answer of a transaction that took effect is dropped.
func (p *passage) losesAnswer(r *http.Request, body []byte, status int) bool {
	isHead := r.URL.Path == "/table/commit" && status == http.StatusOK && strings.Contains(string(body), `"`+sillbundlestore.HeadKey+`"`)
	if !isHead || !p.loseHeads.Load() || p.heads.Add(1)%2 == 0 {
		return false
	}
	p.lost.Add(1)
	return true
}

// passages gives each started gateway a passage of its own.
type passages struct {
	t    *testing.T
	list []*passage
}

func (p *passages) tune(s *sillsettings.Gateway) {
	one := newPassage(p.t, s.Platform.URL)
	p.list = append(p.list, one)
	s.Platform.URL = one.server.URL
	s.Platform.Timeout = 0.5
}

// platformFaults sets the faults of the platform; nil lifts them.
func (c *cluster) platformFaults(faults map[string]any) {
	c.t.Helper()
	if faults == nil {
		faults = map[string]any{}
	}
	c.control(c.platformURL+"/standin/faults", faults)
}

var down = map[string]any{"down": true}

// platformRecord is what the platform's stand-in recorded.
type platformRecord struct {
	Table struct {
		Reads  int `json:"reads"`
		Writes int `json:"writes"`
	} `json:"table"`
	Orders       []sillstandplatform.Order       `json:"orders"`
	UsageWindows []sillstandplatform.UsageWindow `json:"usage-windows"`
}

func (c *cluster) platformRecord() platformRecord {
	c.t.Helper()
	resp, err := http.Get(c.platformURL + "/standin/record")
	check(c.t, err)
	defer resp.Body.Close()
	var r platformRecord
	check(c.t, json.NewDecoder(resp.Body).Decode(&r))
	return r
}

// table reads the platform's table past the gateways.
func (c *cluster) table() *silltable.Store {
	return silltable.Dial(silltable.Config{BaseURL: c.platformURL, Timeout: time.Second})
}

func (c *cluster) adminClient(g *gateway) *silladmin.Client {
	return &silladmin.Client{BaseURL: g.admin, Token: c.admin, HTTP: &http.Client{Timeout: waitLimit}}
}

// accept signs a change of the accepted bundle and hands it in.
func (c *cluster) accept(edit func(b *sillbundle.Bundle)) sillid.BundleVersion {
	c.t.Helper()
	ctx := context.Background()
	head, err := c.publisher.Head(ctx)
	check(c.t, err)
	signed, err := c.publisher.Load(ctx, head.Version)
	check(c.t, err)
	b, err := sillbundle.Decode(signed.Bundle)
	check(c.t, err)
	edit(b)
	var accepted sillbundlestore.Accepted
	accepted, err = c.publisher.Accept(ctx, sillbundle.Sign(b, head.Version, operator, c.operatorKey))
	check(c.t, err)
	return accepted.Version
}

// shell holds what an operator's commands need.
type shell struct {
	keyFile, credentialFile string
}

func (c *cluster) shell() shell {
	c.t.Helper()
	der, err := x509.MarshalPKCS8PrivateKey(c.operatorKey)
	check(c.t, err)
	s := shell{keyFile: filepath.Join(c.dir, "operator.pem"), credentialFile: filepath.Join(c.dir, "credential")}
	check(c.t, os.WriteFile(s.keyFile, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600))
	check(c.t, os.WriteFile(s.credentialFile, []byte(c.admin), 0o600))
	return s
}

// bundleCommand runs `wasabisill bundle` against a gateway and returns what it
// printed and its exit code.
func (c *cluster) bundleCommand(g *gateway, args ...string) (string, int) {
	c.t.Helper()
	s := c.shell()
	args = append(append([]string{"bundle"}, args...), "--admin-url", g.admin, "--credential-file", s.credentialFile)
	if args[1] == "withdraw-key" || args[1] == "roll-back" || args[1] == "sign" {
		args = append(args, "--operator", string(operator), "--operator-key-file", s.keyFile)
	}
	out, err := exec.Command(filepath.Join(binaries, "wasabisill"), args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return string(out), exit.ExitCode()
	}
	check(c.t, err)
	return string(out), 0
}

// problemKind returns the kind of a refusal, or "".
func problemKind(a answer) sillproblem.Kind {
	var p struct {
		Kind sillproblem.Kind `json:"kind"`
	}
	_ = json.Unmarshal([]byte(a.body), &p)
	return p.Kind
}

// within fails unless f holds before the end.
func within(t *testing.T, end time.Time, what string, f func() bool) {
	t.Helper()
	for !f() {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stream is a streamed answer that is read in the background.
type stream struct {
	mu    sync.Mutex
	lines []string
	done  chan struct{}
}

const (
	// streamSeed is the seed of the streamed generations.
	streamSeed = 1
	// streamTokens is a length that no test waits for.
	streamTokens = 400
)

// longPrompt returns a prompt whose generation goes on for streamTokens at least.
func longPrompt(t testing.TB) string {
	t.Helper()
	for i := range 10000 {
		prompt := fmt.Sprintf("go on %d", i)
		if sillstandengine.StopLength(prompt, streamSeed) >= streamTokens {
			return prompt
		}
	}
	t.Fatal("no prompt has a long generation")
	return ""
}

// openStream starts a streamed generation and waits for its first token.
func (c *cluster) openStream(g *gateway, key sillid.OrganisationID) *stream {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodPost, g.callers+"/cue-lm/v1/completions",
		strings.NewReader(fmt.Sprintf(`{"prompt":%q,"seed":%d,"max_tokens":%d,"stream":true}`, longPrompt(c.t), streamSeed, streamTokens)))
	check(c.t, err)
	req.Header.Set("Authorization", "Bearer "+c.keys[key])
	resp, err := http.DefaultClient.Do(req)
	check(c.t, err)
	c.t.Cleanup(func() { _ = resp.Body.Close() })
	s := &stream{done: make(chan struct{})}
	sillgroup.New(context.Background()).Go(func(context.Context) {
		defer close(s.done)
		for r := bufio.NewScanner(resp.Body); r.Scan(); {
			s.mu.Lock()
			s.lines = append(s.lines, r.Text())
			s.mu.Unlock()
		}
	})
	eventually(c.t, "the stream begins", func() bool { return s.holds("data: ") })
	return s
}

func (s *stream) holds(text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Contains(strings.Join(s.lines, "\n"), text)
}

func (s *stream) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// keptOpen sends requests over one connection.
type keptOpen struct {
	c    *cluster
	g    *gateway
	http *http.Client
}

func (c *cluster) keptOpen(g *gateway) *keptOpen {
	transport := &http.Transport{MaxConnsPerHost: 1}
	c.t.Cleanup(transport.CloseIdleConnections)
	return &keptOpen{c: c, g: g, http: &http.Client{Transport: transport, Timeout: waitLimit}}
}

func (k *keptOpen) get(key sillid.OrganisationID) answer {
	req, err := http.NewRequest(http.MethodGet, k.g.callers+"/slot-desk/availability", http.NoBody)
	check(k.c.t, err)
	req.Header.Set("Authorization", "Bearer "+k.c.keys[key])
	resp, err := k.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, body: string(body), err: err}
}

// metric returns the sum over the series of a metric that hold the label.
func (c *cluster) metric(address, name, label string) float64 {
	c.t.Helper()
	resp, err := http.Get(address + "/metrics")
	check(c.t, err)
	defer resp.Body.Close()
	sum := 0.0
	for r := bufio.NewScanner(resp.Body); r.Scan(); {
		line := r.Text()
		if !strings.HasPrefix(line, name) || !strings.Contains(line, label) {
			continue
		}
		value, err := strconv.ParseFloat(line[strings.LastIndexByte(line, ' ')+1:], 64)
		check(c.t, err)
		sum += value
	}
	return sum
}
