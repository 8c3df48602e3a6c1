package silllease

import "github.com/wasabisill/wasabisill/internal/silltable"

// CommandKind is the kind of call that a Command requests.
type CommandKind int

const (
	// Wait requests no call until NextTick.
	Wait CommandKind = iota
	// ReadRow requests a read of the lease row, whose result goes to HandleRead.
	ReadRow
	// TryAcquire requests a commit of Txn, which acquires the lease; its result
	// goes to HandleCommit.
	TryAcquire
	// Renew requests a commit of Txn, which renews the lease; its result goes to
	// HandleCommit.
	Renew
	// StepDown requests a commit of Txn, which frees the lease; its result goes to
	// HandleCommit. The term has ended whether or not the commit succeeds.
	StepDown
)

// Command is a table call that a Holder requests from its caller.
type Command struct {
	Kind CommandKind
	// Key is the row to read, for ReadRow.
	Key string
	// Txn is the transaction to commit, for TryAcquire, Renew and StepDown.
	Txn silltable.Txn
}
