package silljob

import (
	"context"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Placement is what decides which gateway owns a job.
type Placement struct {
	Model sillid.ModelID
	// Homes are the regions to which the job's bodies may be sent, and AcceptedIn is that of
	// the gateway that accepted the job.
	Homes      sillhome.Homes
	AcceptedIn sillid.RegionID
}

// Allows returns whether a gateway of a region may own the job, and so read its bodies.
func (p Placement) Allows(region sillid.RegionID) bool {
	return p.Homes.Allows(region) || (p.AcceptedIn != "" && region == p.AcceptedIn)
}

func (s *State) placement() Placement {
	return Placement{Model: s.Model, Homes: s.Homes, AcceptedIn: s.AcceptedIn}
}

// keepBodies returns a context in which calls of the table with bodies of a job are passed on
// only by gateways of this region.
func keepBodies(ctx context.Context, homes sillhome.Homes) context.Context {
	if !homes.Restricted() {
		return ctx
	}
	return silltable.KeepInRegion(ctx)
}
