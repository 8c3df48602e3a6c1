package sillusage

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	agentPrefix  = "usage/agent/"
	orphanPrefix = "usage/orphan/"
	sealedPrefix = "usage/sealed/"
	windowPrefix = "usage/window/"
	sentPrefix   = "usage/sent/"
	closedKey    = "usage/closed"
)

func agentKey(id sillid.AgentID) string  { return agentPrefix + string(id) }
func sealedKey(id sillid.AgentID) string { return sealedPrefix + string(id) }

func orphanKey(id sillid.AgentID, writer string) string {
	return orphanPrefix + string(id) + "/" + writer
}

// orphanAgent returns the agent in the key of an orphan row.
func orphanAgent(key string) sillid.AgentID {
	name, _, _ := strings.Cut(strings.TrimPrefix(key, orphanPrefix), "/")
	return sillid.AgentID(name)
}

func windowName(organisation sillid.OrganisationID, w Window) string {
	return fmt.Sprintf("%s/%014d", organisation, w)
}

// agentRow holds the totals of one meter. Only that meter writes it.
type agentRow struct {
	// Covered is the highest sequence number included in the totals.
	Covered uint64 `json:"covered"`
	// Watermark, in Unix milliseconds, promises that no later record is counted in
	// a window that ends by it.
	Watermark int64 `json:"watermark"`
	// Final is set by the last flush of a meter.
	Final  bool       `json:"final,omitempty"`
	Totals []totalRow `json:"totals"`
}

type totalRow struct {
	Organisation sillid.OrganisationID `json:"organisation"`
	Window       Window                `json:"window"`
	Origin       Window                `json:"origin"`
	Figures      Figures               `json:"figures"`
}

// orphanRow holds records of an agent that died before its row covered them.
type orphanRow struct {
	Records []Record `json:"records"`
}

// sealedRow marks a meter as ended: its agent row no longer changes.
type sealedRow struct {
	// Covered is the agent row's Covered, 0 if there is no row.
	Covered uint64 `json:"covered"`
	// Counted holds the sequence numbers of the orphan records in frozen windows as
	// sorted spans that neither overlap nor touch.
	Counted []span `json:"counted,omitempty"`
	// At is when the row was sealed, in Unix milliseconds.
	At int64 `json:"at"`
}

// span is a range of sequence numbers, both ends included.
type span struct {
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
}

// closedRow records which windows are frozen: all before FirstOpen.
type closedRow struct {
	FirstOpen Window `json:"first-open"`
}

// windowRow is a frozen window of one organisation.
type windowRow struct {
	// Report holds the encoded report; every attempt sends these bytes.
	Report []byte `json:"report"`
	// Carried are the parts of the figures whose requests ended in earlier windows.
	Carried []carriedRow `json:"carried,omitempty"`
	// SentAt, in Unix milliseconds, is set once the platform accepted the report.
	SentAt int64 `json:"sent-at,omitempty"`
}

type carriedRow struct {
	Origin  Window  `json:"origin"`
	Figures Figures `json:"figures"`
}

func encodeRow(value any) []byte {
	// Rows hold only strings and numbers, which always encode.
	b, _ := json.Marshal(value)
	return b
}

func decodeRow(row silltable.Row, value any) error {
	return eris.Wrapf(json.Unmarshal(row.Value, value), "sillusage.decodeRow: row %q", row.Key)
}

// contains reports whether the sequence number is in one of the spans.
func contains(spans []span, sequence uint64) bool {
	i := sort.Search(len(spans), func(i int) bool { return spans[i].To >= sequence })
	return i < len(spans) && spans[i].From <= sequence
}

// addSequences returns the spans with the sequence numbers added.
func addSequences(spans []span, sequences []uint64) []span {
	all := append([]span(nil), spans...)
	for _, s := range sequences {
		all = append(all, span{From: s, To: s})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].From < all[j].From })
	var merged []span
	for _, s := range all {
		last := len(merged) - 1
		if last >= 0 && s.From <= merged[last].To+1 {
			merged[last].To = max(merged[last].To, s.To)
			continue
		}
		merged = append(merged, s)
	}
	return merged
}
