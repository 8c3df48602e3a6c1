package sillusage

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// agentState is an agent row with its revision; the zero value means that the agent
// never registered.
type agentState struct {
	agentRow
	revision silltable.Revision
}

type sealedState struct {
	sealedRow
	revision silltable.Revision
}

// view is the state of the table that the closer and the collector decide on.
type view struct {
	firstOpen Window
	// closedRevision is read before all other rows.
	closedRevision silltable.Revision
	agents         map[sillid.AgentID]agentState
	sealed         map[sillid.AgentID]sealedState
	// orphans holds the records of the orphan rows by agent and sequence number.
	orphans map[sillid.AgentID]map[uint64]Record
	// orphanRows holds the checks of the orphan rows by agent.
	orphanRows map[sillid.AgentID][]silltable.Check
}

// readView reads the closed row first. A freeze that checks its revision then
// sees every agent that registered before the last freeze.
func readView(ctx context.Context, store *silltable.Store) (view, error) {
	v := view{
		agents:  make(map[sillid.AgentID]agentState),
		sealed:  make(map[sillid.AgentID]sealedState),
		orphans: make(map[sillid.AgentID]map[uint64]Record),

		orphanRows: make(map[sillid.AgentID][]silltable.Check),
	}
	row, err := store.GetOrAbsent(ctx, closedKey)
	if err != nil {
		return view{}, eris.Wrap(err, "sillusage.readView")
	}
	if row.Revision != silltable.Absent {
		var closed closedRow
		if err := decodeRow(row, &closed); err != nil {
			return view{}, err
		}
		v.firstOpen, v.closedRevision = closed.FirstOpen, row.Revision
	}
	// Sealed rows are read before the agent rows, so that the row read of a sealed
	// agent is its last.
	err = eachRow(ctx, store, sealedPrefix, v.addSealed)
	if err != nil {
		return view{}, eris.Wrap(err, "sillusage.readView")
	}
	err = eachRow(ctx, store, agentPrefix, v.addAgent)
	if err != nil {
		return view{}, eris.Wrap(err, "sillusage.readView")
	}
	err = eachRow(ctx, store, orphanPrefix, v.addOrphans)
	return v, eris.Wrap(err, "sillusage.readView")
}

func eachRow(ctx context.Context, store *silltable.Store, prefix string, visit func(silltable.Row) error) error {
	rows, err := store.ListAll(ctx, prefix)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if err := visit(row); err != nil {
			return err
		}
	}
	return nil
}

func (v *view) addAgent(row silltable.Row) error {
	s := agentState{revision: row.Revision}
	err := decodeRow(row, &s.agentRow)
	v.agents[sillid.AgentID(row.Key[len(agentPrefix):])] = s
	return err
}

func (v *view) addSealed(row silltable.Row) error {
	s := sealedState{revision: row.Revision}
	err := decodeRow(row, &s.sealedRow)
	v.sealed[sillid.AgentID(row.Key[len(sealedPrefix):])] = s
	return err
}

func (v *view) addOrphans(row silltable.Row) error {
	var o orphanRow
	if err := decodeRow(row, &o); err != nil {
		return err
	}
	id := orphanAgent(row.Key)
	if v.orphans[id] == nil {
		v.orphans[id] = make(map[uint64]Record)
	}
	v.orphanRows[id] = append(v.orphanRows[id], silltable.Check{Key: row.Key, Revision: row.Revision})
	for _, r := range o.Records {
		v.orphans[id][r.Sequence] = r
	}
	return nil
}

// agentIDs returns every agent that has a row or an orphan record.
func (v *view) agentIDs() []sillid.AgentID {
	var ids []sillid.AgentID
	for id := range v.agents {
		ids = append(ids, id)
	}
	for id := range v.orphans {
		if _, ok := v.agents[id]; !ok {
			ids = append(ids, id)
		}
	}
	return ids
}

// blockers returns the agents that may still count records in the window that ends
// at end.
func (v *view) blockers(end Window) []sillid.AgentID {
	var ids []sillid.AgentID
	for _, id := range v.agentIDs() {
		_, sealed := v.sealed[id]
		if !sealed && v.agents[id].Watermark < int64(end) {
			ids = append(ids, id)
		}
	}
	return ids
}
