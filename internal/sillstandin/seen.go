package sillstandin

import (
	"bytes"
	"io"
	"net/http"
	"time"
)

// Seen is a call as a stand-in received it, with all that could carry a key.
type Seen struct {
	// At is the time of receipt in Unix milliseconds.
	At int64 `json:"at"`
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path of the URL.
	Path string `json:"path"`
	// Query is the raw query of the URL.
	Query string `json:"query"`
	// Headers are all received headers, cookies among them.
	Headers map[string][]string `json:"headers"`
	// Body is the received body.
	Body string `json:"body"`
}

// See reads the whole call; the body can be read again from r.
func See(r *http.Request) (Seen, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return Seen{}, err
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s := Seen{
		At:      time.Now().UnixMilli(),
		Method:  r.Method,
		Path:    r.URL.Path,
		Query:   r.URL.RawQuery,
		Headers: r.Header.Clone(),
		Body:    string(body),
	}
	return s, nil
}
