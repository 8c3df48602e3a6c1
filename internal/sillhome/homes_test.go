package sillhome

import (
	"testing"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestHomes guards against a request that leaves its home regions, and against one without
// homes that is kept from any.
func TestHomes(t *testing.T) {
	regions := func(names ...sillid.RegionID) Homes { return New(names) }
	for name, tc := range map[string]struct {
		homes   Homes
		allowed []sillid.RegionID
		denied  []sillid.RegionID
	}{
		"none":                {regions(), []sillid.RegionID{"eu", ""}, nil},
		"one":                 {regions("eu"), []sillid.RegionID{"eu"}, []sillid.RegionID{"us", "e", "eu2", ""}},
		"two":                 {regions("us", "eu"), []sillid.RegionID{"eu", "us"}, []sillid.RegionID{"asia"}},
		"empty name":          {regions(""), nil, []sillid.RegionID{"", "eu"}},
		"with a separator":    {regions("eu,us"), []sillid.RegionID{"eu,us"}, []sillid.RegionID{"eu", "us"}},
		"both, same":          {regions("eu").And(regions("eu", "us")), []sillid.RegionID{"eu"}, []sillid.RegionID{"us"}},
		"both, none in both":  {regions("eu").And(regions("us")), nil, []sillid.RegionID{"eu", "us", ""}},
		"only the first":      {regions("eu").And(""), []sillid.RegionID{"eu"}, []sillid.RegionID{"us"}},
		"only the second":     {Homes("").And(regions("eu")), []sillid.RegionID{"eu"}, []sillid.RegionID{"us"}},
		"nowhere and another": {Nowhere.And(regions("eu")), nil, []sillid.RegionID{"eu"}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, r := range tc.allowed {
				if !tc.homes.Allows(r) {
					t.Errorf("%q does not allow %q", tc.homes, r)
				}
			}
			for _, r := range tc.denied {
				if tc.homes.Allows(r) {
					t.Errorf("%q allows %q", tc.homes, r)
				}
			}
		})
	}
}
