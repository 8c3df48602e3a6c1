package sillcatalog

import (
	"maps"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillschedule"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// TestPrioritiesDiffer guards against a queue by priority in pools whose requests all have one
// priority, and against none where routes or organisations differ.
func TestPrioritiesDiffer(t *testing.T) {
	low, high := sillschedule.Priority(2), sillschedule.Priority(0)
	for _, tc := range []struct {
		name   string
		change func(*Catalog)
		want   map[sillid.PoolID]bool
	}{
		{"no priorities", func(*Catalog) {}, nil},
		{"a route", func(c *Catalog) { c.Routes[0].Priority = &low }, map[sillid.PoolID]bool{"p2": true}},
		{"the priority that is meant without one", func(c *Catalog) { c.Routes[0].Priority = &high }, nil},
		{"all routes alike", func(c *Catalog) {
			for i := range c.Routes {
				c.Routes[i].Priority = &low
			}
		}, nil},
		{"a route without a share", func(c *Catalog) {
			c.Routes[0].Priority, c.Routes[0].Shares[1].Weight = &low, 0
		}, nil},
		{"a route of jobs", func(c *Catalog) { c.Routes[1].Kind, c.Routes[1].Priority = Jobs, &low }, nil},
		{"an organisation", func(c *Catalog) { c.Organisations[1].Priority = &low }, map[sillid.PoolID]bool{"p1": true, "p2": true}},
		{"all organisations alike", func(c *Catalog) {
			c.Organisations[0].Priority, c.Organisations[1].Priority, c.Routes[0].Priority = &low, &low, &high
		}, nil},
		{"an organisation, but no keys are needed", func(c *Catalog) { c.Open, c.Organisations[1].Priority = true, &low }, nil},
		{"an organisation, but an open route", func(c *Catalog) {
			c.Routes[0].Open, c.Organisations[1].Priority = true, &low
		}, map[sillid.PoolID]bool{"p2": true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := example(1)
			tc.change(c)
			if got := c.PrioritiesDiffer(); !maps.Equal(got, tc.want) {
				t.Errorf("pools %v, want %v", got, tc.want)
			}
		})
	}
}
