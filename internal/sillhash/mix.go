// Package sillhash mixes the bits of hashes. Processes of different releases compute
// the same order of gateways and agents from them, so the functions must not change.
package sillhash

// Murmur is the 64-bit finaliser of MurmurHash3. It makes every input bit affect all
// bits of the result, which FNV alone does not do for the last input bytes.
func Murmur(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}

// SplitMix is the finaliser of the SplitMix64 generator, for the same purpose.
func SplitMix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
