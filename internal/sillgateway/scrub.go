package sillgateway

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillproblem"
)

// A caller's key must not reach targets. It is removed from the header, the cookies
// and the query. A body is passed on unchanged, so a body that contains the key is
// refused.

// credentialHeaders carry credentials of the caller in common use.
var credentialHeaders = map[string]bool{
	"Authorization":       true,
	"Proxy-Authorization": true,
	"X-Api-Key":           true,
	"Api-Key":             true,
	"X-Auth-Token":        true,
}

// ownHeaders are set by the gateway or belong to the caller's connection.
var ownHeaders = map[string]bool{
	"Connection":        true,
	"Keep-Alive":        true,
	"Te":                true,
	"Trailer":           true,
	"Transfer-Encoding": true,
	"Upgrade":           true,
	"Content-Length":    true,
	"Host":              true,
	"X-Request-Id":      true,
	"Expect":            true,
}

// holdsKey reports whether text holds the key, also in percent-encoded form.
func holdsKey(text, key string) bool {
	if key == "" {
		return false
	}
	if strings.Contains(text, key) {
		return true
	}
	plain, err := url.QueryUnescape(text)
	return err == nil && strings.Contains(plain, key)
}

// scrubHeader returns the header fields that the target gets.
func scrubHeader(h http.Header, key string) []sillwire.Field {
	var fields []sillwire.Field
	for name, values := range h {
		if credentialHeaders[name] || ownHeaders[name] || holdsKey(name, key) {
			continue
		}
		for _, v := range values {
			if name == "Cookie" {
				v = scrubCookies(v, key)
			}
			if v != "" && !holdsKey(v, key) {
				fields = append(fields, sillwire.Field{Name: name, Value: v})
			}
		}
	}
	return fields
}

// scrubCookies drops the cookies that hold the key.
func scrubCookies(line, key string) string {
	var kept []string
	for c := range strings.SplitSeq(line, ";") {
		c = strings.TrimSpace(c)
		if c != "" && !holdsKey(c, key) {
			kept = append(kept, c)
		}
	}
	return strings.Join(kept, "; ")
}

// scrubQuery drops the parameters that hold the key.
func scrubQuery(raw, key string) string {
	var kept []string
	for p := range strings.SplitSeq(raw, "&") {
		if p != "" && !holdsKey(p, key) {
			kept = append(kept, p)
		}
	}
	return strings.Join(kept, "&")
}

// scrubPath returns the path and query at the target, or a problem if the path
// holds the key.
func scrubPath(u *url.URL, prefix, key string) (string, *sillproblem.Problem) {
	path := strings.TrimPrefix(u.EscapedPath(), prefix)
	if path == "" {
		path = "/"
	}
	if holdsKey(path, key) {
		return "", sillproblem.New(sillproblem.BadRequest, "the path holds the key")
	}
	if query := scrubQuery(u.RawQuery, key); query != "" {
		path += "?" + query
	}
	return path, nil
}

// checkBody refuses a body that holds the key.
func checkBody(body []byte, key string) *sillproblem.Problem {
	plain := key == "" || !bytes.Contains(body, []byte(key))
	// Only a body with percent signs can hold the key in percent-encoded form.
	if plain && bytes.IndexByte(body, '%') >= 0 {
		plain = !holdsKey(string(body), key)
	}
	if !plain {
		return sillproblem.New(sillproblem.BadRequest, "the body holds the key")
	}
	return nil
}
