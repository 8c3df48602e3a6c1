package silldirectgateway

import (
	"context"
	"net/http"
	"time"

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

// Adapter holds the interfaces to the platform: tables, wire formats, orders and
// HTTP handlers. All of them are safe for concurrent use.
type Adapter struct {
	// Table and Feed call the platform's table service.
	Table *silltable.Store
	Feed  *silltable.Feed
	// PeerPool sends calls to other gateways.
	PeerPool *silltransport.Pool
	// TargetPool sends requests to targets.
	TargetPool *silltransport.Pool
	Codec      sillheader.Codec
	// OperatorTable is the table of the operator's configuration. ConfigKey is the key
	// of its row with all routes, and VersionPrefix the key prefix of the rows in which
	// trainers announce weight versions.
	OperatorTable string
	ConfigKey     string
	VersionPrefix string
	// EvacuationPrefix is the key prefix of the rows that name evacuated availability zones.
	EvacuationPrefix string
	// RegistryTable is the table in which targets register.
	RegistryTable      string
	DecodeCatalog      func(b []byte) (*sillcatalog.Catalog, error)
	DecodeModelVersion func(b []byte) (sillid.ModelID, sillid.WeightVersion, error)
	// DecodeTarget decodes the registry entry of a target; id is the row's key without
	// the table.
	DecodeTarget func(id string, b []byte) (silltarget.Entry, error)
	SendOrder    func(ctx context.Context, l sillweightcontroller.LoadOrder, fence sillid.Epoch) (sillweightcontroller.Reply, silltarget.Notice)
	FetchReport  func(ctx context.Context, e silltarget.Entry) (sillweightcontroller.Report, error)
	SendUsage    func(ctx context.Context, w sillmeter.Window, counts sillmeter.Counts, fence sillid.Epoch) error
	// SendScaleOrder orders a number of targets for a pool in an availability zone.
	SendScaleOrder func(ctx context.Context, p sillscaler.PoolZone, count int, fence sillid.Epoch) error
	// MaxRequestTime bounds the time of every request; 0 for no bound beside the route's.
	MaxRequestTime time.Duration
	// Handler returns the handler of callers' requests.
	Handler func(s *Service) http.Handler
	// ReadyHandler returns the handler of the load balancer's readiness checks.
	ReadyHandler func(s *Service) http.Handler
}
