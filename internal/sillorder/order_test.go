package sillorder

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcall"
)

func dial(t *testing.T, status int, body string) *Client {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return Dial(sillcall.Config{BaseURL: s.URL, Timeout: 5 * time.Second})
}

func assertError(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("error %v, want %v", got, want)
	}
}

func TestSendOutcome(t *testing.T) {
	const accepted = `{"order-id":"o","instance-id":"i","state":"accepted"}`
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"accepted", 200, accepted, nil},
		{"old fencing number", 409, "", ErrFenced},
		{"rejected", 400, "", ErrRejected},
		{"server failed", 500, "", sillcall.ErrUnknown},
		{"refused for now", 503, "", sillcall.ErrUnknown},
		{"unreadable answer", 200, "{", sillcall.ErrUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := dial(t, tt.status, tt.body).Send(context.Background(), Order{ID: "o"}, nil)
			assertError(t, err, tt.want)
		})
	}
}

func TestGetOutcome(t *testing.T) {
	_, err := dial(t, 404, "").Get(context.Background(), "o")
	assertError(t, err, ErrNotFound)
	_, err = dial(t, 503, "").Get(context.Background(), "o")
	if err == nil || errors.Is(err, ErrNotFound) {
		t.Errorf("error %v, want one that leaves open whether the order exists", err)
	}
}
