package silljob

import (
	"sync"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Board holds the newest known state of every job. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	states  map[ID]VersionedState
	changed chan struct{}
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{states: make(map[ID]VersionedState), changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next change of any job.
func (b *Board) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Get returns the newest known state of a job.
func (b *Board) Get(job ID) (VersionedState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	v, ok := b.states[job]
	return v, ok
}

// UpdateIfNewer takes a state if it is newer than the one known.
func (b *Board) UpdateIfNewer(job ID, v VersionedState) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if held, ok := b.states[job]; ok && held.Revision >= v.Revision {
		return
	}
	b.states[job] = v
	close(b.changed)
	b.changed = make(chan struct{})
}

// Apply takes rows of the state table. It returns the error of the last row
// that could not be read; the others count.
func (b *Board) Apply(rows []silltable.Row) error {
	var failure error
	for _, row := range rows {
		job, ok := JobOf(row.Key)
		if !ok {
			continue
		}
		state, err := decodeState(row)
		if err != nil {
			failure = err
			continue
		}
		b.UpdateIfNewer(job, VersionedState{State: state, Revision: row.Revision})
	}
	return failure
}

// OpenJobs returns the jobs that have something left to run.
func (b *Board) OpenJobs() map[ID]VersionedState {
	b.mu.Lock()
	defer b.mu.Unlock()
	open := make(map[ID]VersionedState)
	for job, v := range b.states {
		if !v.Done() {
			open[job] = v
		}
	}
	return open
}

// Demand is what the open jobs want of one model.
type Demand struct {
	Model sillid.ModelID
	Pool  sillid.PoolID
	// Waiting is the number of items that no target has begun.
	Waiting int
	// Unpublished is the number of items without a result.
	Unpublished int
	// MinVersion is the newest version that any open job asks for.
	MinVersion sillid.WeightVersion
	// SingleVersion is whether any open job takes one version a text only.
	SingleVersion bool
}

// Demands returns the demand of each model with open jobs.
func (b *Board) Demands() map[sillid.ModelID]Demand {
	demands := make(map[sillid.ModelID]Demand)
	for _, v := range b.OpenJobs() {
		d := demands[v.Model]
		d.Model, d.Pool = v.Model, v.Pool
		d.Waiting += v.Waiting
		d.Unpublished += v.Total - v.Published
		d.MinVersion = max(d.MinVersion, v.MinVersion)
		d.SingleVersion = d.SingleVersion || v.SingleVersion
		demands[v.Model] = d
	}
	return demands
}
