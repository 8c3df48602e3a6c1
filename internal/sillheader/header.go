// Package sillheader is the adapter to the headers of a target's protocol. A
// Codec writes the attributes of an attempt into request headers and reads the
// response metadata.
package sillheader

import (
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillrate"
	"github.com/wasabisill/wasabisill/internal/silltarget"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Attempt holds the attributes of an attempt that are sent to the target.
type Attempt struct {
	Request sillid.RequestID
	// Target is the only target that may run the request.
	Target sillid.TargetID
	// Organisation is empty for requests that belong to no organisation.
	Organisation sillid.OrganisationID
	// Remaining is the time left until the caller's deadline; 0 sends no deadline.
	Remaining time.Duration
	// Resume is whether the stream is to continue after the event LastEvent.
	Resume    bool
	LastEvent int
	// Version, if not 0, is the only weight version that may run the request.
	Version sillid.WeightVersion
}

// ResponseMetadata is the metadata in the head of a response.
type ResponseMetadata struct {
	// NotRun is whether the target guarantees that it did not run the request.
	NotRun bool
	// Misdirected is whether the response comes from another target than the
	// intended one.
	Misdirected bool
	// Signature proves which target made the response; empty if there is none.
	Signature string
	// Load is nil if the response does not report it.
	Load *silltarget.Load
	// Notice is whether the target says that it leaves. It says nothing of the intended
	// target if Misdirected is set.
	Notice silltarget.Notice
	// Limit is the limit on requests that the target names. It says nothing of the intended
	// target if Misdirected is set.
	Limit sillrate.Notice
	// Cold is what the target says of being cold. It says nothing of the intended target if
	// Misdirected is set.
	Cold silltarget.ColdNotice
	// Version is the weight version at the first event; 0 if not reported.
	Version sillid.WeightVersion
}

// Codec encodes attempts and decodes response metadata. Its functions are safe for
// concurrent use.
type Codec struct {
	// SetRequestHeaders adds the attributes of an attempt to the headers of a request.
	SetRequestHeaders func(h http.Header, a Attempt)
	// ParseResponse reads the metadata in the head of a response.
	ParseResponse func(resp *http.Response) ResponseMetadata
	// FirstEvent is the id of the first event of every stream; each following id
	// is higher by one.
	FirstEvent int
	// VersionField is the name of the event field that reports a new weight version.
	VersionField string
}
