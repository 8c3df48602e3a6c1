package sillstandengine

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"strings"

	"github.com/wasabisill/wasabisill/internal/sillhash"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Vocabulary is the number of different tokens.
const Vocabulary = 50000

// Lengths of generations in tokens, and the share of long ones.
const (
	minLength     = 16
	lengthSpread  = 96
	longEvery     = 16
	longFactor    = 4
	natureOfStops = ^uint64(0)
)

func hash(prompt string, numbers ...uint64) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	var b [8]byte
	for _, n := range numbers {
		binary.LittleEndian.PutUint64(b[:], n)
		_, _ = h.Write(b[:])
	}
	return sillhash.Murmur(h.Sum64())
}

// TokenAt returns the token at position i, from 0, of the generation of a
// prompt and a seed at a weight version. It is the truth that answers are
// checked against.
func TokenAt(prompt string, seed int64, i int, version sillid.WeightVersion) int {
	return int(hash(prompt, uint64(seed), uint64(i), uint64(version)) % Vocabulary)
}

// TokenText returns the text of a token; texts are joined without a separator.
func TokenText(token int) string {
	return fmt.Sprintf("w%d ", token)
}

// TextOf returns the text of tokens.
func TextOf(tokens []int) string {
	var b strings.Builder
	for _, t := range tokens {
		b.WriteString(TokenText(t))
	}
	return b.String()
}

// StopLength returns the number of tokens after which a generation stops by
// itself, whatever the weight version. One in longEvery is long.
func StopLength(prompt string, seed int64) int {
	h := hash(prompt, uint64(seed), natureOfStops)
	n := minLength + int(h%lengthSpread)
	if (h>>32)%longEvery == 0 {
		n *= longFactor
	}
	return n
}

// PromptTokens counts the tokens of a prompt: its words.
func PromptTokens(prompt string) int {
	return len(strings.Fields(prompt))
}
