package silltransport

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
)

// checkHead checks that the head of a request is refused, or read as the one request that it is.
func checkHead(t *testing.T, req *Request) {
	t.Helper()
	if req.check() != nil {
		return
	}
	encoded := append(encodeHead(req), req.Body...)
	reader := bufio.NewReader(bytes.NewReader(encoded))
	got, err := http.ReadRequest(reader)
	if err != nil {
		// A server that reads strictly refuses the whole.
		return
	}
	body, err := io.ReadAll(got.Body)
	if err != nil || !bytes.Equal(body, req.Body) {
		t.Errorf("body %q, %v; sent %q", body, err, req.Body)
	}
	if rest, _ := io.ReadAll(reader); len(rest) > 0 {
		t.Errorf("%q follows the request", rest)
	}
	if got.Method != req.Method || got.RequestURI != req.RequestURI {
		t.Errorf("read %s %q; sent %s %q", got.Method, got.RequestURI, req.Method, req.RequestURI)
	}
	for name := range got.Header {
		if _, ok := req.Header[name]; !ok && name != "Content-Length" && http.CanonicalHeaderKey(name) == name && !hasName(req.Header, name) {
			t.Errorf("header %q was not sent", name)
		}
	}
}

func hasName(h http.Header, name string) bool {
	for sent := range h {
		if http.CanonicalHeaderKey(sent) == name {
			return true
		}
	}
	return false
}

// TestNothingIsSmuggled guards against parts of a request that end a line or frame the message:
// a server would read a second request in them.
func TestNothingIsSmuggled(t *testing.T) {
	const inside = "\r\n\r\nPOST /inside HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, change := range map[string]func(r *Request){
		"method":               func(r *Request) { r.Method = "POST / HTTP/1.1" + inside + "GET" },
		"path":                 func(r *Request) { r.RequestURI = "/x HTTP/1.1" + inside },
		"path with a space":    func(r *Request) { r.RequestURI = "/x HTTP/1.0" },
		"path without a slash": func(r *Request) { r.RequestURI = "http://other/" },
		"host":                 func(r *Request) { r.Host = "h" + inside },
		"value":                func(r *Request) { r.Header.Set("Note", "a"+inside) },
		"value, line feed":     func(r *Request) { r.Header.Set("Note", "a\nB: c") },
		"value, return":        func(r *Request) { r.Header.Set("Note", "a\rB: c") },
		"value, zero":          func(r *Request) { r.Header.Set("Note", "a\x00") },
		"name":                 func(r *Request) { r.Header["Note: a"+inside+"X"] = []string{"b"} },
		"name with a colon":    func(r *Request) { r.Header["A:"] = []string{"b"} },
		"empty name":           func(r *Request) { r.Header[""] = []string{"b"} },
		"transfer encoding":    func(r *Request) { r.Header.Set("Transfer-Encoding", "chunked") },
		"transfer, lower case": func(r *Request) { r.Header["transfer-encoding"] = []string{"chunked"} },
		"length":               func(r *Request) { r.Header.Set("Content-Length", "0") },
		"other host":           func(r *Request) { r.Header.Set("Host", "other") },
	} {
		t.Run(name, func(t *testing.T) {
			r := &Request{Method: http.MethodPost, RequestURI: "/x", Host: "h", Header: http.Header{"A": {"b"}}, Body: []byte("0\r\n\r\nGET / HTTP/1.1\r\n\r\n")}
			checkHead(t, r)
			change(r)
			p := newPeer(t, func(_ net.Conn, _ string) bool { return true })
			if _, body, err := send(t, newTestPool(nil), p.address(), r); !NotSent(err) {
				t.Errorf("got %q, %v; want an error of a request that was not sent", body, err)
			}
			if accepted, _ := p.counts(); accepted > 0 {
				t.Error("a connection was opened")
			}
		})
	}
}

// FuzzHead sends requests with any parts.
func FuzzHead(f *testing.F) {
	f.Add("POST", "/x", "h", "A", "b", []byte("body"))
	f.Add("GET", "/x?y=%20", "h:1", "X-Note", "a\tb", []byte(nil))
	f.Add("POST", "/x", "h", "Transfer-Encoding", "chunked", []byte("0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, method, path, host, name, value string, body []byte) {
		if method != http.MethodPost && len(body) > 0 {
			method = http.MethodPost
		}
		checkHead(t, &Request{Method: method, RequestURI: path, Host: host, Header: http.Header{name: {value}}, Body: body})
	})
}
