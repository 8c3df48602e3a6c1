package sillusage

import (
	"sort"
	"time"

	"github.com/wasabisill/wasabisill/internal/sillbilling"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// sums are the figures of one window by organisation and origin.
type sums map[sillid.OrganisationID]map[Window]Figures

func (s sums) add(org sillid.OrganisationID, origin Window, f Figures) {
	if s[org] == nil {
		s[org] = make(map[Window]Figures)
	}
	s[org][origin] = s[org][origin].Plus(f)
}

// sum returns the sums of the first open window: the agents' totals, and the orphan
// records that neither an agent row nor a frozen window contains. It also returns
// the sequence numbers of these records.
func (v *view) sum() (sums, map[sillid.AgentID][]uint64) {
	s := make(sums)
	counted := make(map[sillid.AgentID][]uint64)
	for _, a := range v.agents {
		for _, t := range a.Totals {
			if t.Window == v.firstOpen {
				s.add(t.Organisation, t.Origin, t.Figures)
			}
		}
	}
	for id, sealed := range v.sealed {
		for _, r := range v.orphans[id] {
			if r.Sequence <= sealed.Covered || r.Window > v.firstOpen || contains(sealed.Counted, r.Sequence) {
				continue
			}
			s.add(r.Organisation, r.Window, r.Figures)
			counted[id] = append(counted[id], r.Sequence)
		}
	}
	return s, counted
}

// freezeTxn returns the transaction that freezes the first open window for all
// organisations, advances to the next window and records the counted orphan records.
func (v *view) freezeTxn(length time.Duration) (silltable.Txn, sums) {
	s, counted := v.sum()
	txn := silltable.Txn{
		Checks: []silltable.Check{{Key: closedKey, Revision: v.closedRevision}},
		Writes: []silltable.Write{{Key: closedKey, Value: encodeRow(closedRow{FirstOpen: v.firstOpen.Next(length)})}},
	}
	for org, byOrigin := range s {
		name := windowName(org, v.firstOpen)
		txn.Checks = append(txn.Checks,
			silltable.Check{Key: windowPrefix + name, Revision: silltable.Absent},
			silltable.Check{Key: sentPrefix + name, Revision: silltable.Absent},
		)
		row := frozenRow(org, v.firstOpen, length, byOrigin)
		txn.Writes = append(txn.Writes, silltable.Write{Key: windowPrefix + name, Value: encodeRow(row)})
	}
	for id, sequences := range counted {
		sealed := v.sealed[id]
		sealed.Counted = addSequences(sealed.Counted, sequences)
		txn.Checks = append(txn.Checks, silltable.Check{Key: sealedKey(id), Revision: sealed.revision})
		txn.Writes = append(txn.Writes, silltable.Write{Key: sealedKey(id), Value: encodeRow(sealed.sealedRow)})
	}
	return txn, s
}

func frozenRow(org sillid.OrganisationID, w Window, length time.Duration, byOrigin map[Window]Figures) windowRow {
	var total Figures
	var row windowRow
	for origin, f := range byOrigin {
		total = total.Plus(f)
		if origin != w {
			row.Carried = append(row.Carried, carriedRow{Origin: origin, Figures: f})
		}
	}
	sort.Slice(row.Carried, func(i, j int) bool { return row.Carried[i].Origin < row.Carried[j].Origin })
	row.Report = sillbilling.Report{
		ID:                  sillbilling.ReportID("usage/" + windowName(org, w)),
		Organisation:        org,
		WindowStart:         int64(w),
		WindowSeconds:       int64(length.Seconds()),
		Requests:            total.Requests,
		PromptTokens:        total.PromptTokens,
		CompletionTokens:    total.CompletionTokens,
		ServiceMilliseconds: total.ServiceMilliseconds,
	}.Encode()
	return row
}
