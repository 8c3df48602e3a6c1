package sillusage

import (
	"context"
	"fmt"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// DefaultRecordBackupLimit bounds the records that one gateway keeps.
const DefaultRecordBackupLimit = 50_000

// RecordBackupConfig holds what a witness needs.
type RecordBackupConfig struct {
	// Gateway is this run of the gateway.
	Gateway sillid.GatewayID
	// Limit bounds the records kept; at least 1.
	Limit   int
	Store   *silltable.Store
	Metrics *Metrics
}

// RecordBackup keeps the records of requests that passed one gateway until their
// agent's row covers them, and writes those of dead agents. It is safe for
// concurrent use.
type RecordBackup struct {
	RecordBackupConfig
	mu sync.Mutex
	// kept are the records above each agent's mark.
	kept map[sillid.AgentID][]Record
	// marks are the highest marks heard of agents with kept records.
	marks map[sillid.AgentID]uint64
	// count is the number of records in kept.
	count int
	dead  map[sillid.AgentID]bool
	// batches counts the rows that Flush began.
	batches int

	// flushing serialises Flush.
	flushing sync.Mutex
	// unwritten are rows whose write has not been confirmed.
	unwritten []orphanBatch
}

type orphanBatch struct {
	agent   sillid.AgentID
	writer  string
	records []Record
}

// NewRecordBackup returns a witness without records.
func NewRecordBackup(cfg RecordBackupConfig) *RecordBackup {
	return &RecordBackup{
		RecordBackupConfig: cfg,
		kept:               make(map[sillid.AgentID][]Record),
		marks:              make(map[sillid.AgentID]uint64),
		dead:               make(map[sillid.AgentID]bool),
	}
}

// Add keeps a record that came with the end of an answer. Beyond the limit the
// record is counted and not kept.
func (rb *RecordBackup) Add(r Record) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if r.Sequence <= rb.marks[r.Agent] {
		return
	}
	if rb.count >= rb.Limit {
		rb.Metrics.BackupDrops.Inc()
		return
	}
	rb.kept[r.Agent] = append(rb.kept[r.Agent], r)
	rb.count++
}

// Trim drops the records that the agent's row covers.
func (rb *RecordBackup) Trim(mark DurableSequence) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if mark.Sequence <= rb.marks[mark.Agent] {
		return
	}
	rb.marks[mark.Agent] = mark.Sequence
	kept := rb.kept[mark.Agent]
	rest := make([]Record, 0, len(kept))
	for _, r := range kept {
		if r.Sequence > mark.Sequence {
			rest = append(rest, r)
		}
	}
	rb.count -= len(kept) - len(rest)
	rb.kept[mark.Agent] = rest
}

// MarkAgentDead tells that the run of the agent, or its meter's name, has ended.
// Flush then writes its records. A wrong call does no harm to the figures.
func (rb *RecordBackup) MarkAgentDead(id sillid.AgentID) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	delete(rb.marks, id)
	if len(rb.kept[id]) == 0 {
		delete(rb.kept, id)
		return
	}
	rb.dead[id] = true
}

// Flush writes the records of dead agents. The gateway calls it every second;
// after an error the same rows are written again.
func (rb *RecordBackup) Flush(ctx context.Context) error {
	rb.flushing.Lock()
	defer rb.flushing.Unlock()
	rb.takeDead()
	for len(rb.unwritten) > 0 {
		b := rb.unwritten[0]
		err := writeOrphan(ctx, rb.Store, b.agent, b.writer, b.records)
		if err != nil {
			return eris.Wrap(err, "sillusage.Witness.Flush")
		}
		rb.unwritten = rb.unwritten[1:]
		rb.release(len(b.records))
	}
	return nil
}

func (rb *RecordBackup) takeDead() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	for id := range rb.dead {
		rb.batches++
		writer := fmt.Sprintf("%s.%d", rb.Gateway, rb.batches)
		rb.unwritten = append(rb.unwritten, orphanBatch{agent: id, writer: writer, records: rb.kept[id]})
		delete(rb.dead, id)
		delete(rb.kept, id)
	}
}

func (rb *RecordBackup) release(n int) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.count -= n
}

// writeOrphan writes a row that nobody else writes; repeating it is harmless.
func writeOrphan(ctx context.Context, store *silltable.Store, id sillid.AgentID, writer string, rs []Record) error {
	value := encodeRow(orphanRow{Records: rs})
	_, err := store.Commit(ctx, silltable.Txn{
		Writes: []silltable.Write{{Key: orphanKey(id, writer), Value: value}},
	})
	return eris.Wrapf(err, "sillusage.writeOrphan: agent %s", id)
}
