// Package sillheader is the seam between the product and the headers that
// targets speak: what a request says of itself to its target, and what an
// answer says of its run.
package sillheader

import (
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Attempt is what a target is told of one attempt.
type Attempt struct {
	Request sillid.RequestID
	// Target is the only one that may run the request.
	Target sillid.TargetID
	// Organisation is empty for requests of none.
	Organisation sillid.OrganisationID
	// Remaining is the time for which an answer is of use; 0 names none.
	Remaining time.Duration
	// Resume is whether the stream goes on after event LastEvent.
	Resume    bool
	LastEvent int
	// Version, if not 0, is the only weight version that may run the request.
	Version sillid.WeightVersion
}

// ResponseMetadata is what the head of an answer tells.
type ResponseMetadata struct {
	// NotRun is whether the target promises that it did not run the request.
	NotRun bool
	// Misdirected is whether another target answered than the one named.
	Misdirected bool
	// Signature proves which target made the answer; empty if it has none.
	Signature string
	// Load is nil if the answer does not tell it.
	Load *silltarget.Load
	// Version is the weight version at the first event; 0 if not told.
	Version sillid.WeightVersion
}

// Codec translates attempts and answers. Its fields are safe for concurrent use.
type Codec struct {
	// SetRequestHeaders adds an attempt to the headers of a request.
	SetRequestHeaders func(h http.Header, a Attempt)
	// ParseResponse reads the head of an answer.
	ParseResponse func(resp *http.Response) ResponseMetadata
	// FirstEvent is the id of the first event of every stream; each next one is
	// higher by one.
	FirstEvent int
	// VersionField is the field of an event that names a new weight version.
	VersionField string
}
