// Package sillrelay reaches the platform's table service through another
// gateway while the service turns this instance away but serves others.
//
// A call goes to the service itself as long as that works. After a failure
// calls go through a peer, until a probe finds the service within reach again.
// A peer passes a call on only to the service, never to another peer.
package sillrelay

import (
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/silltable"
)

// path is where gateways take calls to be passed on.
const path = "/relay"

// callName names a call of the table service.
type callName string

const (
	callGet        callName = "get"
	callList       callName = "list"
	callCommit     callName = "commit"
	callRead       callName = "read"
	callPartitions callName = "partitions"
	callFollow     callName = "follow"
)

// wireCall is one call with the arguments that it takes.
type wireCall struct {
	Call      callName           `cbor:"call"`
	Key       string             `cbor:"key,omitempty"`
	After     string             `cbor:"after,omitempty"`
	Limit     int                `cbor:"limit,omitempty"`
	Txn       silltable.Txn      `cbor:"txn"`
	Table     string             `cbor:"table,omitempty"`
	Partition string             `cbor:"partition,omitempty"`
	Revision  silltable.Revision `cbor:"revision,omitempty"`
	WaitMS    int64              `cbor:"wait-ms,omitempty"`
}

// wireAnswer is the outcome of a call.
type wireAnswer struct {
	Failure    failure              `cbor:"failure,omitempty"`
	Rows       []silltable.Row      `cbor:"rows,omitempty"`
	Revisions  []silltable.Revision `cbor:"revisions,omitempty"`
	Changes    []silltable.Change   `cbor:"changes,omitempty"`
	Revision   silltable.Revision   `cbor:"revision,omitempty"`
	Partitions []string             `cbor:"partitions,omitempty"`
}

// failure names an error of the table service.
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

// nameOf returns the name of an error; what is not known counts as unknown.
func nameOf(err error) failure {
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

// errorOf is the reverse of nameOf.
func errorOf(name failure) error {
	if name == "" {
		return nil
	}
	for _, f := range failures {
		if f.name == name {
			return f.err
		}
	}
	return eris.Wrapf(silltable.ErrUnknown, "sillrelay.errorOf: failure %q", name)
}
