package silldispatch

import (
	"github.com/wasabisill/wasabisill/internal/sillattribution"
	"github.com/wasabisill/wasabisill/internal/sillwire"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// output passes a response to its sink and records what was passed.
type output struct {
	sink Sink
	// given is true once a part of the response was passed to the sink.
	given bool
	// status is the HTTP status of the response; 0 for generations.
	status int
	// ids are the tokens that were passed to the sink, after the request's prefix.
	ids []int32
	// spans attribute ids as the agents report them.
	spans []sillattribution.Span
}

func newOutput(r *Request, sink Sink) *output {
	o := &output{sink: sink}
	o.ids = append(o.ids, r.PrefixTokens...)
	o.spans = append(o.spans, r.PrefixSpans...)
	return o
}

func (o *output) tokenCount() int { return len(o.ids) }

func (o *output) head(m *sillwire.Head) error {
	o.given = true
	o.status = m.Status
	return o.sink.Head(m)
}

func (o *output) chunk(m *sillwire.Chunk) error {
	o.given = true
	return o.sink.Chunk(m)
}

func (o *output) tokens(m *sillwire.Tokens) error {
	o.given = true
	from := sillid.Tokens(len(o.ids))
	o.ids = append(o.ids, m.IDs...)
	to := sillid.Tokens(len(o.ids))
	if to > from {
		o.spans = append(o.spans, sillattribution.Span{From: from, To: to, Version: m.Version})
	}
	return o.sink.Tokens(m)
}

// resume changes the request so that the next attempt continues after the tokens that
// were passed to the sink. It returns false if that is not possible.
func (o *output) resume(r *Request, finish *sillwire.Finish) bool {
	if !o.given {
		return true
	}
	if r.Model == "" {
		return false
	}
	spans := o.spans
	if r.RequireSpans {
		if finish == nil || finish.Unattributable != "" || len(finish.Spans) == 0 {
			return o.restart(r)
		}
		spans = finish.Spans
	}
	r.PrefixTokens = append([]int32(nil), o.ids...)
	r.PrefixSpans = append([]sillattribution.Span(nil), spans...)
	return true
}

// restart makes the sink discard its tokens. It returns false if the sink can't.
func (o *output) restart(r *Request) bool {
	if o.sink.Restart == nil {
		return false
	}
	o.sink.Restart()
	o.given = false
	o.ids = nil
	o.spans = nil
	r.PrefixTokens = nil
	r.PrefixSpans = nil
	r.UnbilledTokens = 0
	return true
}
