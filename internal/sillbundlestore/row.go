// Package sillbundlestore accepts bundle versions in the platform's table service and
// object store, and follows the accepted version in every process.
//
// Accepted means that the head row was changed by compare-and-set from the
// version that the operators signed as the base. The head row holds the hash of
// the signed bundle, which is an object. A signed bundle names its base, so its
// version is base plus one and needs no trust in the peer that hands it on.
package sillbundlestore

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// HeadKey is the key of the row that names the accepted version.
const HeadKey = "bundle/head"

const (
	versionPrefix    = "bundle/version/"
	withdrawalPrefix = "bundle/withdrawal/"
	objectPrefix     = "bundles/"
)

// ObjectHash is the SHA-256 of a signed bundle as it is stored, in hexadecimal digits.
type ObjectHash string

// Accepted is one accepted version, as its history row and the head row hold it.
type Accepted struct {
	// Version is the signed base plus one.
	Version sillid.BundleVersion `json:"version"`
	// Hash names the object. The signatures are part of it and cover the base,
	// so equal hashes are one and the same sign-off.
	Hash ObjectHash `json:"hash"`
	// By is the operator who signed first.
	By sillbundle.OperatorName `json:"by"`
	// AcceptedAtMS is when a gateway accepted the version, in Unix milliseconds.
	AcceptedAtMS int64 `json:"accepted-at"`
}

// Head is the head row. Version 0 stands for no bundle yet.
type Head struct {
	Accepted
	// Withdrawals is the number of withdrawal rows. It only grows.
	Withdrawals int `json:"withdrawals"`
}

func versionKey(v sillid.BundleVersion) string {
	return fmt.Sprintf("%s%020d", versionPrefix, v)
}

func withdrawalKey(hash sillbundle.KeyHash) string {
	return withdrawalPrefix + string(hash)
}

// encodeSigned returns a signed bundle as it is stored, and its hash.
func encodeSigned(signed *sillbundle.Signed) ([]byte, ObjectHash) {
	// The canonical form is compact JSON, which encodes as itself.
	data, _ := json.Marshal(signed)
	sum := sha256.Sum256(data)
	return data, ObjectHash(hex.EncodeToString(sum[:]))
}

// encodeRow returns a row as JSON; rows hold only strings and numbers.
func encodeRow(row any) []byte {
	data, _ := json.Marshal(row)
	return data
}

// readHead reads the head row and its revision.
func readHead(ctx context.Context, table *silltable.Store) (Head, silltable.Revision, error) {
	var head Head
	row, err := table.GetOrAbsent(ctx, HeadKey)
	if err != nil || row.Revision == silltable.Absent {
		return head, silltable.Absent, err
	}
	err = json.Unmarshal(row.Value, &head)
	return head, row.Revision, eris.Wrap(err, "sillpublish.readHead: decode")
}

// readAccepted reads a history row; a missing one comes back as version 0.
func readAccepted(ctx context.Context, table *silltable.Store, v sillid.BundleVersion) (Accepted, error) {
	var accepted Accepted
	row, err := table.GetOrAbsent(ctx, versionKey(v))
	if err != nil || row.Revision == silltable.Absent {
		return accepted, err
	}
	err = json.Unmarshal(row.Value, &accepted)
	return accepted, eris.Wrap(err, "sillpublish.readAccepted: decode")
}

// ErrCorrupt is returned if an object is not what the row that names it promises.
var ErrCorrupt = errors.New("bundle object does not match its hash: restore the object or roll out a new version")

// decodeSigned reads a stored bundle and checks its hash.
func decodeSigned(data []byte, hash ObjectHash) (*sillbundle.Signed, error) {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != string(hash) {
		return nil, eris.Wrap(ErrCorrupt, "sillpublish.decodeSigned")
	}
	var signed sillbundle.Signed
	err := json.Unmarshal(data, &signed)
	return &signed, eris.Wrap(err, "sillpublish.decodeSigned")
}
