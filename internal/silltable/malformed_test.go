package silltable

import (
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// TestMalformedHeads guards against a response whose head the protocol doesn't allow being taken
// for one: a commit may have had its effect.
func TestMalformedHeads(t *testing.T) {
	for name, malformed := range sillstandtarget.MalformedAnswers("Content-Type: application/json\r\n", `{"revisions":[7]}`) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service, err := sillstandtarget.StartRaw(malformed)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(service.Close)
			s := Dial(Config{BaseURL: "http://" + service.Address(), Timeout: 5 * time.Second})
			if revisions, err := s.Commit(t.Context(), Txn{}); !errors.Is(err, ErrUnknown) {
				t.Errorf("Commit() = %v, %v; want ErrUnknown", revisions, err)
			}
			if row, err := s.Get(t.Context(), "t/k"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("Get() = %v, %v; want ErrUnavailable", row, err)
			}
		})
	}
}
