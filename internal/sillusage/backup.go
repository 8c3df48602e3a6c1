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

// RecordBackupConfig configures a RecordBackup.
type RecordBackupConfig struct {
	// Gateway identifies this run of the gateway.
	Gateway sillid.GatewayID
	// Limit bounds the number of records kept; at least 1.
	Limit   int
	Store   *silltable.Store
	Metrics *Metrics
}

// RecordBackup keeps the records of the requests that one gateway forwarded until
// the agent's row covers them, and writes those of dead agents to the table. It is
// safe for concurrent use.
type RecordBackup struct {
	RecordBackupConfig
	mu sync.Mutex
	// kept holds the records above each agent's durable sequence.
	kept map[sillid.AgentID][]Record
	// durable holds the highest durable sequence that each agent reported.
	durable map[sillid.AgentID]uint64
	// count is the number of records in kept and unwritten.
	count int
	dead  map[sillid.AgentID]bool
	// batches is the number of orphan rows begun; part of their keys.
	batches int

	// flushing serialises Flush.
	flushing sync.Mutex
	// unwritten holds the rows whose write has not been confirmed.
	unwritten []orphanBatch
}

type orphanBatch struct {
	agent   sillid.AgentID
	writer  string
	records []Record
}

// NewRecordBackup returns a RecordBackup without records.
func NewRecordBackup(cfg RecordBackupConfig) *RecordBackup {
	return &RecordBackup{
		RecordBackupConfig: cfg,
		kept:               make(map[sillid.AgentID][]Record),
		durable:            make(map[sillid.AgentID]uint64),
		dead:               make(map[sillid.AgentID]bool),
	}
}

// Add keeps a record received with the end of a response. A record beyond the
// limit is dropped and counted in BackupDrops.
func (rb *RecordBackup) Add(r Record) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if r.Sequence <= rb.durable[r.Agent] {
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
func (rb *RecordBackup) Trim(reported DurableSequence) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	if reported.Sequence <= rb.durable[reported.Agent] {
		return
	}
	rb.durable[reported.Agent] = reported.Sequence
	kept := rb.kept[reported.Agent]
	remaining := make([]Record, 0, len(kept))
	for _, r := range kept {
		if r.Sequence > reported.Sequence {
			remaining = append(remaining, r)
		}
	}
	rb.count -= len(kept) - len(remaining)
	rb.kept[reported.Agent] = remaining
}

// MarkAgentDead records that the agent's run, or the use of its meter's name, has
// ended. The next Flush writes its records. Calling it for a live agent doesn't
// change the reported figures.
func (rb *RecordBackup) MarkAgentDead(id sillid.AgentID) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	delete(rb.durable, id)
	if len(rb.kept[id]) == 0 {
		delete(rb.kept, id)
		return
	}
	rb.dead[id] = true
}

// Flush writes the records of dead agents. The gateway calls it every second.
// After an error the next call writes the same rows again.
func (rb *RecordBackup) Flush(ctx context.Context) error {
	rb.flushing.Lock()
	defer rb.flushing.Unlock()
	rb.queueDead()
	for len(rb.unwritten) > 0 {
		b := rb.unwritten[0]
		err := writeOrphan(ctx, rb.Store, b.agent, b.writer, b.records)
		if err != nil {
			return eris.Wrap(err, "sillusage.RecordBackup.Flush")
		}
		rb.unwritten = rb.unwritten[1:]
		rb.release(len(b.records))
	}
	return nil
}

func (rb *RecordBackup) queueDead() {
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

// writeOrphan writes a row whose key only this writer uses, so it can be retried.
func writeOrphan(ctx context.Context, store *silltable.Store, id sillid.AgentID, writer string, rs []Record) error {
	value := encodeRow(orphanRow{Records: rs})
	_, err := store.Commit(ctx, silltable.Txn{
		Writes: []silltable.Write{{Key: orphanKey(id, writer), Value: value}},
	})
	return eris.Wrapf(err, "sillusage.writeOrphan: agent %s", id)
}
