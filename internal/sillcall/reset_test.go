package sillcall

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

const (
	// uploadBytes is more than the buffers of a connection take, so that a call is still
	// being written when its response comes.
	uploadBytes = 4 << 20
	// uploads is how often a call is sent: which system call learns of a reset is a matter
	// of microseconds.
	uploads = 40
	// arrivalTime is how long a response gets to arrive before its connection is reset.
	arrivalTime = time.Millisecond
)

// TestResetDuringAnUpload guards against a response whose connection was reset while its call
// was still being written being taken for a complete one.
func TestResetDuringAnUpload(t *testing.T) {
	service, err := sillstandtarget.StartEarly(func(conn *net.TCPConn, _ *http.Request) bool {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(arrivalTime)
		sillstandtarget.Reset(conn)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Close)
	c := New(Config{BaseURL: "http://" + service.Address(), Timeout: 5 * time.Second})
	for range uploads {
		if resp, err := c.Post(t.Context(), "/x", make([]byte, uploadBytes), nil); !errors.Is(err, ErrUnknown) {
			t.Fatalf("response %+v, error %v; want ErrUnknown", resp, err)
		}
	}
}
