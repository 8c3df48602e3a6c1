package sillload

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Arrival is one call of the plan.
type Arrival struct {
	// At is the time from the start of the load.
	At           time.Duration
	CallID       sillreport.CallID
	Kind         sillreport.CallKind
	Organisation sillid.OrganisationID
	// IdempotencyKey is empty for calls without one.
	IdempotencyKey string
	// Prompt is the prompt of a generation.
	Prompt string
	// Gateway is the position of the first gateway to ask.
	Gateway int
}

// Plan returns the calls of a run in the order of their times. The same
// scenario, duration and seed give the same plan. Arrivals of each kind are a
// Poisson process.
func Plan(s *Scenario, duration time.Duration, seed uint64) []Arrival {
	var all []Arrival
	for i, kind := range []struct {
		kind sillreport.CallKind
		rate float64
	}{
		{sillreport.Booking, s.Rates.Bookings},
		{sillreport.Availability, s.Rates.Availability},
		{sillreport.Stream, s.Rates.Streams},
		{sillreport.Completion, s.Rates.Completions},
	} {
		// Each kind has a generator of its own, so that the rate of one does
		// not move the arrivals of another.
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		all = append(all, arrivals(s, kind.kind, kind.rate, duration, rng)...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

func arrivals(s *Scenario, kind sillreport.CallKind, rate float64, duration time.Duration, rng *rand.Rand) []Arrival {
	if rate <= 0 {
		return nil
	}
	var all []Arrival
	at := 0.0
	for {
		at += rng.ExpFloat64() / rate
		if at >= duration.Seconds() {
			return all
		}
		a := Arrival{
			At:           time.Duration(at * float64(time.Second)),
			CallID:       sillreport.CallID(fmt.Sprintf("%s-%06d", kind, len(all)+1)),
			Kind:         kind,
			Organisation: pick(s.Organisations, rng),
			Gateway:      rng.IntN(max(1, s.Gateways)),
		}
		keyed := rng.Float64() < s.Rates.KeyedShare
		if kind == sillreport.Booking && keyed {
			a.IdempotencyKey = "key-" + string(a.CallID)
		}
		if kind.IsModel() {
			a.Prompt = prompt(a.Organisation, rng.IntN(promptTemplates), string(a.CallID))
		}
		all = append(all, a)
	}
}

func pick(all []Organisation, rng *rand.Rand) sillid.OrganisationID {
	sum := 0.0
	for _, o := range all {
		sum += o.Share
	}
	x := rng.Float64() * sum
	for _, o := range all {
		x -= o.Share
		if x < 0 {
			return o.ID
		}
	}
	return all[len(all)-1].ID
}

const (
	// promptTemplates is the number of prompt prefixes of an organisation.
	promptTemplates = 4
	// templateWords is the length of a prompt prefix.
	templateWords = 48
)

// prompt returns a prompt whose prefix is shared by the organisation's calls of
// one template and whose last word is the mark.
func prompt(org sillid.OrganisationID, template int, mark string) string {
	text := ""
	for i := range templateWords {
		text += fmt.Sprintf("%s.%d.%d ", org, template, i)
	}
	return text + mark
}
