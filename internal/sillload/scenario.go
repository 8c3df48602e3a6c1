// Package sillload puts a planned load on a deployment and gathers the evidence
// of what happened: what callers and trainers got, what targets ran, and what
// was reported as usage. The load is an open loop: calls are sent when the plan
// says, however late earlier answers are, and latencies count from that time.
package sillload

import (
	"bytes"
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Scenario describes a deployment and the load on it.
type Scenario struct {
	// Name tells reports of different scenarios apart.
	Name string `json:"name"`
	// Region and Zones place the deployment.
	Region sillid.RegionID `json:"region"`
	Zones  []sillid.ZoneID `json:"availability-zones"`
	// Gateways counts the gateways.
	Gateways int     `json:"gateways"`
	Model    Model   `json:"model"`
	Service  Service `json:"service"`
	// Organisations share the calls by their Share.
	Organisations []Organisation `json:"organisations"`
	// Rates are in calls a second.
	Rates    Rates     `json:"rates"`
	Trainers []Trainer `json:"trainers"`
}

// Model is the pool of engines.
type Model struct {
	Pool       sillid.PoolID  `json:"pool"`
	Model      sillid.ModelID `json:"model"`
	PathPrefix string         `json:"path-prefix"`
	Engines    int            `json:"engines"`
	// Slots, TokensPerSecond and Slowdown describe one engine.
	Slots           int     `json:"slots"`
	TokensPerSecond float64 `json:"tokens-per-second"`
	Slowdown        float64 `json:"slowdown"`
	// SwapMS is the time of a weight load in milliseconds.
	SwapMS int `json:"swap-ms"`
	// LoadLagMS is the age of reported load in milliseconds.
	LoadLagMS int `json:"load-lag-ms"`
	// ChecksFencing is true if engines refuse orders with old fencing numbers.
	ChecksFencing bool `json:"checks-fencing"`
	// MaxTokens bounds a caller's generation.
	MaxTokens int `json:"max-tokens"`
}

// Service is the pool of plain services.
type Service struct {
	Pool       sillid.PoolID `json:"pool"`
	PathPrefix string        `json:"path-prefix"`
	Services   int           `json:"services"`
	Slots      int           `json:"slots"`
	// LatencyMS is the time of one call in milliseconds.
	LatencyMS int `json:"latency-ms"`
}

// Organisation is a customer and its part of the load.
type Organisation struct {
	ID sillid.OrganisationID `json:"id"`
	// Share is relative to the other organisations' shares.
	Share float64 `json:"share"`
}

// Rates are the mean rates of arrival, in calls a second.
type Rates struct {
	Bookings     float64 `json:"bookings"`
	Availability float64 `json:"availability"`
	Streams      float64 `json:"streams"`
	Completions  float64 `json:"completions"`
	// KeyedShare is the share of bookings with an idempotency key.
	KeyedShare float64 `json:"keyed-share"`
}

func (r Rates) sum() float64 {
	return r.Bookings + r.Availability + r.Streams + r.Completions
}

// Trainer requests batches of samples.
type Trainer struct {
	ID           sillid.TrainerID      `json:"id"`
	Organisation sillid.OrganisationID `json:"organisation"`
	Groups       int                   `json:"groups"`
	GroupSize    int                   `json:"group-size"`
	MaxTokens    int                   `json:"max-tokens"`
	// DeadlineSeconds bounds a batch.
	DeadlineSeconds int `json:"deadline-seconds"`
	// Partial is "drop" or "deliver".
	Partial string `json:"partial"`
	// StalenessBound is in weight versions.
	StalenessBound int `json:"staleness-bound"`
	// TrainMS is the training time of one sample in milliseconds.
	TrainMS int `json:"train-ms"`
	// Publishes is true for the trainer that publishes a weight version after
	// each trained batch; at most one trainer of a scenario does.
	Publishes bool `json:"publishes"`
	// SkipAckEvery leaves out the first acknowledgement of each n-th delivery,
	// so that it is delivered again; 0 leaves out none.
	SkipAckEvery int `json:"skip-ack-every"`
}

// maxCalls bounds the calls of one run.
const maxCalls = 500_000

// Check returns the first fault of a scenario for a run of the duration.
func (s *Scenario) Check(duration time.Duration) error {
	switch {
	case s.Name == "" || len(s.Zones) == 0 || len(s.Organisations) == 0:
		return eris.New("sillload.Check: name, availability-zones, organisations: give all")
	case s.Rates.sum()*duration.Seconds() > maxCalls:
		return eris.Errorf("sillload.Check: more than %d calls: lower the rates or the duration", maxCalls)
	case s.Rates.KeyedShare < 0 || s.Rates.KeyedShare > 1:
		return eris.New("sillload.Check: keyed-share: use 0 to 1")
	}
	publishers := 0
	for _, t := range s.Trainers {
		if t.Publishes {
			publishers++
		}
		if t.Groups < 1 || t.GroupSize < 1 || t.DeadlineSeconds < 1 {
			return eris.Errorf("sillload.Check: trainer %q: groups, group-size, deadline-seconds: use at least 1", t.ID)
		}
	}
	if publishers > 1 {
		return eris.New("sillload.Check: publishes: at most one trainer")
	}
	return nil
}

// ReadJSON reads a file into a value; unknown fields are errors.
func ReadJSON(path string, into any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return eris.Wrap(err, "sillload.ReadJSON")
	}
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	return eris.Wrapf(d.Decode(into), "sillload.ReadJSON: %s", path)
}
