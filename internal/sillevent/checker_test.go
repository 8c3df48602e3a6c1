package sillevent

import (
	"errors"
	"strings"
	"testing"
)

// checkInParts checks a stream that arrives in parts of a size.
func checkInParts(stream string, size int) error {
	var c Checker
	for len(stream) > 0 {
		n := min(size, len(stream))
		if err := c.Check([]byte(stream[:n])); err != nil {
			return err
		}
		stream = stream[n:]
	}
	return c.End()
}

// TestStreamsThatAreNotText guards against bytes that no event stream can hold being taken
// from a target or passed on to a caller.
func TestStreamsThatAreNotText(t *testing.T) {
	for _, tc := range []struct {
		name, stream string
		want         error
	}{
		{"text", "id: 1\ndata: a\n\n", nil},
		{"characters of several bytes", "id: 1\ndata: añ€😀\n\n", nil},
		{"spoiled data", "id: 1\ndata: \xff\xfe\x80\n\n", ErrNotText},
		{"spoiled name of a field", "\xff: 1\ndata: a\n\n", ErrNotText},
		{"spoiled comment", ": \xc3\x28\ndata: a\n\n", ErrNotText},
		{"character that is cut", "id: 1\ndata: \xe2\x82\n\n", ErrNotText},
		{"end within a character", "id: 1\ndata: a\n\n\xe2\x82", ErrNotText},
		{"replacement character", "id: 1\ndata: \uFFFD\n\n", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 1000} {
				if err := checkInParts(tc.stream, size); !errors.Is(err, tc.want) {
					t.Errorf("in parts of %d: error %v, want %v", size, err, tc.want)
				}
			}
			if _, err := read(t, tc.stream); tc.want != nil && !errors.Is(err, tc.want) && !errors.Is(err, ErrTruncated) {
				t.Errorf("reader: error %v, want %v", err, tc.want)
			}
		})
	}
}

// TestCheckerBoundsLinesAndEvents guards against an engine that sends bytes without end as one
// line or one event.
func TestCheckerBoundsLinesAndEvents(t *testing.T) {
	for name, text := range map[string]string{"line": "x", "data lines": "data: x\n", "comments": ": x\n"} {
		t.Run(name, func(t *testing.T) {
			var c Checker
			chunk := []byte(strings.Repeat(text, 1<<10))
			for sent := 0; sent < 4*maxEventBytes; sent += len(chunk) {
				if err := c.Check(chunk); err != nil {
					if !errors.Is(err, ErrTooLong) {
						t.Errorf("error %v", err)
					}
					return
				}
			}
			t.Error("bytes without end are passed on")
		})
	}
	t.Run("many events", func(t *testing.T) {
		if err := checkInParts(strings.Repeat("data: x\r\n\r\n", 1<<19), 8<<10); err != nil {
			t.Error(err)
		}
	})
}

// FuzzChecker compares the verdict on a stream that arrives at once and in parts.
func FuzzChecker(f *testing.F) {
	f.Add("id: 0\ndata: a€\n\n", uint8(3))
	f.Add("\xe2\x82", uint8(1))
	f.Fuzz(func(t *testing.T, stream string, size uint8) {
		whole, parts := checkInParts(stream, len(stream)+1), checkInParts(stream, int(size)+1)
		if !errors.Is(parts, whole) {
			t.Errorf("whole: %v, in parts of %d: %v", whole, int(size)+1, parts)
		}
	})
}
