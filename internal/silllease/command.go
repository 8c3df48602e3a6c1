package silllease

import "github.com/wasabisill/wasabisill/internal/silltable"

// CommandKind tells what a Command asks for.
type CommandKind int

const (
	// Wait asks for nothing until NextTick.
	Wait CommandKind = iota
	// ReadRow asks to read the lease row and to answer with HandleRead.
	ReadRow
	// TryAcquire asks to commit Txn, a takeover, and to answer with HandleCommit.
	TryAcquire
	// Renew asks to commit Txn, a renewal, and to answer with HandleCommit.
	Renew
	// StepDown asks to commit Txn, which frees the lease; the answer changes nothing.
	StepDown
)

// Command is what a Holder wants done.
type Command struct {
	Kind CommandKind
	// Key is the row to read, for ReadRow.
	Key string
	// Txn is the transaction to commit, for TryAcquire, Renew and StepDown.
	Txn silltable.Txn
}
