package sillstandservice

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
)

func book(s *Service, body string) (lost bool) {
	defer func() { lost = recover() != nil }()
	r := httptest.NewRequest(http.MethodPost, "/bookings?q=1", strings.NewReader(body))
	r.Header.Set("X-Request-Id", "r1")
	r.Header.Set("Cookie", "c=2")
	s.ServeHTTP(httptest.NewRecorder(), r)
	return false
}

func TestEveryBookingIsRecorded(t *testing.T) {
	s := New(Config{ServiceID: "s"})
	book(s, `{"room":1}`)
	if err := s.Panel.Set(map[string]sillstandin.Faults{areaBookings: {AnswerLostNext: 1, CrashOnBody: "poison"}}); err != nil {
		t.Fatal(err)
	}
	if !book(s, `{"room":1}`) {
		t.Fatal("the answer was not lost")
	}
	if !book(s, `{"room":"poison"}`) {
		t.Fatal("the crash was answered")
	}
	runs := s.Runs("r1")
	if len(runs) != 2 || !runs[1].Effect || !runs[1].Complete || runs[0].AnswerLost || !runs[1].AnswerLost {
		t.Fatalf("runs %+v, want two with effect, the second answer lost", runs)
	}
	seen := runs[0].Seen
	if seen.Query != "q=1" || seen.Headers["Cookie"][0] != "c=2" || seen.Body != `{"room":1}` {
		t.Fatalf("seen %+v", seen)
	}
}

// TestRecordOfLongBodies guards against a record that fills the memory of `wasabisill dev`, and
// against an answer that lacks a part of the body.
func TestRecordOfLongBodies(t *testing.T) {
	s := New(Config{ServiceID: "s"})
	body := `"` + strings.Repeat("x", 4*keptBytes) + `"`
	w := httptest.NewRecorder()
	s.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/bookings", strings.NewReader(body)))
	if !strings.Contains(w.Body.String(), body) {
		t.Error("the answer lacks a part of the body")
	}
	run := s.Runs("")[0]
	if len(run.Seen.Body) != keptBytes || len(run.Answer) != keptBytes {
		t.Errorf("kept %d bytes of the body and %d of the answer, want %d", len(run.Seen.Body), len(run.Answer), keptBytes)
	}
}
