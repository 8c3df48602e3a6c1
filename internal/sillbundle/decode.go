package sillbundle

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Defaults for fields that are zero in a bundle.
const (
	DefaultWeight                    = 1
	DefaultOrganisationMaxConcurrent = 64
	DefaultRouteTimeoutSeconds       = 60
	DefaultMaxBodyBytes              = 8 << 20
	DefaultTargetMaxConcurrent       = 16
	DefaultMaxPerZone                = 1
	DefaultUtilisation               = 0.7
)

// MaxBytes bounds the size of a bundle as JSON.
const MaxBytes = 16 << 20

// ErrTooLarge is returned for a bundle above MaxBytes.
var ErrTooLarge = errors.New("bundle too large: keep it below 16 MiB")

// Decode decodes a bundle from JSON and fills in defaults. It returns an error for
// unknown fields and for data after the bundle, and ErrTooLarge. It does not
// validate the bundle; see Validate.
func Decode(data []byte) (*Bundle, error) {
	if len(data) > MaxBytes {
		return nil, ErrTooLarge
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	var b Bundle
	if err := d.Decode(&b); err != nil {
		return nil, eris.Wrap(err, "sillbundle.Decode: correct the JSON")
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.New("sillbundle.Decode: remove what follows the bundle")
	}
	b.FillDefaults()
	return &b, nil
}

// FillDefaults sets every zero field that has a default.
func (b *Bundle) FillDefaults() {
	for i := range b.Organisations {
		o := &b.Organisations[i]
		setDefault(&o.Weight, DefaultWeight)
		setDefault(&o.MaxConcurrent, DefaultOrganisationMaxConcurrent)
	}
	for i := range b.Routes {
		r := &b.Routes[i]
		setDefault(&r.TimeoutSeconds, DefaultRouteTimeoutSeconds)
		setDefault(&r.MaxBodyBytes, DefaultMaxBodyBytes)
	}
	for i := range b.Pools {
		p := &b.Pools[i]
		setDefault(&p.MaxConcurrent, DefaultTargetMaxConcurrent)
		setDefault(&p.MaxPerZone, max(DefaultMaxPerZone, p.MinPerZone))
		setDefault(&p.Utilisation, DefaultUtilisation)
	}
	for i := range b.Trainers {
		setDefault(&b.Trainers[i].Weight, DefaultWeight)
	}
}

func setDefault[T int | float64 | ~int64](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Clone returns a deep copy of the bundle.
func (b *Bundle) Clone() *Bundle {
	c := &Bundle{
		Organisations: cloneList(b.Organisations),
		Routes:        cloneList(b.Routes),
		Models:        cloneList(b.Models),
		Pools:         cloneList(b.Pools),
		Zones:         cloneList(b.Zones),
		Trainers:      cloneList(b.Trainers),
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		o.Routes = cloneList(o.Routes)
		o.Keys = cloneList(o.Keys)
	}
	return c
}

// cloneList copies a list. A nil list becomes an empty one.
func cloneList[T any](list []T) []T {
	return append([]T{}, list...)
}

// Canonical returns the form of the bundle that is signed: compact JSON with every
// field, also zero ones, and every list sorted by identifier. Only the fields Model,
// Open and Idempotent of a route are left out if zero. Bundles that differ only in
// the order of lists or the formatting of the JSON have the same canonical form.
func (b *Bundle) Canonical() []byte {
	c := b.Clone()
	for i := range c.Organisations {
		o := &c.Organisations[i]
		slices.Sort(o.Routes)
		sortBy(o.Keys, func(k Key) string { return k.Label })
	}
	sortBy(c.Organisations, func(o Organisation) string { return string(o.ID) })
	sortBy(c.Routes, func(r Route) string { return string(r.ID) })
	sortBy(c.Models, func(m Model) string { return string(m.ID) })
	sortBy(c.Pools, func(p Pool) string { return string(p.ID) })
	sortBy(c.Zones, func(z AvailabilityZone) string { return string(z.ID) })
	sortBy(c.Trainers, func(t Trainer) string { return string(t.ID) })
	// Encoding cannot fail: a bundle holds only strings, numbers and booleans, and
	// numbers decoded from JSON are never infinite.
	data, _ := json.Marshal(c)
	return data
}

func sortBy[T any](list []T, id func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(id(a), id(b)) })
}
