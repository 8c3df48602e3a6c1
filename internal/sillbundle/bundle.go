// Package sillbundle defines the bundle: the configuration that operators write,
// sign and roll out as one versioned document.
package sillbundle

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// KeyHash is the SHA-256 of an organisation's key in hexadecimal digits. The key
// itself is not stored.
type KeyHash string

// HashKey returns the hash of a key in the form that bundles contain.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// Bundle is the complete configuration that operators maintain.
type Bundle struct {
	Organisations []Organisation     `json:"organisations"`
	Routes        []Route            `json:"routes"`
	Models        []Model            `json:"models"`
	Pools         []Pool             `json:"pools"`
	Zones         []AvailabilityZone `json:"availability-zones"`
	Trainers      []Trainer          `json:"trainers"`
}

// Organisation is a customer with its keys, limits and permitted routes.
type Organisation struct {
	// ID is unique in the bundle.
	ID sillid.OrganisationID `json:"id"`
	// Weight is the organisation's weight in fair sharing, relative to the others;
	// at least 1.
	Weight int `json:"weight"`
	// MaxConcurrent bounds the organisation's running requests at one gateway; at least 1.
	MaxConcurrent int `json:"max-concurrent"`
	// Routes are the routes that the organisation may use in addition to the open ones.
	Routes []sillid.RouteID `json:"routes"`
	// Keys are the valid keys. Each hash is unique in the bundle.
	Keys []Key `json:"keys"`
}

// Key is one key of an organisation.
type Key struct {
	// Label identifies the key to operators; unique in its organisation.
	Label string `json:"label"`
	// Hash identifies the key.
	Hash KeyHash `json:"hash"`
}

// RouteKind is how the requests of a route are served.
type RouteKind string

const (
	// ModelRoute serves the completions and chat API of a model.
	ModelRoute RouteKind = "model"
	// ServiceRoute forwards plain HTTP requests to a service.
	ServiceRoute RouteKind = "service"
)

// Route maps paths to a pool of targets.
type Route struct {
	// ID is unique in the bundle.
	ID sillid.RouteID `json:"id"`
	// PathPrefix starts with "/" and does not end with one; unique in the bundle.
	PathPrefix string    `json:"path-prefix"`
	Kind       RouteKind `json:"kind"`
	// Pool names a pool of the bundle of the route's kind.
	Pool sillid.PoolID `json:"pool"`
	// Model names the model of a model route; empty on service routes.
	Model sillid.ModelID `json:"model,omitempty"`
	// Open is whether the route serves requests without a key.
	Open bool `json:"open,omitempty"`
	// Idempotent is whether a request may be retried when its outcome is unknown.
	// GET and HEAD requests count as idempotent on every route.
	Idempotent bool `json:"idempotent,omitempty"`
	// TimeoutSeconds bounds the time from a request's arrival to the last byte of
	// its response; at least 1.
	TimeoutSeconds int `json:"timeout-seconds"`
	// MaxBodyBytes bounds the size of a request body; at least 1.
	MaxBodyBytes sillid.Bytes `json:"max-body-bytes"`
}

// Model is a model that engines of a pool serve.
type Model struct {
	// ID is unique in the bundle.
	ID   sillid.ModelID `json:"id"`
	Pool sillid.PoolID  `json:"pool"`
	// ServingFloor is the share of the pool's targets that keep serving while
	// weights are rolled out; from 0 to below 1.
	ServingFloor float64 `json:"serving-floor"`
}

// Pool is a set of interchangeable targets.
type Pool struct {
	// ID is unique in the bundle.
	ID   sillid.PoolID `json:"id"`
	Kind RouteKind     `json:"kind"`
	// MaxConcurrent bounds the running requests of one target; at least 1.
	MaxConcurrent int `json:"max-concurrent"`
	// MinPerZone and MaxPerZone bound the targets in each availability zone.
	MinPerZone int `json:"min-per-zone"`
	MaxPerZone int `json:"max-per-zone"`
	// Utilisation is the scaler's target share of busy slots; above 0, at most 1.
	Utilisation float64 `json:"utilisation"`
	// RolloutFloor is the share of each target that is reserved for rollouts under
	// interactive load, and for interactive requests under rollout load; from 0 to 0.5.
	RolloutFloor float64 `json:"rollout-floor"`
	// ChecksFencing is whether the pool's targets reject orders with an old fencing
	// number.
	ChecksFencing bool `json:"checks-fencing"`
}

// AvailabilityZone is a failure domain within a region.
type AvailabilityZone struct {
	// ID is unique in the bundle.
	ID     sillid.ZoneID   `json:"id"`
	Region sillid.RegionID `json:"region"`
}

// Trainer consumes samples of one model.
type Trainer struct {
	// ID is unique in the bundle.
	ID sillid.TrainerID `json:"id"`
	// Organisation is billed for the trainer's samples; requests of the trainer are
	// authenticated with its keys.
	Organisation sillid.OrganisationID `json:"organisation"`
	Model        sillid.ModelID        `json:"model"`
	// StalenessBound is the number of weight versions that a sample may lag
	// behind the trainer's version; at least 0.
	StalenessBound int `json:"staleness-bound"`
	// Weight is the trainer's share of the rollout capacity; at least 1.
	Weight int `json:"weight"`
}
