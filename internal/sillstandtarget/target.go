// Package sillstandtarget is a test stand-in for targets without an agent. It serves
// plain responses and event streams, and fails as the test requests.
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

// Headers and event field of the stand-in's codec.
const (
	headerRequest   = "Stand-Request"
	headerTarget    = "Stand-Target"
	headerOrg       = "Stand-Organisation"
	headerRemaining = "Stand-Left-Ms"
	headerLastEvent = "Stand-Last-Event"
	headerSignature = "Stand-Signature"
	headerNotRun    = "Stand-Not-Run"
	headerVersion   = "Stand-Version"
	versionField    = "stand-version"
	contentTypeSSE  = "text/event-stream"
)

// Codec returns the codec of the headers that the stand-in uses.
func Codec() sillheader.Codec {
	return sillheader.Codec{
		SetRequestHeaders: func(h http.Header, a sillheader.Attempt) {
			h.Set(headerRequest, string(a.Request))
			h.Set(headerTarget, string(a.Target))
			h.Set(headerOrg, string(a.Organisation))
			h.Set(headerRemaining, strconv.FormatInt(a.Remaining.Milliseconds(), 10))
			if a.Resume {
				h.Set(headerLastEvent, strconv.Itoa(a.LastEvent))
			}
		},
		ParseResponse: func(resp *http.Response) sillheader.ResponseMetadata {
			v, _ := strconv.ParseUint(resp.Header.Get(headerVersion), 10, 64)
			return sillheader.ResponseMetadata{
				NotRun:      resp.Header.Get(headerNotRun) != "",
				Misdirected: resp.StatusCode == http.StatusMisdirectedRequest,
				Signature:   resp.Header.Get(headerSignature),
				Version:     sillid.WeightVersion(v),
			}
		},
		VersionField: versionField,
	}
}

// Behaviour is how a target handles one request.
type Behaviour struct {
	// Status, if not 0, is returned immediately.
	Status int
	// Text is the body of a response with Status.
	Text string
	// Unsigned leaves the signature of a response with Status out.
	Unsigned bool
	// NotRun refuses the request and promises that it did not run.
	NotRun bool
	// NoResponse sends nothing until the caller disconnects.
	NoResponse bool
	// Dripping sends a comment of an event stream now and then, but no event, until the
	// caller disconnects.
	Dripping bool
	// Truncated closes the connection in the middle of a plain response.
	Truncated bool
	// Events is the number of events of a complete stream; 0 sends a plain response.
	Events int
	// BreakAfter, if not 0, aborts a stream after that many events of this request.
	BreakAfter int
	// Skip, if not 0, is the id of an event that is left out of a stream.
	Skip int
	// SkipTo, if not 0, is the id of the first event that is not left out of a stream.
	SkipTo int
	// FirstDelay is the time before the first event of a stream, besides Delay.
	FirstDelay time.Duration
	// Delay is the time before each event, or before a plain response.
	Delay time.Duration
	// Version is the weight version that generates the events. NextVersion, if not 0,
	// replaces it from the event with the id NextVersionAt.
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
	// After is the id of the last event that the caller received; -1 for none.
	After     int
	Remaining time.Duration
	Header    http.Header
}

// Target is a running stand-in.
type Target struct {
	// ID is the target whose requests are served; others are rejected as misdirected.
	ID sillid.TargetID

	server    *httptest.Server
	behaviour func(c Call, n int) Behaviour

	mu          sync.Mutex
	calls       []Call
	callCounts  map[sillid.RequestID]int
	disconnects int
}

// Start starts a target that handles each call as behaviour returns. n is the number of
// calls with the same request id at this target so far, including c.
func Start(id sillid.TargetID, behaviour func(c Call, n int) Behaviour) *Target {
	t := &Target{ID: id, behaviour: behaviour, callCounts: make(map[sillid.RequestID]int)}
	t.server = httptest.NewServer(http.HandlerFunc(t.serve))
	return t
}

// Close stops the target.
func (t *Target) Close() {
	t.server.CloseClientConnections()
	t.server.Close()
}

// Entry returns the target's registry entry in a pool.
func (t *Target) Entry(pool sillid.PoolID, slots int, versions map[sillid.ModelID]sillid.WeightVersion) silltarget.Entry {
	return silltarget.Entry{
		ID: t.ID, Pool: pool, Address: strings.TrimPrefix(t.server.URL, "http://"), State: silltarget.Ready,
		Slots: slots, StartedAt: time.UnixMilli(1), Versions: versions,
	}
}

// Calls returns the requests that were addressed to this target, in order of arrival.
func (t *Target) Calls() []Call {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Call(nil), t.calls...)
}

// Disconnects returns the number of requests whose caller disconnected while the target
// was waiting to send.
func (t *Target) Disconnects() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.disconnects
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
	if n, err := strconv.Atoi(r.Header.Get(headerLastEvent)); err == nil {
		c.After = n
	}
	if ms, err := strconv.Atoi(r.Header.Get(headerRemaining)); err == nil {
		c.Remaining = time.Duration(ms) * time.Millisecond
	}
	if got := r.Header.Get(headerTarget); got != string(t.ID) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	t.respond(w, r, c, t.behaviour(c, t.recordCall(c)))
}

func (t *Target) recordCall(c Call) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls = append(t.calls, c)
	t.callCounts[c.Request]++
	return t.callCounts[c.Request]
}

func (t *Target) respond(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	w.Header().Set(headerRequest, string(c.Request))
	switch {
	case b.NoResponse:
		<-r.Context().Done()
		t.recordDisconnect()
	case b.Dripping:
		t.drip(w, r)
	case b.NotRun:
		w.Header().Set(headerNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case b.Status != 0:
		if !b.Unsigned {
			w.Header().Set(headerSignature, "signed-"+string(t.ID))
		}
		if b.Version != 0 {
			w.Header().Set(headerVersion, strconv.FormatUint(uint64(b.Version), 10))
		}
		w.WriteHeader(b.Status)
		_, _ = io.WriteString(w, b.Text)
	case b.Events > 0:
		t.respondStream(w, r, c, b)
	default:
		t.respondPlain(w, r, b)
	}
}

// dripInterval is the time between two comments of a dripping stream.
const dripInterval = 100 * time.Millisecond

func (t *Target) drip(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", contentTypeSSE)
	w.Header().Set(headerSignature, "signed-"+string(t.ID))
	controller := http.NewResponseController(w)
	for t.sleep(r, dripInterval) {
		_, _ = io.WriteString(w, ":\n")
		if controller.Flush() != nil {
			return
		}
	}
}

func (t *Target) recordDisconnect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.disconnects++
}

func (t *Target) respondPlain(w http.ResponseWriter, r *http.Request, b Behaviour) {
	if !t.sleep(r, b.Delay) {
		return
	}
	body := "answer of " + string(t.ID)
	w.Header().Set(headerSignature, "signed-"+string(t.ID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if b.Truncated {
		_, _ = io.WriteString(w, body[:3])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// sleep waits for d and returns false if the caller disconnects before that.
func (t *Target) sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		t.recordDisconnect()
		return false
	}
}

// EventData returns the data of one event. It depends only on the request and the event,
// so that all targets generate the same stream.
func EventData(request sillid.RequestID, id int) string { return fmt.Sprintf("%s-%d", request, id) }

func (t *Target) respondStream(w http.ResponseWriter, r *http.Request, c Call, b Behaviour) {
	version := b.Version
	if b.NextVersion != 0 && c.After+1 >= b.NextVersionAt {
		version = b.NextVersion
	}
	w.Header().Set("Content-Type", contentTypeSSE)
	w.Header().Set(headerSignature, "signed-"+string(t.ID))
	w.Header().Set(headerVersion, strconv.FormatUint(uint64(version), 10))
	if !t.sleep(r, b.FirstDelay) {
		return
	}
	controller := http.NewResponseController(w)
	sent := 0
	for id := c.After + 1; id < b.Events; id++ {
		if !t.sleep(r, b.Delay) {
			return
		}
		if b.BreakAfter > 0 && sent == b.BreakAfter {
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
		if controller.Flush() != nil {
			return
		}
		sent++
	}
}
