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
	"github.com/wasabisill/wasabisill/internal/sillexplanation"
)

const routeKey = "secret-of-org"

// answerRoute answers questions as a gateway with one route does.
func answerRoute(w http.ResponseWriter, r *http.Request) {
	var q sillexplanation.Question
	_ = json.NewDecoder(r.Body).Decode(&q)
	status, age := http.StatusOK, int64(12)
	var body any = sillexplanation.Answer{
		Gateway: "front-a", Zone: "z-1", ConfigVersion: 3, Route: "plain", Kind: "idempotent", Organisation: "org",
		Ages: sillexplanation.Ages{ConfigMS: &age, TargetsMS: &age, GatewaysMS: &age},
		Pools: []sillexplanation.Pool{
			{Pool: "desk", Share: 0.9, Action: sillexplanation.Send, Target: "i-0", Behaviours: []sillexplanation.Behaviour{
				{Behaviour: "outlier-ejection", Signal: "unsound-targets"}, {Behaviour: "queue-by-priority", Signal: "priorities-differ"},
			}, Candidates: []sillexplanation.Candidate{
				{Target: "i-0", Zone: "z-1", Cost: 0.25, Load: 1, Slots: 4, LoadAgeMS: &age, ExpectedMS: 80},
				{Target: "i-1", Zone: "z-2", Cost: 0.5, Load: 4, Slots: 4, Excluded: "limited", PerSecond: 0.5, WaitMS: 700},
			}},
			{Pool: "spare", Share: 0.09, Action: sillexplanation.Refuse, Reason: "no-target", RetryAfterMS: 400, Behaviours: []sillexplanation.Behaviour{}},
			// A gateway of an earlier build does not tell behaviours.
			{Pool: "old", Share: 0.01, Action: sillexplanation.Refuse, Reason: "no-target", RetryAfterMS: 400},
		},
	}
	switch {
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
	for _, tc := range []struct {
		name, args string
		code       int
	}{
		{"text", "--gateway GW --host a.example --path /plain/x --key-file DIR/key", sillcommand.ExitDone},
		{"json", "--gateway GW --host a.example --path /plain/x --key-file DIR/key --json", sillcommand.ExitDone},
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
