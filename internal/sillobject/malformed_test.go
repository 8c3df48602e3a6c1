package sillobject

import (
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// TestMalformedHeads guards against a response whose head the protocol doesn't allow being taken
// for an object, or for the store's word on a write.
func TestMalformedHeads(t *testing.T) {
	for name, malformed := range sillstandtarget.MalformedAnswers("Content-Type: application/octet-stream\r\n", "data") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			store, err := sillstandtarget.StartRaw(malformed)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(store.Close)
			s := Dial(Config{BaseURL: "http://" + store.Address(), Timeout: 5 * time.Second})
			if data, err := s.Get(t.Context(), "o"); !errors.Is(err, ErrUnavailable) {
				t.Errorf("Get() = %q, %v; want ErrUnavailable", data, err)
			}
			if err := s.PutNew(t.Context(), "o", []byte("data")); !errors.Is(err, ErrUnknown) {
				t.Errorf("PutNew() = %v; want ErrUnknown", err)
			}
		})
	}
}
