package sillheader

import (
	"net/http"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// framingHeaders tell where a message ends, who it is for or what its connection is for. Only
// the sender of a request sets them.
var framingHeaders = []string{"Connection", "Content-Length", "Host", "Trailer", "Transfer-Encoding", "Upgrade"}

// Check returns an error that names the first header that a request can't carry: one whose name
// is no token, whose value holds control characters, or that frames the message.
func Check(h http.Header) error {
	for name, values := range h {
		if err := CheckName(name); err != nil {
			return err
		}
		for _, v := range values {
			if err := CheckValue(v); err != nil {
				return eris.Wrapf(err, "header %s", name)
			}
		}
	}
	return nil
}

// CheckName returns an error for a name that is no token or that frames the message.
func CheckName(name string) error {
	if !IsToken(name) {
		return eris.Errorf("header name %q is not a token", name)
	}
	if slices.Contains(framingHeaders, http.CanonicalHeaderKey(name)) {
		return eris.Errorf("header %s is not the client's to set", name)
	}
	return nil
}

// CheckValue returns an error for a value with control characters other than tabs.
func CheckValue(v string) error {
	for i := range len(v) {
		if isControl(v[i]) && v[i] != '\t' {
			return eris.Errorf("value %.40q holds control characters", v)
		}
	}
	return nil
}

// CheckPath returns an error for a path, with or without a query, that no request line can hold.
func CheckPath(path string) error {
	if !strings.HasPrefix(path, "/") {
		return eris.Errorf("path %.40q does not begin with a slash", path)
	}
	for i := range len(path) {
		if path[i] == ' ' || isControl(path[i]) {
			return eris.Errorf("path %.40q holds spaces or control characters", path)
		}
	}
	return nil
}

// CheckHost returns an error for a host, with or without a port, that no request can be for.
func CheckHost(host string) error {
	if host == "" {
		return eris.New("host is empty")
	}
	for i := range len(host) {
		if host[i] <= ' ' || host[i] >= 0x7f || strings.IndexByte(`/?#@\,"<>`, host[i]) >= 0 {
			return eris.Errorf("host %.40q holds other characters than a host has", host)
		}
	}
	return nil
}

// IsToken returns whether a text is a token, as methods and names of headers are.
func IsToken(s string) bool {
	if s == "" {
		return false
	}
	for i := range len(s) {
		c := s[i]
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
		if !letter && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return true
}

func isControl(c byte) bool { return c < ' ' || c == 0x7f }
