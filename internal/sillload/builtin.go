package sillload

import (
	"fmt"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// organisationCount is the number of organisations of both built-in scenarios.
const organisationCount = 8

// skewed returns organisations of which a few are large: each has half the
// share of the one before it, down to a floor.
func skewed(prefix string) []Organisation {
	const floor = 0.02
	all := make([]Organisation, organisationCount)
	share := 0.5
	for i := range all {
		all[i] = Organisation{ID: sillid.OrganisationID(fmt.Sprintf("%s-%d", prefix, i+1)), Share: max(share, floor)}
		share /= 2
	}
	return all
}

// Utility is the deployment of the Bexar Valley Municipal Leisure Utility.
func Utility() Scenario {
	return Scenario{
		Name: "utility", Region: "tx-central",
		Zones:    []sillid.ZoneID{"tx-central-a", "tx-central-b", "tx-central-c", "tx-central-d"},
		Gateways: 3,
		Model: Model{
			Pool: "cue-lm", Model: "cue-lm", PathPrefix: "/cue-lm", Engines: 11, Slots: 16,
			TokensPerSecond: 120, Slowdown: 0.02, SwapMS: 400, LoadLagMS: 500, ChecksFencing: true, MaxTokens: 96,
		},
		Service:       Service{Pool: "slot-desk", PathPrefix: "/slot-desk", Services: 4, Slots: 16, LatencyMS: 20},
		Organisations: skewed("patrons"),
		Rates:         Rates{Bookings: 20, Availability: 40, Streams: 6, Completions: 4, KeyedShare: 0.5},
		Trainers: []Trainer{{
			ID: "cue-trainer", Organisation: "patrons-1", Groups: 8, GroupSize: 8, MaxTokens: 128,
			DeadlineSeconds: 60, Partial: "drop", StalenessBound: 2, TrainMS: 40, Publishes: true, SkipAckEvery: 5,
		}},
	}
}

// Orchard is the deployment of the Orchard Ledger Works.
func Orchard() Scenario {
	trainer := func(id sillid.TrainerID, org sillid.OrganisationID, publishes bool) Trainer {
		return Trainer{
			ID: id, Organisation: org, Groups: 8, GroupSize: 8, MaxTokens: 128, DeadlineSeconds: 60,
			Partial: "drop", StalenessBound: 2, TrainMS: 60, Publishes: publishes, SkipAckEvery: 5,
		}
	}
	return Scenario{
		Name: "orchard", Region: "cascadia",
		Zones:    []sillid.ZoneID{"cascadia-a", "cascadia-b", "cascadia-c"},
		Gateways: 3,
		Model: Model{
			Pool: "drafter-pool", Model: "drafter", PathPrefix: "/drafter", Engines: 9, Slots: 16,
			TokensPerSecond: 120, Slowdown: 0.02, SwapMS: 400, LoadLagMS: 500, MaxTokens: 96,
		},
		Service:       Service{Pool: "pressbook-app", PathPrefix: "/pressbook", Services: 13, Slots: 16, LatencyMS: 30},
		Organisations: skewed("coop"),
		Rates:         Rates{Bookings: 25, Availability: 60, Streams: 6, Completions: 4, KeyedShare: 0.5},
		Trainers: []Trainer{
			trainer("reply-trainer", "coop-1", true),
			trainer("damage-trainer", "coop-2", false),
		},
	}
}

// Builtin returns a built-in scenario by name.
func Builtin(name string) (Scenario, bool) {
	switch name {
	case "utility":
		return Utility(), true
	case "orchard":
		return Orchard(), true
	}
	return Scenario{}, false
}

// BuiltinNames returns the names of the built-in scenarios.
func BuiltinNames() []string {
	return []string{"utility", "orchard"}
}
