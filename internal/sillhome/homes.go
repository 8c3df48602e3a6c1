// Package sillhome holds the home regions of routes and organisations: the regions to which
// their requests may be sent.
package sillhome

import (
	"net/url"
	"slices"
	"strings"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Homes is a set of regions. The zero Homes is no restriction; Nowhere is the empty set. It is
// comparable and can be stored.
type Homes string

// separator begins, separates and ends the escaped names of the regions.
const separator = ","

// Nowhere allows no region.
const Nowhere Homes = separator

// New returns the set of some regions; no restriction if there are none. Empty names match
// nothing.
func New(regions []sillid.RegionID) Homes {
	if len(regions) == 0 {
		return ""
	}
	return restrictTo(regions)
}

func restrictTo(regions []sillid.RegionID) Homes {
	h := Nowhere
	sorted := slices.Sorted(slices.Values(regions))
	for _, r := range slices.Compact(sorted) {
		if r != "" {
			h += Homes(url.QueryEscape(string(r))) + separator
		}
	}
	return h
}

// Restricted returns whether some region is not allowed.
func (h Homes) Restricted() bool { return h != "" }

// Allows returns whether requests may be sent to a region; empty for an unknown one.
func (h Homes) Allows(r sillid.RegionID) bool {
	return !h.Restricted() || (r != "" && strings.Contains(string(h), separator+url.QueryEscape(string(r))+separator))
}

// Regions returns the regions of a set, sorted; nil if it is no restriction.
func (h Homes) Regions() []sillid.RegionID {
	var regions []sillid.RegionID
	for name := range strings.SplitSeq(strings.Trim(string(h), separator), separator) {
		r, err := url.QueryUnescape(name)
		if err == nil && r != "" {
			regions = append(regions, sillid.RegionID(r))
		}
	}
	return regions
}

// And returns the regions that both sets allow.
func (h Homes) And(o Homes) Homes {
	switch {
	case !h.Restricted():
		return o
	case !o.Restricted():
		return h
	}
	return restrictTo(slices.DeleteFunc(h.Regions(), func(r sillid.RegionID) bool { return !o.Allows(r) }))
}
