// Package sillbundlestore stores accepted bundle versions in the platform's table
// service and object store, and keeps every process on the accepted version.
//
// A version is accepted when a compare-and-set changes the head row from the version
// that the operators signed as the base. The head row holds the hash of the signed
// bundle, which is stored as an object. A signed bundle names its base, and its
// version is base plus one, so a process doesn't have to trust the peer that sent it.
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

// HeadKey is the key of the head row, which names the accepted version.
const HeadKey = "bundle/head"

const (
	versionPrefix    = "bundle/version/"
	withdrawalPrefix = "bundle/withdrawal/"
	objectPrefix     = "bundles/"
)

// ObjectHash is the SHA-256 of a stored signed bundle, in hexadecimal digits.
type ObjectHash string

// Accepted is one accepted version, as stored in its history row and in the head row.
type Accepted struct {
	// Version is the signed base plus one.
	Version sillid.BundleVersion `json:"version"`
	// Hash is the name of the object. The object includes the signatures, which
	// cover the base, so equal hashes mean the same signed bundle.
	Hash ObjectHash `json:"hash"`
	// By is the operator who signed first.
	By sillbundle.OperatorName `json:"by"`
	// AcceptedAtMS is when a gateway accepted the version, in Unix milliseconds.
	AcceptedAtMS int64 `json:"accepted-at"`
}

// Head is the head row. Version 0 means that no bundle was accepted yet.
type Head struct {
	Accepted
	// Withdrawals is the number of withdrawal rows. It never decreases.
	Withdrawals int `json:"withdrawals"`
}

func versionKey(v sillid.BundleVersion) string {
	return fmt.Sprintf("%s%020d", versionPrefix, v)
}

func withdrawalKey(hash sillbundle.KeyHash) string {
	return withdrawalPrefix + string(hash)
}

// encodeSigned returns the stored encoding of a signed bundle and its hash.
func encodeSigned(signed *sillbundle.Signed) ([]byte, ObjectHash) {
	// The canonical encoding of the bundle is compact JSON, which json.Marshal
	// leaves unchanged.
	data, _ := json.Marshal(signed)
	sum := sha256.Sum256(data)
	return data, ObjectHash(hex.EncodeToString(sum[:]))
}

// encodeRow returns a row as JSON. Rows hold only strings and numbers, so encoding
// never fails.
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

// readAccepted reads a history row. The version is 0 if there is no such row.
func readAccepted(ctx context.Context, table *silltable.Store, v sillid.BundleVersion) (Accepted, error) {
	var accepted Accepted
	row, err := table.GetOrAbsent(ctx, versionKey(v))
	if err != nil || row.Revision == silltable.Absent {
		return accepted, err
	}
	err = json.Unmarshal(row.Value, &accepted)
	return accepted, eris.Wrap(err, "sillpublish.readAccepted: decode")
}

// ErrCorrupt is returned if the hash of an object differs from the one in its row.
var ErrCorrupt = errors.New("bundle object does not match its hash: restore the object or roll out a new version")

// decodeSigned decodes a stored bundle and checks its hash.
func decodeSigned(data []byte, hash ObjectHash) (*sillbundle.Signed, error) {
	sum := sha256.Sum256(data)
	if hex.EncodeToString(sum[:]) != string(hash) {
		return nil, eris.Wrap(ErrCorrupt, "sillpublish.decodeSigned")
	}
	var signed sillbundle.Signed
	err := json.Unmarshal(data, &signed)
	return &signed, eris.Wrap(err, "sillpublish.decodeSigned")
}
