// Package sillid holds the named types for identifiers and units that every
// part of wasabisill shares.
package sillid

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
)

// OrganisationID names a customer of the service.
type OrganisationID string

// TargetID names a back end: a model engine or a plain service.
type TargetID string

// InstanceID names a machine.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// RegionID names a region, a set of availability zones.
type RegionID string

// RouteID names a route of the bundle.
type RouteID string

// PoolID names a pool of targets that serve the same routes.
type PoolID string

// ModelID names a model that engines serve.
type ModelID string

// GatewayID names one run of a gateway process. It is fresh at every start.
type GatewayID string

// AgentID names one run of an agent process. It is fresh at every start, so two
// records with the same AgentID come from the same memory.
type AgentID string

// EngineID names one run of an engine process, as the engine reports it.
type EngineID string

// RequestID names one request of a caller; retries of the gateway keep it.
type RequestID string

// AttemptID names one attempt to run a request on a target: the request's id, a
// dot and the number of the attempt.
type AttemptID string

// NewAttemptID returns the name of an attempt; n counts from 1.
func NewAttemptID(request RequestID, n int) AttemptID {
	return AttemptID(fmt.Sprintf("%s.%d", request, n))
}

// Request returns the request that the attempt belongs to.
func (a AttemptID) Request() RequestID {
	i := strings.LastIndexByte(string(a), '.')
	return RequestID(a[:max(i, 0)])
}

// TrainerID names a trainer.
type TrainerID string

// BatchID names a rollout batch that a trainer asked for.
type BatchID string

// WeightVersion is the version of a model's weights. Versions of one model only grow.
type WeightVersion uint64

// BundleVersion is the version of the accepted configuration. It only grows.
type BundleVersion uint64

// Epoch counts the holders of a lease. It is the fencing number of their orders.
type Epoch uint64

// Tokens counts tokens of a prompt or of a generation.
type Tokens int64

// Bytes counts bytes.
type Bytes int64

// SampleID names one sample of a batch. It is fixed before generation, so a
// repeated generation or delivery of the sample carries the same SampleID.
type SampleID struct {
	// Batch is the batch that the sample belongs to.
	Batch BatchID `json:"batch" cbor:"1,keyasint"`
	// Group is the position of the sample's prompt in the batch, from 0.
	Group int `json:"group" cbor:"2,keyasint"`
	// Index is the position of the sample in its group, from 0.
	Index int `json:"index" cbor:"3,keyasint"`
}

// String returns the sample's name as "batch/group/index".
func (s SampleID) String() string {
	return fmt.Sprintf("%s/%d/%d", s.Batch, s.Group, s.Index)
}

// randomBytes is the length of the random part of a fresh name.
const randomBytes = 10

// Fresh returns a name that no other call returns: the prefix, a hyphen and
// random hexadecimal digits.
func Fresh(prefix string) string {
	var b [randomBytes]byte
	// Read of crypto/rand never fails; it stops the program instead.
	_, _ = rand.Read(b[:])
	return prefix + "-" + hex.EncodeToString(b[:])
}
