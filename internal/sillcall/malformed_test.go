package sillcall

import (
	"errors"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// TestMalformedHeads guards against a response whose head the protocol doesn't allow being taken
// for one: the call may have had its effect.
func TestMalformedHeads(t *testing.T) {
	for name, malformed := range sillstandtarget.MalformedAnswers("Content-Type: application/json\r\n", "{}") {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			service, err := sillstandtarget.StartRaw(malformed)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(service.Close)
			c := New(Config{BaseURL: "http://" + service.Address(), Timeout: 5 * time.Second})
			if resp, err := c.Post(t.Context(), "/x", []byte("{}"), nil); !errors.Is(err, ErrUnknown) {
				t.Errorf("response %+v, error %v; want ErrUnknown", resp, err)
			}
		})
	}
}
