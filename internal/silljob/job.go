// Package silljob stores and runs batch jobs: many generations that a trainer
// submits at once and whose results it reads by position.
//
// All rows of a job are in one partition of the platform's tables, so each change
// of a job is one transaction. The state row names the owner, which is the process
// that runs the job. Each write of the owner is a compare-and-set on the state row,
// so an owner that was paused cannot write after another process has claimed the
// job.
package silljob

import (
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillhome"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ID identifies a job. The submitter chooses it.
type ID string

// ItemID identifies an item of a job. A later job may contain the same item again.
type ItemID string

// GatewayRun identifies one run of a gateway process. Each start gets a new one.
type GatewayRun string

// Submission is a job as the trainer submitted it.
type Submission struct {
	Job          ID                    `cbor:"job"`
	Organisation sillid.OrganisationID `cbor:"organisation"`
	Route        sillid.RouteID        `cbor:"route"`
	Pool         sillid.PoolID         `cbor:"pool"`
	Host         string                `cbor:"host"`
	Step         int                   `cbor:"step"`
	Model        sillid.ModelID        `cbor:"model"`
	// MinVersion is the oldest weight version that may generate an event.
	MinVersion sillid.WeightVersion `cbor:"min-version"`
	// SingleVersion requires each generation to come from one weight version only.
	SingleVersion bool `cbor:"single-version"`
	// RequiredGroups is the number of complete groups that the trainer waits for.
	RequiredGroups int `cbor:"target-count"`
	// MaxFailedAttempts is the number of failed attempts after which an item is
	// abandoned; at least 1.
	MaxFailedAttempts int `cbor:"attempts"`
	// ConfigVersion is the version of the configuration under which the job was accepted
	// and Pool was chosen; 0 in jobs of builds that did not write it.
	ConfigVersion sillid.BundleVersion `cbor:"config-version,omitempty"`
	// SubmittedMS is when the job was first submitted, in Unix milliseconds.
	SubmittedMS int64 `cbor:"submitted-ms"`
	// DueAfterMS is the time in milliseconds after SubmittedMS at which all results are
	// due; 0 for no such time.
	DueAfterMS int64 `cbor:"due-after-ms,omitempty"`
	// AbandonAfterMS is the time in milliseconds after SubmittedMS from which items
	// that would be retried are abandoned instead; 0 for no limit.
	AbandonAfterMS int64 `cbor:"give-up-after-ms"`
	// Homes are the regions to which the bodies may be sent. They are kept in the state row.
	Homes sillhome.Homes `cbor:"-"`
	// acceptedIn is the region of this process if there are Homes.
	acceptedIn sillid.RegionID
	// Items has at least one item, unless the items are Packed. Their ids are unique.
	Items []Item `cbor:"-"`
	// Packed are the items in place of Items, if it is not nil.
	Packed *PackedItems `cbor:"-"`
}

// DueAt returns the time at which all results are due, or the zero time if there is none.
func (s *Submission) DueAt() time.Time {
	if s.DueAfterMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.SubmittedMS + s.DueAfterMS)
}

// AbandonAt returns the time from which items are abandoned instead of retried, or
// the zero time if there is no limit.
func (s *Submission) AbandonAt() time.Time {
	if s.AbandonAfterMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.SubmittedMS + s.AbandonAfterMS)
}

// Item is the request for one generation of a job.
type Item struct {
	ID     ItemID      `cbor:"id"`
	Path   string      `cbor:"path"`
	Header http.Header `cbor:"header,omitempty"`
	Body   []byte      `cbor:"body,omitempty"`
	Group  string      `cbor:"group,omitempty"`
	// ExpectedTokens is the expected length of the output; 0 if unknown.
	ExpectedTokens int `cbor:"expected-tokens,omitempty"`
	// ScoreRequest is sent once the generation is complete; nil if the item has no score.
	ScoreRequest *ScoreRequest `cbor:"scorer,omitempty"`
}

// dropContent drops what an item needs only until it is finished.
func (i *Item) dropContent() { i.Header, i.Body, i.ScoreRequest = nil, nil, nil }

// ScoreRequest is a request to a scorer. The signature in the response is the score
// of the generation.
type ScoreRequest struct {
	ID   sillid.RequestID `cbor:"id"`
	Host string           `cbor:"host"`
	Path string           `cbor:"path"`
	Body []byte           `cbor:"body"`
}

// Result is the final result of an item. Its position in the job never changes.
type Result struct {
	Item ItemID `cbor:"item"`
	// Completed is false for an item that was abandoned.
	Completed bool `cbor:"completed"`
	// Text holds the data of all events, separated by line feeds.
	Text string `cbor:"text"`
	// Versions are the weight versions that generated the events, ascending.
	Versions []sillid.WeightVersion `cbor:"versions"`
	Score    string                 `cbor:"score"`
}

// Progress is the generation in progress of an item.
type Progress struct {
	Item   ItemID   `cbor:"item"`
	Events []string `cbor:"events"`
	// LastEvent is the id of the newest event; undefined without events.
	LastEvent int                    `cbor:"last-event"`
	Versions  []sillid.WeightVersion `cbor:"versions"`
}

// State is the state row of a job.
type State struct {
	Organisation sillid.OrganisationID `cbor:"organisation"`
	Model        sillid.ModelID        `cbor:"model"`
	Pool         sillid.PoolID         `cbor:"pool"`
	MinVersion   sillid.WeightVersion  `cbor:"min-version"`
	// SingleVersion requires each generation to come from one weight version only.
	SingleVersion bool `cbor:"single-version"`
	// Total is the number of items.
	Total int `cbor:"total"`
	// Published is the number of published results; their positions are 0 to
	// Published-1.
	Published int `cbor:"listed"`
	// Waiting is the number of items that no target had started when the owner
	// last wrote the row.
	Waiting int  `cbor:"waiting"`
	Ended   bool `cbor:"ended"`
	// Owner is the process that runs the job; empty if the last owner released it.
	Owner GatewayRun `cbor:"owner"`
	// Epoch increases with each claim.
	Epoch       sillid.Epoch `cbor:"epoch"`
	SubmittedMS int64        `cbor:"submitted-ms"`
	// Content names the rows of ContentTable that belong to the job; empty in jobs of
	// earlier builds.
	Content ContentID `cbor:"content,omitempty"`
	// Homes are the regions to which the job's bodies may be sent, as of its acceptance, and
	// AcceptedIn is the region of the gateway that accepted it, if there are homes.
	Homes      sillhome.Homes  `cbor:"homes,omitempty"`
	AcceptedIn sillid.RegionID `cbor:"accepted-in,omitempty"`
	// HasProgress is whether ProgressTable has generations of the job.
	HasProgress bool `cbor:"progressed"`
}

// Done returns whether the job needs no more work: it was ended, or all results
// are published.
func (s *State) Done() bool { return s.Ended || s.Published >= s.Total }
