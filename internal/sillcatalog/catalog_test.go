package sillcatalog

import (
	"testing"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func example(version sillid.BundleVersion) *Catalog {
	c := &Catalog{
		Version: version,
		Routes: []Route{
			{ID: "short", Host: "a.example", Prefix: "/x/", Shares: []Share{{Pool: "p1", Weight: 9}, {Pool: "p2", Weight: 1}}},
			{ID: "long", Host: "a.example", Prefix: "/x/y/", Shares: []Share{{Pool: "p2", Weight: 1}}},
			{ID: "other", Host: "b.example", Prefix: "/x/", Shares: []Share{{Pool: "p2", Weight: 1}}},
		},
		Organisations: []Organisation{{ID: "one", Keys: []string{"k1", "k2"}}, {ID: "two", Keys: []string{"k3"}}},
	}
	return c.Index()
}

func TestRoute(t *testing.T) {
	c := example(1)
	for _, tc := range []struct {
		name, host, path string
		want             sillid.RouteID
	}{
		{"prefix", "a.example", "/x/1", "short"},
		{"longest prefix", "a.example", "/x/y/1", "long"},
		{"whole segments", "a.example", "/x/yy", "short"},
		{"other host", "b.example", "/x/y/1", "other"},
		{"unknown host", "c.example", "/x/1", ""},
		{"unknown path", "a.example", "/z/1", ""},
		{"dots stay as they are", "a.example", "/x/../y/1", "short"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var got sillid.RouteID
			if r := c.Route(tc.host, tc.path); r != nil {
				got = r.ID
			}
			if got != tc.want {
				t.Errorf("route %q, want %q", got, tc.want)
			}
		})
	}
}

func TestByKey(t *testing.T) {
	c := example(1)
	if o := c.ByKey("k2"); o == nil || o.ID != "one" {
		t.Errorf("k2 belongs to %v", o)
	}
	if o := c.ByKey(""); o != nil {
		t.Errorf("no key belongs to %v", o)
	}
	if o := c.ByKey("k9"); o != nil {
		t.Errorf("an unknown key belongs to %v", o)
	}
}

func TestPoolFollowsWeights(t *testing.T) {
	r := example(1).Route("a.example", "/x/1")
	if got := r.PickPool(0.89); got != "p1" {
		t.Errorf("draw 0.89 gives %q", got)
	}
	if got := r.PickPool(0.91); got != "p2" {
		t.Errorf("draw 0.91 gives %q", got)
	}
}

func TestHolderRejectsOlderVersions(t *testing.T) {
	var h Holder
	if !h.UpdateIfNewer(example(5)) || h.UpdateIfNewer(example(4)) || h.UpdateIfNewer(example(5)) || !h.UpdateIfNewer(example(7)) {
		t.Error("the holder accepted an old version or rejected a new one")
	}
	if got := h.Get().Version; got != 7 {
		t.Errorf("version %d, want 7", got)
	}
}
