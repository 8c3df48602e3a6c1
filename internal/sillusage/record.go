// Package sillusage meters the usage of organisations, stores it in the table
// service and reports each window once.
//
// An agent's Meter numbers the records of its run and sums them; its Flusher
// writes the totals to one row. A gateway's RecordBackup keeps the records that
// are not in that row yet and writes them if the agent dies. The Closer freezes a
// window once no further records can arrive for it, and the Reporter sends the
// frozen bytes.
package sillusage

import (
	"time"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Window is the start of a window in Unix milliseconds.
type Window int64

// WindowOf returns the window of the given length that contains t.
func WindowOf(t time.Time, length time.Duration) Window {
	ms := t.UnixMilli()
	return Window(ms - ms%length.Milliseconds())
}

// Next returns the window after w.
func (w Window) Next(length time.Duration) Window {
	return w + Window(length.Milliseconds())
}

// Figures are amounts of usage.
type Figures struct {
	Requests            int64         `json:"requests" cbor:"1,keyasint"`
	PromptTokens        sillid.Tokens `json:"prompt-tokens" cbor:"2,keyasint"`
	CompletionTokens    sillid.Tokens `json:"completion-tokens" cbor:"3,keyasint"`
	ServiceMilliseconds int64         `json:"service-milliseconds" cbor:"4,keyasint"`
}

// Plus returns the sum of both amounts.
func (f Figures) Plus(g Figures) Figures {
	return Figures{
		Requests:            f.Requests + g.Requests,
		PromptTokens:        f.PromptTokens + g.PromptTokens,
		CompletionTokens:    f.CompletionTokens + g.CompletionTokens,
		ServiceMilliseconds: f.ServiceMilliseconds + g.ServiceMilliseconds,
	}
}

// Record is the usage of one finished request.
type Record struct {
	// Agent is the name of the meter that numbered the record.
	Agent sillid.AgentID `json:"agent" cbor:"1,keyasint"`
	// Sequence is the record's number within its meter, from 1 without gaps.
	Sequence     uint64                `json:"sequence" cbor:"2,keyasint"`
	Organisation sillid.OrganisationID `json:"organisation" cbor:"3,keyasint"`
	// Window is the window in which the request ended.
	Window  Window         `json:"window" cbor:"4,keyasint"`
	Route   sillid.RouteID `json:"route" cbor:"5,keyasint"`
	Figures Figures        `json:"figures" cbor:"6,keyasint"`
}

// DurableSequence is the sequence number up to which a meter's records are in the
// table.
type DurableSequence struct {
	Agent sillid.AgentID `json:"agent" cbor:"1,keyasint"`
	// Sequence is the highest sequence number in the table; all below it are there too.
	Sequence uint64 `json:"sequence" cbor:"2,keyasint"`
}

// totalKey identifies one total. Origin is the window in which the requests ended;
// Window, in which they are reported, is never earlier.
type totalKey struct {
	organisation sillid.OrganisationID
	window       Window
	origin       Window
}
