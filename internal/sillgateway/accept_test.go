package sillgateway

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcrash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// TestAcceptKeepsOrganisationsApart sends each key to each kind of route.
func TestAcceptKeepsOrganisationsApart(t *testing.T) {
	organisation := func(id sillid.OrganisationID, routes ...sillid.RouteID) sillbundle.Organisation {
		return sillbundle.Organisation{
			ID: id, Weight: 1, MaxConcurrent: 1, Routes: routes,
			Keys: []sillbundle.Key{{Label: "k", Hash: sillbundle.HashKey("key-of-" + string(id))}},
		}
	}
	access := Access{Index: sillbundle.NewIndex(&sillbundle.Bundle{
		Organisations: []sillbundle.Organisation{organisation("hall", "slots"), organisation("lounge")},
		Routes: []sillbundle.Route{
			{ID: "slots", PathPrefix: "/slots", Kind: sillbundle.ServiceRoute},
			{ID: "open", PathPrefix: "/open", Kind: sillbundle.ServiceRoute, Open: true},
		},
	})}
	for _, tc := range []struct {
		name, path, key string
		want            sillproblem.Kind
		organisation    sillid.OrganisationID
	}{
		{"a granted route", "/slots/a", "key-of-hall", "", "hall"},
		{"a route of another organisation", "/slots/a", "key-of-lounge", sillproblem.RouteForbidden, ""},
		{"an unknown key", "/slots/a", "nobody", sillproblem.KeyUnknown, ""},
		{"no key", "/slots/a", "", sillproblem.KeyMissing, ""},
		{"an open route without a key", "/open", "", "", ""},
		{"an open route with a key", "/open", "key-of-lounge", "", "lounge"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, tc.path, http.NoBody)
			if tc.key != "" {
				r.Header.Set("Authorization", "Bearer "+tc.key)
			}
			c := &call{r: r}
			p := New(Config{}).accept(c, &access)
			checkKind(t, p, tc.want)
			if got := c.who.organisation; (got == nil) != (tc.organisation == "") || (got != nil && got.ID != tc.organisation) {
				t.Errorf("organisation %v, want %q", got, tc.organisation)
			}
		})
	}
}

func checkKind(t *testing.T, p *sillproblem.Problem, want sillproblem.Kind) {
	t.Helper()
	var got sillproblem.Kind
	if p != nil {
		got = p.Kind
	}
	if got != want {
		t.Errorf("problem %q, want %q", got, want)
	}
}

// TestContentIsThatOfOneRoute guards against a sound request being refused because an equal one
// on another route, which other targets serve, crashes them.
func TestContentIsThatOfOneRoute(t *testing.T) {
	content := func(prefix, key string) sillcrash.Fingerprint {
		c := &call{
			w: httptest.NewRecorder(), r: httptest.NewRequest(http.MethodPost, prefix+"/run", strings.NewReader("body")), began: time.Now(), who: caller{key: key},
			route: &sillbundle.Route{PathPrefix: prefix, Kind: sillbundle.ServiceRoute, TimeoutSeconds: 1, MaxBodyBytes: 100},
		}
		if p := (&Gateway{}).prepare(c); p != nil {
			t.Fatal(p)
		}
		return c.request.Fingerprint
	}
	if content("/a", "k") == content("/b", "k") {
		t.Error("requests on two routes have one content")
	}
	if content("/a", "k") != content("/a", "another") {
		t.Error("equal requests with two keys of an organisation have two contents")
	}
}
