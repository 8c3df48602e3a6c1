package sillevent

import (
	"errors"
	"io"
	"strings"
	"testing"
)

func read(t *testing.T, stream string) ([]Event, error) {
	t.Helper()
	r := NewReader(strings.NewReader(stream), "weights")
	var all []Event
	for {
		e, err := r.Next()
		if err != nil {
			return all, err
		}
		all = append(all, e)
	}
}

func checkData(t *testing.T, events []Event, want ...string) {
	t.Helper()
	if len(events) != len(want) {
		t.Fatalf("%d events, want %d", len(events), len(want))
	}
	for i, e := range events {
		if e.Data != want[i] {
			t.Errorf("event %d holds %q, want %q", i, e.Data, want[i])
		}
	}
}

func TestReader(t *testing.T) {
	t.Run("complete", func(t *testing.T) {
		events, err := read(t, "id: 0\ndata: a\n\nid: 1\ndata: b\ndata: c\n\n")
		if !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		checkData(t, events, "a", "b\nc")
		if events[1].ID != 1 {
			t.Errorf("id %d", events[1].ID)
		}
	})
	t.Run("version", func(t *testing.T) {
		events, _ := read(t, "weights: 7\nid: 3\ndata: a\n\n")
		checkData(t, events, "a")
		if events[0].Version != 7 || events[0].ID != 3 {
			t.Errorf("got %+v", events[0])
		}
	})
	t.Run("comments", func(t *testing.T) {
		events, err := read(t, ": hello\n\n\nid: 0\ndata: a\n\n: bye\n\n")
		if !errors.Is(err, io.EOF) {
			t.Fatal(err)
		}
		checkData(t, events, "a")
	})
	t.Run("raw", func(t *testing.T) {
		events, _ := read(t, "id: 0\r\ndata: a\r\n\r\n")
		if string(events[0].Raw) != "id: 0\r\ndata: a\r\n\r\n" {
			t.Errorf("raw %q", events[0].Raw)
		}
	})
}

func TestTruncatedStream(t *testing.T) {
	for _, stream := range []string{"id: 0\ndata: a\n\nid: 1\n", "id: 0\ndata: a\n\nid: 1\ndata: b\n", "id: 0\ndata: a\n\nda"} {
		events, err := read(t, stream)
		if !errors.Is(err, ErrTruncated) {
			t.Errorf("%q: error %v", stream, err)
		}
		checkData(t, events, "a")
	}
}

func FuzzReader(f *testing.F) {
	f.Add("id: 0\ndata: a\n\n")
	f.Add("weights: 2\nid: 1\ndata\n\n\n")
	f.Fuzz(func(t *testing.T, stream string) {
		events, err := read(t, stream)
		if err == nil {
			t.Fatal("no error at the end of the stream")
		}
		raw := 0
		for _, e := range events {
			raw += len(e.Raw)
		}
		if raw > len(stream) {
			t.Errorf("%d bytes of events from %d", raw, len(stream))
		}
	})
}

// repeated is a stream that repeats a text without end.
type repeated struct {
	text string
	at   int
}

func (r *repeated) Read(p []byte) (int, error) {
	n := copy(p, r.text[r.at:])
	r.at = (r.at + n) % len(r.text)
	return n, nil
}

// TestEndlessEvents guards against an engine that sends bytes without end filling the
// memory of the gateway.
func TestEndlessEvents(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"line", "x"},
		{"data lines", "data: x\n"},
		{"other lines", "x\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := NewReader(&repeated{text: tc.text}, "weights").Next(); !errors.Is(err, ErrTooLong) {
				t.Errorf("error %v, want ErrTooLong", err)
			}
		})
	}
}
