// Package sillrollout turns a trainer's batch of prompts into scored samples: it
// schedules their generation, checks each sample against the staleness bound, and
// delivers each once.
//
// The Ledger stores what must outlive a process: the batch row, which is the only
// record of which groups are settled, and one row for each delivery, whose samples
// are an object that is written before the row. Every gateway can serve a trainer's
// requests from it. The Task owns the batches of one shard while it holds the
// shard's lease; its state in memory can be rebuilt from the rows. A Batch makes
// the scheduling decisions and does no I/O.
package sillrollout
