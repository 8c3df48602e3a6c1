package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
	"github.com/sebdah/goldie/v2"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/internal/sillexplanation"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const routeKey = "secret-of-org"

// crashingContent is a fingerprint on which answerRoute has crash evidence.
const crashingContent = "00112233445566778899aabbccddeeff"

// answerRoute answers questions as a gateway with one route does.
func answerRoute(w http.ResponseWriter, r *http.Request) {
	var q sillexplanation.Question
	_ = json.NewDecoder(r.Body).Decode(&q)
	status, age, next := http.StatusOK, int64(12), int64(700)
	var body any = sillexplanation.Answer{
		Gateway: "front-a", Zone: "z-1", ConfigVersion: 3, Route: "plain", Kind: "idempotent", Organisation: "org",
		Ages: sillexplanation.Ages{ConfigMS: &age, TargetsMS: &age, GatewaysMS: &age},
		Pools: []sillexplanation.Pool{
			{Pool: "desk", Share: 0.9, Action: sillexplanation.Send, Target: "i-0", Behaviours: []sillexplanation.Behaviour{
				{Behaviour: "outlier-ejection", Signal: "unsound-targets"}, {Behaviour: "queue-by-priority", Signal: "priorities-differ"},
			}, Candidates: []sillexplanation.Candidate{
				{Target: "i-0", Zone: "z-1", Cost: 0.25, Load: 1, Slots: 4, LoadAgeMS: &age, ExpectedMS: 80},
				{Target: "i-1", Zone: "z-2", Cost: 0.5, Load: 4, Slots: 4, Excluded: "limited", PerSecond: 0.5, WaitMS: 700, Permits: &sillexplanation.Permits{
					GrantedBy: "this-gateway", Granter: "front-a", NextMS: &next,
					Rates: []sillexplanation.PermitRate{{Reason: "limit", PerSecond: 0.5, Burst: 2.25}, {Reason: "cold", PerSecond: 3, Burst: 2}},
				}},
				{Target: "i-2", Zone: "z-2", Cost: 0.7, Load: 4, Slots: 4, PerSecond: 8, Permits: &sillexplanation.Permits{
					GrantedBy: "other-gateway", Granter: "front-b", Rates: []sillexplanation.PermitRate{{Reason: "limit", PerSecond: 8, Burst: 6}},
				}},
			}},
			{Pool: "spare", Share: 0.09, Action: sillexplanation.Refuse, Reason: "no-target", RetryAfterMS: 400, Behaviours: []sillexplanation.Behaviour{}},
			// A gateway of an earlier build does not tell behaviours.
			{Pool: "old", Share: 0.01, Action: sillexplanation.Refuse, Reason: "no-target", RetryAfterMS: 400},
		},
	}
	if answer := body.(sillexplanation.Answer); q.Content != "" {
		answer.CrashEvidence = &sillexplanation.CrashEvidence{Content: q.Content, Targets: []sillid.TargetID{}}
		if q.Content == crashingContent || q.Content == sillcrash.NewFingerprint("org", http.MethodPost, "a.example/plain/x", []byte("crash")).String() {
			answer.CrashEvidence = &sillexplanation.CrashEvidence{
				Content: q.Content, Refused: true, RetryAfterMS: 540_000, Score: 3, Crashes: 3, Targets: []sillid.TargetID{"i-3", "i-1", "i-2"}, LastCrashAgeMS: &age,
			}
		}
		body = answer
	}
	switch {
	case q.Path == "/old/x" && q.Content != "":
		// A gateway of an earlier build does not know the field.
		status, body = http.StatusBadRequest, sillexplanation.Failure{Error: "unknown field"}
	case q.Path == "/old/x":
	case q.Path != "/plain/x":
		status, body = http.StatusNotFound, sillexplanation.Failure{Error: "no route has this host and path"}
	case q.KeySHA256 != sillexplanation.HashKey(routeKey):
		status, body = http.StatusUnauthorized, sillexplanation.Failure{Error: "the key belongs to none"}
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// runRoute carries out a command line of wasabisill route.
func runRoute(args []string) error {
	c := newRouteCommand()
	c.Sub.Used = true
	p := flaggy.NewParser("wasabisill")
	p.AttachSubcommand(c.Sub, 1)
	if err := p.ParseArgs(append([]string{"route"}, args...)); err != nil {
		return err
	}
	return c.Run(context.Background())
}

// TestRouteCommand checks output and exit codes, and that the key is never printed.
func TestRouteCommand(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(answerRoute))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	s := newSession(t)
	s.write("key", routeKey+"\n")
	s.write("other", "another key\n")
	s.write("crash", "crash")
	s.write("sound", "sound")
	for _, tc := range []struct {
		name, args string
		code       int
	}{
		{"text", "--gateway GW --host a.example --path /plain/x --key-file DIR/key", sillcommand.ExitDone},
		{"json", "--gateway GW --host a.example --path /plain/x --key-file DIR/key --json", sillcommand.ExitDone},
		{"crashing body", "--gateway GW --host a.example:80 --path /plain/x --key-file DIR/key --body-file DIR/crash", sillcommand.ExitDone},
		{"crashing content", "--gateway GW --host a.example --path /plain/x --key-file DIR/key --json --content " + crashingContent, sillcommand.ExitDone},
		{"sound body", "--gateway GW --host a.example --path /plain/x --key-file DIR/key --body-file DIR/sound", sillcommand.ExitDone},
		{"content at an old gateway", "--gateway GW --host a.example --path /old/x --key-file DIR/key --body-file DIR/crash", sillcommand.ExitDone},
		{"bad content", "--gateway GW --host a.example --path /plain/x --content 12", sillcommand.ExitUsage},
		{"body and content", "--gateway GW --host a.example --path /plain/x --body-file DIR/crash --content " + crashingContent, sillcommand.ExitUsage},
		{"no body file", "--gateway GW --host a.example --path /plain/x --body-file DIR/none", sillcommand.ExitUsage},
		{"wrong key", "--gateway GW --host a.example --path /plain/x --key-file DIR/other", exitRefused},
		{"unknown route", "--gateway GW --host a.example --path /none --key-file DIR/key", exitRefused},
		{"no gateway named", "--host a.example --path /plain/x", sillcommand.ExitUsage},
		{"no key file", "--gateway GW --host a.example --path /plain/x --key-file DIR/none", sillcommand.ExitUsage},
		{"gateway away", "--gateway 127.0.0.1:1 --host a.example --path /plain/x", sillcommand.ExitFailed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			args := strings.Fields(strings.NewReplacer("GW", address, "DIR", s.dir).Replace(tc.args))
			code := sillcommand.ExitDone
			output := s.capture(func() error {
				err := runRoute(args)
				var exit *sillcommand.ExitError
				switch {
				case errors.As(err, &exit):
					code = exit.Code
				case err != nil:
					code = sillcommand.ExitFailed
				}
				return err
			})
			output = strings.NewReplacer(address, "GW", s.dir, "DIR").Replace(output)
			if code != tc.code {
				t.Errorf("exit code %d, want %d: %s", code, tc.code, output)
			}
			if strings.Contains(output, routeKey) {
				t.Errorf("the key is printed: %s", output)
			}
			goldie.New(t).Assert(t, "route-"+strings.ReplaceAll(tc.name, " ", "-"), []byte(output))
		})
	}
}
