package sillagent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillengine"
	"github.com/wasabisill/wasabisill/internal/sillstandtarget"
)

// uploads is how often a request is sent: which call learns of a reset is a matter of
// microseconds.
const uploads = 40

// startEarly starts a target that answers before it has read a request, ends the connection,
// and returns its URL.
func startEarly(t *testing.T, answer string, end func(conn *net.TCPConn)) string {
	t.Helper()
	target, err := sillstandtarget.StartEarly(func(conn *net.TCPConn, r *http.Request) bool {
		sillstandtarget.AnswerEarly(conn, answer, end)
		// A connection that was not reset is read to the end of its request.
		_, _ = io.Copy(io.Discard, r.Body)
		return false
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(target.Close)
	return "http://" + target.Address()
}

// upload sends a long request to the service at an address.
func upload(t *testing.T, url string, idempotent bool) outcome {
	t.Helper()
	n := newTestRun("r", 1, idempotent)
	n.req.Method, n.req.Path, n.body = http.MethodPost, "/x", make([]byte, sillstandtarget.UploadBytes)
	return serviceAgent(url).callService(t.Context(), n)
}

// TestResetDuringAnUpload guards against an answer whose connection was reset while its request
// was still being written being passed on as a complete one.
func TestResetDuringAnUpload(t *testing.T) {
	for name, answer := range map[string]string{
		"without a length": "HTTP/1.1 200 OK\r\n\r\npart",
		"HTTP/1.0":         "HTTP/1.0 200 OK\r\n\r\npart",
		"a failure":        "HTTP/1.1 500 Oops\r\nConnection: close\r\n\r\npart",
		"with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
		"chunked":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		for _, idempotent := range []bool{true, false} {
			t.Run(fmt.Sprintf("service, %s, idempotent: %t", name, idempotent), func(t *testing.T) {
				t.Parallel()
				url := startEarly(t, answer, sillstandtarget.Reset)
				for range uploads {
					if result := upload(t, url, idempotent); result.failure == nil {
						t.Fatalf("result %+v, want a failure", result)
					}
				}
			})
		}
	}
	t.Run("engine", func(t *testing.T) {
		t.Parallel()
		const part = "data: {\"choices\":[{\"text\":\"a\",\"token_ids\":[1]}]}\n\n"
		engine := sillengine.New(sillengine.Config{
			BaseURL: startEarly(t, "HTTP/1.1 200 OK\r\n\r\n"+part, sillstandtarget.Reset), CallTimeout: time.Second,
		})
		body := fmt.Appendf(nil, `{"prompt":%q}`, make([]byte, sillstandtarget.UploadBytes/4))
		for range uploads {
			generate := sillengine.Generate{Path: "/v1/completions", Body: body, RequestID: "r"}
			if err := engine.Generate(t.Context(), generate, func(sillengine.Part) error { return nil }); err == nil {
				t.Fatal("the generation is complete")
			}
		}
	})
}

// TestEndDuringAnUpload guards against an answer that the service ended in order, before it had
// read the request, being taken for an incomplete one.
func TestEndDuringAnUpload(t *testing.T) {
	for name, answer := range map[string]string{
		"without a length": "HTTP/1.1 413 Too Large\r\n\r\nwhole",
		"with a length":    "HTTP/1.1 413 Too Large\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			url := startEarly(t, answer, sillstandtarget.EndInOrder)
			for range uploads {
				if result := upload(t, url, true); result.failure != nil || result.status != http.StatusRequestEntityTooLarge || result.finish.Bytes != 5 {
					t.Fatalf("result %+v, failure %v; want the whole answer", result, result.failure)
				}
			}
		})
	}
}
