// Package sillstandtarget is a small stand-in for targets without an agent: it
// answers plain requests and generates streams of events, and fails as it is told.
package sillstandtarget

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillheader"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Headers of the stand-in's own dialect.
const (
	headerRequest  = "Stand-Request"
	headerTarget   = "Stand-Target"
	headerOrg      = "Stand-Organisation"
	headerLeft     = "Stand-Left-Ms"
	headerResume   = "Stand-Last-Event"
	headerSigned   = "Stand-Signature"
	headerNotRun   = "Stand-Not-Run"
	headerVersion  = "Stand-Version"
	versionField   = "stand-version"
	contentTypeSSE = "text/event-stream"
)

// Codec returns the codec of the headers that the stand-in uses.
func Codec() sillheader.Codec {
	return sillheader.Codec{
		SetRequestHeaders: func(h http.Header, a sillheader.Attempt) {
			h.Set(headerRequest, string(a.Request))
			h.Set(headerTarget, string(a.Target))
			h.Set(headerOrg, string(a.Organisation))
			h.Set(headerLeft, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
			if a.Resume {
				h.Set(headerResume, strconv.Itoa(a.LastEvent))
			}
		},
		ParseResponse: func(resp *http.Response) sillheader.ResponseMetadata {
			v, _ := strconv.ParseUint(resp.Header.Get(headerVersion), 10, 64)
			return sillheader.ResponseMetadata{
				NotRun:      resp.Header.Get(headerNotRun) != "",
				Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
				Signature:   resp.Header.Get(headerSigned),
				Version:     sillid.WeightVersion(v),
			}
		},
		VersionField: versionField,
	}
}

// Behaviour is what a target does with one request.
type Behaviour struct {
	// Status, if not 0, is answered at once.
	Status int
	// NotRun promises that the request did not run.
	NotRun bool
	// NoResponse answers nothing until the caller leaves.
	NoResponse bool
	// Truncated closes the connection in the middle of the answer.
	Truncated bool
	// Events is the number of events of a whole stream; 0 answers a plain body.
	Events int
	// BreakAfter, if not 0, ends a stream after so many events of this run.
	BreakAfter int
	// Skip, if not 0, is an event that a stream leaves out.
	Skip int
	// SkipTo, if not 0, is the first event that a stream does not leave out.
	SkipTo int
	// Delay is the time for each event, or for a plain answer.
	Delay time.Duration
	// Version makes the events; NextAt is the event from which Next makes them.
	Version       sillid.WeightVersion
	NextVersion   sillid.WeightVersion
	NextVersionAt int
}

// Call is a request that reached a target.
type Call struct {
	Request      sillid.RequestID
	Organisation sillid.OrganisationID
	Path         string
	Body         string
	// After is the last event that the caller has; -1 if it has none.
	After     int
	Remaining time.Duration
	// Header holds the other headers.
	Header http.Header
}

// Target is a running stand-in.
type Target struct {
	// ID is the only target that it answers for.
	ID sillid.TargetID

	server *httptest.Server
	plan   func(c Call, n int) Behaviour

	mu    sync.Mutex
	calls []Call
	seen  map[sillid.RequestID]int
	left  int
}

// Start starts a target that does what plan says; n counts the calls of one
// request at this target, from 1.
func Start(id sillid.TargetID, plan func(c Call, n int) Behaviour) *Target {
	t := &Target{ID: id, plan: plan, seen: make(map[sillid.RequestID]int)}
	t.server = httptest.NewServer(http.HandlerFunc(t.serve))
	return t
}

// Close stops the target.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// Entry returns the target's entry in a pool.
func (t *Target) Entry(pool sillid.PoolID, slots int, versions map[sillid.ModelID]sillid.WeightVersion) silltarget.Entry {
	return silltarget.Entry{
		ID: t.ID, Pool: pool, Address: strings.TrimPrefix(t.server.URL, "http://"), State: silltarget.Ready,
		Slots: slots, StartedAt: time.UnixMilli(1), Versions: versions,
	}
}

// Calls returns the requests that reached the target.
func (t *Target) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Call(nil), t.calls...)
}

// Disconnects returns the number of callers that left before their answer was whole.
func (t *Target) Disconnects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.left
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	c := Call{
		Request: sillid.RequestID(r.Header.Get(headerRequest)), Organisation: sillid.OrganisationID(r.Header.Get(headerOrg)),
		Path: r.RequestURI, Body: string(body), After: -1, Header: r.Header,
	}
	if n, err := strconv.Atoi(r.Header.Get(headerResume)); err == nil {
		c.After = n
	}
	if ms, err := strconv.Atoi(r.Header.Get(headerLeft)); err == nil {
		c.Remaining = time.Duration(ms) * time.Millisecond
	}
	if got := r.Header.Get(headerTarget); got != string(t.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.answer(w, r, c, t.plan(c, t.note(c)))
}

func (t *Target) note(c Call) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
	t.seen[c.Request]++
	return t.seen[c.Request]
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	w.Header().Set(headerRequest, string(c.Request))
	switch {
	case b.NoResponse:
		<-r.Context().Done()
		t.callerLeft()
	case b.NotRun:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case b.Status != 0:
		w.WriteHeader(b.Status)
	case b.Events > 0:
		t.stream(w, r, c, b)
	default:
		t.plain(w, r, b)
	}
}

func (t *Target) callerLeft() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.left++
}

func (t *Target) plain(w http.ResponseWriter, r *http.Request, b Behaviour) {
	if !t.pause(r, b.Delay) {
		return
	}
	body := "answer of " + string(t.ID)
	w.Header().Set(headerSigned, "signed-"+string(t.ID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.Truncated {
		_, _ = io.WriteString(w, body[:3])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// pause waits, and returns false if the caller left meanwhile.
func (t *Target) pause(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		t.callerLeft()
		return false
	}
}

// EventData is the data of one event of an item's text, whoever makes it.
func EventData(request sillid.RequestID, id int) string { return fmt.Sprintf("%s-%d", request, id) }

func (t *Target) stream(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	version := b.Version
	if b.NextVersion != 0 && c.After+1 >= b.NextVersionAt {
		version = b.NextVersion
	}
	w.Header().Set("Content-Type", contentTypeSSE)
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(version), 10))
	controller := http.NewResponseController(w)
	made := 0
	for id := c.After + 1; id < b.Events; id++ {
		if !t.pause(r, b.Delay) {
			return
		}
		if b.BreakAfter > 0 && made == b.BreakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", id)
			_ = controller.Flush()
			panic(http.ErrAbortHandler)
		}
		if id < b.SkipTo || (b.Skip != 0 && id == b.Skip) {
			continue
		}
		if b.NextVersion != 0 && id == b.NextVersionAt && version != b.NextVersion {
			version = b.NextVersion
			_, _ = fmt.Fprintf(w, "%s: %d\n", versionField, version)
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, EventData(c.Request, id))
		_ = controller.Flush()
		made++
	}
}
