package sillcall

import (
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// uploads is how often a call is sent: which system call learns of a reset is a matter
// of microseconds.
const uploads = 40

// TestResetDuringAnUpload guards against a response whose connection was reset while its call
// was still being written being taken for a complete one.
func TestResetDuringAnUpload(t *testing.T) {
	service, err := sillstandtarget.StartEarly(func(conn *net.TCPConn, _ *http.Request) bool {
		sillstandtarget.AnswerEarly(conn, "HTTP/1.1 200 OK\r\n\r\npart", sillstandtarget.Reset)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	c := New(Config{BaseURL: "http://" + service.Address(), Timeout: 5 * time.Second})
	for range uploads {
		if resp, err := c.Post(t.Context(), "/x", make([]byte, sillstandtarget.UploadBytes), nil); !errors.Is(err, ErrUnknown) {
			t.Fatalf("response %+v, error %v; want ErrUnknown", resp, err)
		}
	}
}
