package sillweightstore

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillcall"
)

func fetch(t *testing.T, status int, retryAfter string) ([]byte, error) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/weights/m/3" {
			t.Errorf("path %q", r.URL.Path)
		}
		w.Header().Set("Retry-After", retryAfter)
		w.WriteHeader(status)
		_, _ = w.Write([]byte("weights"))
	}))
	defer s.Close()
	return Dial(sillcall.Config{BaseURL: s.URL, Timeout: 5 * time.Second}).Fetch(context.Background(), "m", 3)
}

func TestFetch(t *testing.T) {
	got, err := fetch(t, http.StatusOK, "")
	if err != nil || string(got) != "weights" {
		t.Errorf("got %q, error %v", got, err)
	}
	_, err = fetch(t, http.StatusNotFound, "")
	if !errors.Is(err, ErrNotFound) {
		t.Errorf("error %v, want ErrNotFound", err)
	}
	_, err = fetch(t, http.StatusTooManyRequests, "7")
	var limit *RateLimitError
	if !errors.As(err, &limit) || limit.RetryAfter != 7*time.Second {
		t.Errorf("error %v, want a limit of 7s", err)
	}
}
