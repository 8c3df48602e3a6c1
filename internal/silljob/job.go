// Package silljob keeps and runs batch jobs: many generations that a trainer
// submits at once and whose results it reads by their positions.
//
// A job lives in one partition of the platform's table, so every change of it
// is one transaction. Its state row names the process that runs it, the owner;
// each write of the owner is conditional on that row, so an owner that was
// paused cannot write after its successor.
package silljob

import (
	"net/http"
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// ID names a job. Its submitter chooses it.
type ID string

// ItemID names one item of a job. The same item may come again in a later job.
type ItemID string

// GatewayRun names one run of a gateway process. It is fresh at every start.
type GatewayRun string

// Submission is a job as its trainer hands it in.
type Submission struct {
	Job          ID                    `cbor:"job"`
	Organisation sillid.OrganisationID `cbor:"organisation"`
	Route        sillid.RouteID        `cbor:"route"`
	Pool         sillid.PoolID         `cbor:"pool"`
	Host         string                `cbor:"host"`
	Step         int                   `cbor:"step"`
	Model        sillid.ModelID        `cbor:"model"`
	// MinVersion is the oldest weight version that may make an event of a text.
	MinVersion sillid.WeightVersion `cbor:"min-version"`
	// SingleVersion asks for texts made by one version each.
	SingleVersion bool `cbor:"single-version"`
	// RequiredGroups is the number of whole groups that the trainer waits for.
	RequiredGroups int `cbor:"target-count"`
	// MaxFailedAttempts is the number of failed runs after which an item is given up; at least 1.
	MaxFailedAttempts int `cbor:"attempts"`
	// SubmittedMS is when the job was first submitted, in Unix milliseconds.
	SubmittedMS int64 `cbor:"submitted-ms"`
	// AbandonAfterMS is how long after that an item may be given up; 0 for never.
	AbandonAfterMS int64 `cbor:"give-up-after-ms"`
	// Items has at least one item; no id stands twice.
	Items []Item `cbor:"-"`
}

// AbandonAt returns when items of the job may be given up, or the zero time.
func (s *Submission) AbandonAt() time.Time {
	if s.AbandonAfterMS == 0 {
		return time.Time{}
	}
	return time.UnixMilli(s.SubmittedMS + s.AbandonAfterMS)
}

// Item is one generation of a job.
type Item struct {
	ID     ItemID      `cbor:"id"`
	Path   string      `cbor:"path"`
	Header http.Header `cbor:"header"`
	Body   []byte      `cbor:"body"`
	Group  string      `cbor:"group"`
	// ExpectedTokens is the likely length of the output; 0 if unknown.
	ExpectedTokens int `cbor:"expected-tokens"`
	// ScoreRequest is sent once the text is whole; nil if the item has no score.
	ScoreRequest *ScoreRequest `cbor:"scorer"`
}

// ScoreRequest is the request whose signature is the score of a text.
type ScoreRequest struct {
	ID   sillid.RequestID `cbor:"id"`
	Host string           `cbor:"host"`
	Path string           `cbor:"path"`
	Body []byte           `cbor:"body"`
}

// Result is what became of an item. Its position in the job never changes.
type Result struct {
	Item ItemID `cbor:"item"`
	// Completed is false for an item that was given up.
	Completed bool `cbor:"completed"`
	// Text holds the data of all events, separated by line feeds.
	Text string `cbor:"text"`
	// Versions are the weight versions that made an event of the text, ascending.
	Versions []sillid.WeightVersion `cbor:"versions"`
	Score    string                 `cbor:"score"`
}

// Progress is the text of an item that is not whole yet.
type Progress struct {
	Item   ItemID   `cbor:"item"`
	Events []string `cbor:"events"`
	// LastEvent is the id of the newest event; meaningless without events.
	LastEvent int                    `cbor:"last-event"`
	Versions  []sillid.WeightVersion `cbor:"versions"`
}

// State is the row that decides over a job.
type State struct {
	Organisation sillid.OrganisationID `cbor:"organisation"`
	Model        sillid.ModelID        `cbor:"model"`
	Pool         sillid.PoolID         `cbor:"pool"`
	MinVersion   sillid.WeightVersion  `cbor:"min-version"`
	// SingleVersion asks for texts made by one version each.
	SingleVersion bool `cbor:"single-version"`
	// Total is the number of items.
	Total int `cbor:"total"`
	// Published is the number of results; their positions are 0 to Published-1.
	Published int `cbor:"listed"`
	// Waiting is the number of items that no target had begun when the owner
	// last wrote the row.
	Waiting int  `cbor:"waiting"`
	Ended   bool `cbor:"ended"`
	// Owner runs the job; empty if it was handed back.
	Owner GatewayRun `cbor:"owner"`
	// Epoch grows with each owner.
	Epoch       sillid.Epoch `cbor:"epoch"`
	SubmittedMS int64        `cbor:"submitted-ms"`
	// HasProgress is whether texts that are not whole were saved with the job.
	HasProgress bool `cbor:"progressed"`
}

// Done returns whether nothing of the job is left to run.
func (s *State) Done() bool { return s.Ended || s.Published >= s.Total }
