package sillhash

import "testing"

// The values are those of the published functions.
func TestMixersAgreeWithOtherReleases(t *testing.T) {
	for _, tc := range []struct {
		name     string
		mix      func(uint64) uint64
		in, want uint64
	}{
		{"Murmur of 0", Murmur, 0, 0},
		{"Murmur of 1", Murmur, 1, 0xb456bcfc34c2cb2c},
		{"SplitMix of 0", SplitMix, 0, 0},
		{"the first number of SplitMix64 with seed 0", SplitMix, 0x9e3779b97f4a7c15, 0xe220a8397b1dcdaf},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.mix(tc.in); got != tc.want {
				t.Errorf("got %#x, want %#x", got, tc.want)
			}
		})
	}
}
