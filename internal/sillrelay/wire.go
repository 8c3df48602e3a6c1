// Package sillrelay calls the platform's table service through another gateway, a
// peer, while the service rejects calls of this instance but serves others.
//
// Calls go to the service directly as long as they succeed. After a failure they go
// through a peer, until a probe reaches the service again. A peer forwards a call
// only to the service, never to another peer.
package sillrelay

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// path is the HTTP path on which gateways accept calls of peers.
const path = "/relay"

// callName is the name of an operation of the table service.
type callName string

const (
	callGet    callName = "get"
	callList   callName = "list"
	callCommit callName = "commit"
	// callRead reads a whole partition; earlier builds send it.
	callRead       callName = "read"
	callReadPage   callName = "read-page"
	callPartitions callName = "partitions"
	callFollow     callName = "follow"
)

// wireCall is one call with its arguments; those that it doesn't use are zero.
type wireCall struct {
	Call      callName           `cbor:"call"`
	Key       string             `cbor:"key,omitempty"`
	After     string             `cbor:"after,omitempty"`
	Limit     int                `cbor:"limit,omitempty"`
	To        string             `cbor:"to,omitempty"`
	Large     bool               `cbor:"large,omitempty"`
	Txn       silltable.Txn      `cbor:"txn"`
	Table     string             `cbor:"table,omitempty"`
	Partition string             `cbor:"partition,omitempty"`
	Revision  silltable.Revision `cbor:"revision,omitempty"`
	WaitMS    int64              `cbor:"wait-ms,omitempty"`
}

// wireResult is the result of a call; Failure is empty if it succeeded.
type wireResult struct {
	Failure    failure              `cbor:"failure,omitempty"`
	Rows       []silltable.Row      `cbor:"rows,omitempty"`
	Revisions  []silltable.Revision `cbor:"revisions,omitempty"`
	Changes    []silltable.Change   `cbor:"changes,omitempty"`
	Revision   silltable.Revision   `cbor:"revision,omitempty"`
	Next       string               `cbor:"next,omitempty"`
	Partitions []string             `cbor:"partitions,omitempty"`
}

// failure is the name of an error of the table service.
type failure string

const (
	failNotFound    failure = "not-found"
	failConflict    failure = "conflict"
	failCompacted   failure = "compacted"
	failUnknown     failure = "unknown"
	failUnavailable failure = "unavailable"
)

// failures maps the errors of the table service to their names.
var failures = []struct {
	name failure
	err  error
}{
	{failNotFound, silltable.ErrNotFound},
	{failConflict, silltable.ErrConflict},
	{failCompacted, silltable.ErrCompacted},
	{failUnknown, silltable.ErrUnknown},
	{failUnavailable, silltable.ErrUnavailable},
}

// failureOf returns the name of an error, or failUnknown for errors without one.
func failureOf(err error) failure {
	if err == nil {
		return ""
	}
	for _, f := range failures {
		if errors.Is(err, f.err) {
			return f.name
		}
	}
	return failUnknown
}

// errorOf returns the error with a name; nil for the empty name.
func errorOf(name failure) error {
	if name == "" {
		return nil
	}
	for _, f := range failures {
		if f.name == name {
			return f.err
		}
	}
	return eris.Wrapf(silltable.ErrUnknown, "sillrelay.errorOf: unknown failure %q", name)
}
