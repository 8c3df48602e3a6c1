package silljob

import (
	"net/http"
	"testing"
	"time"
)

// TestBrokenStreamsResume breaks the stream of each attempt after two events.
func TestBrokenStreamsResume(t *testing.T) {
	c := newCluster(t, 3, func(int, call, int) behaviour {
		return behaviour{Events: testEvents, BreakAfter: 2, Delay: time.Millisecond, Version: 1}
	})
	a := c.start("a")
	sub := submission("job", 4)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 4), testEvents)
	for _, e := range c.engines {
		for _, ca := range e.Calls() {
			if ca.After >= 0 && ca.After%2 != 1 {
				t.Errorf("an attempt resumes after event %d", ca.After)
			}
		}
	}
}

// TestBrokenStreamThenError guards against a generation that is completed by the error, the
// head or the empty response with which the next engine answers after its stream broke off.
func TestBrokenStreamThenError(t *testing.T) {
	for name, next := range map[string]behaviour{
		"status 500":                    {Status: http.StatusInternalServerError, Text: "internal error"},
		"status 502":                    {Status: http.StatusBadGateway, Text: "id: 2\ndata: bad gateway\n\n"},
		"status 404":                    {Status: http.StatusNotFound},
		"status 429":                    {Status: http.StatusTooManyRequests},
		"not run":                       {NotRun: true},
		"not signed, empty":             {Status: http.StatusOK, Unsigned: true},
		"not signed, an event":          {Status: http.StatusOK, Unsigned: true, Text: "id: 2\ndata: error\n\n"},
		"a text":                        {Status: http.StatusOK, Text: "internal error"},
		"a head":                        {Status: http.StatusOK, Text: "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"},
		"an event that does not follow": {Status: http.StatusOK, Text: "id: 7\ndata: error\n\n"},
		"an event without an id":        {Status: http.StatusOK, Text: "data: error\n\n"},
		"empty":                         {Status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, func(_ int, ca call, n int) behaviour {
				switch n {
				case 1:
					return behaviour{Events: testEvents, BreakAfter: 2, Version: 1}
				case 2:
					return next
				}
				return completeStream(0, ca, n)
			})
			a := c.start("a")
			sub := submission("job", 1)
			a.submit(t, sub)
			checkComplete(t, sub, a.results(t, "job", 1), testEvents)
		})
	}
}

// TestUnsignedStreamIsNotTaken guards against a generation made of events that no engine signed.
func TestUnsignedStreamIsNotTaken(t *testing.T) {
	c := newCluster(t, 1, func(_ int, ca call, n int) behaviour {
		if n == 1 {
			return behaviour{Status: http.StatusOK, Unsigned: true, Version: 1, Text: "id: 0\ndata: wrong\n\n"}
		}
		return completeStream(0, ca, n)
	})
	a := c.start("a")
	sub := submission("job", 1)
	sub.MinVersion = 0
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 1), testEvents)
}

// TestStreamWithoutItsEndIsComplete checks that a generation of which all events have come, but
// not the end of its stream, is complete once engines agree that nothing follows.
func TestStreamWithoutItsEndIsComplete(t *testing.T) {
	c := newCluster(t, 2, func(_ int, ca call, _ int) behaviour {
		if ca.After < 0 {
			return behaviour{Events: testEvents + 1, BreakAfter: testEvents, Version: 1}
		}
		return behaviour{Status: http.StatusOK}
	})
	a := c.start("a")
	sub := submission("job", 1)
	a.submit(t, sub)
	checkComplete(t, sub, a.results(t, "job", 1), testEvents)
}

// TestMissingEvents makes the first attempt omit an event: the first one, one in the
// middle, or all.
func TestMissingEvents(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first behaviour
	}{
		{"first", behaviour{Events: testEvents, SkipTo: 1, Version: 1}},
		{"middle", behaviour{Events: testEvents, Skip: 3, Version: 1}},
		{"all", behaviour{Events: testEvents, SkipTo: testEvents, Version: 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := newCluster(t, 1, func(_ int, ca call, n int) behaviour {
				if n == 1 {
					return tc.first
				}
				return completeStream(0, ca, n)
			})
			a := c.start("a")
			sub := submission("job", 2)
			a.submit(t, sub)
			checkComplete(t, sub, a.results(t, "job", 2), testEvents)
		})
	}
}
