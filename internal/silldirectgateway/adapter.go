package silldirectgateway

import (
	"context"
	"net/http"

	"github.com/wasabisill/wasabisill/internal/sillcatalog"
	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/sillmeter"
	"github.com/wasabisill/wasabisill/internal/sillscaler"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/internal/silltransport"
	"github.com/wasabisill/wasabisill/internal/sillweightcontroller"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Adapter are the interfaces to the outside. Their fields are safe for concurrent use.
type Adapter struct {
	Table *silltable.Store
	Feed  *silltable.Feed
	// PeerPool sends calls to other gateways.
	PeerPool *silltransport.Pool
	// TargetPool sends requests to targets.
	TargetPool *silltransport.Pool
	Codec      sillheader.Codec
	// OperatorTable is the table of the operator's configuration, ConfigKey its row
	// with all routes, and VersionPrefix what the keys of the rows begin with in
	// which trainers name versions.
	OperatorTable string
	ConfigKey     string
	VersionPrefix string
	// RegistryTable is the table in which targets register.
	RegistryTable      string
	DecodeCatalog      func(b []byte) (*sillcatalog.Catalog, error)
	DecodeModelVersion func(b []byte) (sillid.ModelID, sillid.WeightVersion, error)
	// DecodeTarget decodes a target's entry; id is the row's key without its table.
	DecodeTarget func(id string, b []byte) (silltarget.Entry, error)
	SendOrder    func(ctx context.Context, l sillweightcontroller.LoadOrder, fence sillid.Epoch) sillweightcontroller.Reply
	FetchReport  func(ctx context.Context, e silltarget.Entry) (sillweightcontroller.Report, error)
	SendUsage    func(ctx context.Context, w sillmeter.Window, counts sillmeter.Counts, fence sillid.Epoch) error
	// SendScaleOrder orders the number of a pool's targets in an availability zone.
	SendScaleOrder func(ctx context.Context, p sillscaler.Place, count int, fence sillid.Epoch) error
	// Handler serves callers.
	Handler func(s *Service) http.Handler
	// ReadyHandler serves the balancer's checks.
	ReadyHandler func(s *Service) http.Handler
}
