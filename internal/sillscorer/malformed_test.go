package sillscorer

import (
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// TestMalformedHeads guards against a response whose head the protocol doesn't allow being taken
// for a score, or for the scorer's word that it will never score the sample.
func TestMalformedHeads(t *testing.T) {
	for name, malformed := range sillstandtarget.MalformedAnswers("Content-Type: application/json\r\n", `{"score":0.5}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scorer, err := sillstandtarget.StartRaw(malformed)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(scorer.Close)
			s := Dial(Config{BaseURL: "http://" + scorer.Address(), Timeout: 5 * time.Second})
			if got, err := s.Score(t.Context(), Request{}); !errors.Is(err, ErrUnavailable) {
				t.Errorf("Score() = %v, %v; want ErrUnavailable", got, err)
			}
		})
	}
}
