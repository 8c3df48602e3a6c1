package sillbundle

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// sampleBundle returns a valid bundle with one part of each kind.
func sampleBundle() *Bundle {
	b := &Bundle{
		Organisations: []Organisation{
			{ID: "utility", Routes: []sillid.RouteID{"cue", "booking"}, Keys: []Key{{Label: "main", Hash: HashKey("k1")}, {Label: "desk", Hash: HashKey("k2")}}},
			{ID: "clerks", Keys: []Key{{Label: "main", Hash: HashKey("k3")}}},
		},
		Routes: []Route{
			{ID: "cue", PathPrefix: "/cue", Kind: ModelRoute, Pool: "cue-lm", Model: "cue"},
			{ID: "booking", PathPrefix: "/cue/booking", Kind: ServiceRoute, Pool: "slot-desk"},
			{ID: "hours", PathPrefix: "/hours", Kind: ServiceRoute, Pool: "slot-desk", Open: true},
		},
		Models:   []Model{{ID: "cue", Pool: "cue-lm", ServingFloor: 0.5}},
		Pools:    []Pool{{ID: "cue-lm", Kind: ModelRoute, MaxPerZone: 4}, {ID: "slot-desk", Kind: ServiceRoute}},
		Zones:    []AvailabilityZone{{ID: "tx-1", Region: "tx-central"}},
		Trainers: []Trainer{{ID: "t1", Organisation: "utility", Model: "cue", StalenessBound: 1}},
	}
	b.FillDefaults()
	return b
}

func testKey(n byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{n}, ed25519.SeedSize))
}

func testOperators() Operators {
	return Operators{
		"ann": testKey(1).Public().(ed25519.PublicKey),
		"bob": testKey(2).Public().(ed25519.PublicKey),
	}
}

func TestValidateListsEveryFault(t *testing.T) {
	b := sampleBundle()
	b.Organisations[0].Weight = -1
	b.Organisations[1].Keys[0].Hash = HashKey("k1")
	b.Organisations[1].Routes = []sillid.RouteID{"nowhere"}
	b.Routes[0].Model = "other"
	b.Routes[1].PathPrefix = "/v1/rollouts/x"
	b.Routes[2].PathPrefix = "/"
	b.Routes[2].Pool = "cue-lm"
	b.Pools[0].Utilisation = 1.5
	b.Models[0].ServingFloor = 1
	b.Trainers[0].StalenessBound = -1
	b.Zones[0].ID = "TX"
	want := []string{
		"organisations[0].weight", "organisations[1].routes[0]", "organisations[1].keys[0].hash",
		"routes[0].model", "routes[1].path-prefix", "routes[2].path-prefix", "routes[2].pool",
		"models[0].serving-floor", "pools[0].utilisation", "availability-zones[0].id", "trainers[0].staleness-bound",
	}
	var invalid *InvalidError
	if !errors.As(b.Validate(), &invalid) {
		t.Fatal("the bundle passed")
	}
	var paths []string
	for _, f := range invalid.Faults {
		paths = append(paths, f.Path)
		if f.Problem == "" || f.Remedy == "" {
			t.Errorf("%s: no problem or remedy", f.Path)
		}
	}
	if !slices.Equal(paths, want) {
		t.Errorf("faults at %q, want %q", paths, want)
	}
	if err := sampleBundle().Validate(); err != nil {
		t.Errorf("the valid bundle: %v", err)
	}
}

func TestDecodeRefuses(t *testing.T) {
	for name, data := range map[string]string{
		"unknown field": `{"organisations":[{"id":"a","weigth":2}]}`,
		"trailing data": `{} {}`,
		"wrong type":    `{"organisations":7}`,
		"nothing":       ``,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode([]byte(data)); err == nil {
				t.Error("decoded")
			}
		})
	}
}

func TestCanonicalIgnoresOrder(t *testing.T) {
	b := sampleBundle()
	want := b.Canonical()
	slices.Reverse(b.Organisations)
	slices.Reverse(b.Routes)
	slices.Reverse(b.Organisations[1].Keys)
	slices.Reverse(b.Organisations[1].Routes)
	if !bytes.Equal(b.Canonical(), want) {
		t.Error("the order of lists changed the canonical form")
	}
}

func TestVerify(t *testing.T) {
	cases := map[string]struct {
		change func(*Signed)
		want   error
	}{
		"untouched":        {func(*Signed) {}, nil},
		"second operator":  {func(s *Signed) { s.AddSignature("bob", testKey(2)) }, nil},
		"other base":       {func(s *Signed) { s.Base++ }, ErrSignature},
		"other content":    {func(s *Signed) { s.Bundle = bytes.Replace(s.Bundle, []byte(`"weight":1`), []byte(`"weight":2`), 1) }, ErrSignature},
		"other name":       {func(s *Signed) { s.Signatures[0].Operator = "bob" }, ErrSignature},
		"unknown operator": {func(s *Signed) { s.AddSignature("eve", testKey(3)) }, ErrSignature},
		"foreign key":      {func(s *Signed) { s.Signatures = nil; s.AddSignature("ann", testKey(3)) }, ErrSignature},
		"no signature":     {func(s *Signed) { s.Signatures = nil }, ErrSignature},
		"not canonical":    {func(s *Signed) { s.Bundle = append([]byte(" "), s.Bundle...) }, ErrNotCanonical},
		"withdrawal as sign": {func(s *Signed) {
			s.Signatures[0].Value = SignWithdrawal(HashKey("k"), time.Time{}, "ann", testKey(1)).Value
		}, ErrSignature},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := Sign(sampleBundle(), 4, "ann", testKey(1))
			c.change(s)
			if _, err := s.Verify(testOperators()); !errors.Is(err, c.want) {
				t.Errorf("error %v, want %v", err, c.want)
			}
		})
	}
}

func TestVerifyRefusesAnInvalidBundle(t *testing.T) {
	b := sampleBundle()
	b.Routes[0].Pool = "nowhere"
	var invalid *InvalidError
	if _, err := Sign(b, 1, "ann", testKey(1)).Verify(testOperators()); !errors.As(err, &invalid) {
		t.Errorf("error %v", err)
	}
}

func TestWithdrawalVerify(t *testing.T) {
	w := SignWithdrawal(HashKey("k1"), time.UnixMilli(5), "ann", testKey(1))
	if err := w.Verify(testOperators()); err != nil {
		t.Error(err)
	}
	w.KeyHash = HashKey("k2")
	if err := w.Verify(testOperators()); !errors.Is(err, ErrSignature) {
		t.Errorf("changed notice: %v", err)
	}
}

func TestDiff(t *testing.T) {
	from, to := sampleBundle(), sampleBundle()
	slices.Reverse(to.Routes)
	to.Organisations[0].Keys = to.Organisations[0].Keys[:1]
	to.Organisations[1].Weight = 3
	to.Organisations[1].Routes = []sillid.RouteID{"cue"}
	to.Zones = append(to.Zones, AvailabilityZone{ID: "tx-2", Region: "tx-central"})
	want := `+ availability-zones/tx-2
~ organisations/clerks/weight 1 -> 3
+ organisations/clerks/routes/cue
- organisations/utility/keys/desk
`
	lines := strings.Split(want, "\n")
	slices.Sort(lines)
	got := strings.Split(FormatDiff(Diff(from, to)), "\n")
	slices.Sort(got)
	if !slices.Equal(got, lines) {
		t.Errorf("got %q, want %q", got, lines)
	}
	if text := FormatDiff(Diff(from, from)); text != "no change\n" {
		t.Errorf("no change: %q", text)
	}
}

func TestIndex(t *testing.T) {
	x := NewIndex(sampleBundle())
	for path, want := range map[string]sillid.RouteID{
		"/cue": "cue", "/cue/v1/completions": "cue", "/cue/booking": "booking", "/cue/booking/7": "booking",
		"/cues": "", "/": "", "/cue/bookings": "cue", "/hours": "hours",
	} {
		var got sillid.RouteID
		if r := x.RouteByPath(path); r != nil {
			got = r.ID
		}
		if got != want {
			t.Errorf("route of %s: %q, want %q", path, got, want)
		}
	}
	if o := x.ByKey(HashKey("k2")); o == nil || o.ID != "utility" {
		t.Errorf("organisation of the key: %v", o)
	}
	if x.ByKey(HashKey("k9")) != nil {
		t.Error("an unknown key has an organisation")
	}
	if x.MayUse("clerks", x.Route("cue")) || !x.MayUse("utility", x.Route("cue")) || !x.MayUse("clerks", x.Route("hours")) {
		t.Error("wrong grants")
	}
}

// FuzzDecode checks that the canonical form of a decoded bundle decodes to the same
// canonical form.
func FuzzDecode(f *testing.F) {
	f.Add(sampleBundle().Canonical())
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"organisations":[{"id":"a","keys":[{"label":"b"},{"label":"a"}]}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		// Validate may return any result but must not panic.
		_ = b.Validate()
		once := b.Canonical()
		again, err := Decode(once)
		if err != nil {
			t.Fatalf("canonical form does not decode: %v", err)
		}
		if !bytes.Equal(again.Canonical(), once) {
			t.Errorf("canonical form changed:\n%s\n%s", once, again.Canonical())
		}
	})
}

func BenchmarkByKey(b *testing.B) {
	x := NewIndex(sampleBundle())
	hash := HashKey("k3")
	for b.Loop() {
		if x.ByKey(hash) == nil {
			b.Fatal("no organisation")
		}
	}
}

func BenchmarkRouteByPath(b *testing.B) {
	x := NewIndex(sampleBundle())
	for b.Loop() {
		if x.RouteByPath("/cue/booking/2026/07") == nil {
			b.Fatal("no route")
		}
	}
}
