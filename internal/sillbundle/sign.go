package sillbundle

import (
	"crypto/ed25519"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// OperatorName names an operator who signs bundles.
type OperatorName string

// Operators holds the public keys of the operators whose signatures are accepted.
type Operators map[OperatorName]ed25519.PublicKey

var (
	// ErrSignature is returned if a signature is missing, invalid or by an unknown
	// operator.
	ErrSignature = errors.New("signature does not hold: sign anew with the key of an operator that the settings name")
	// ErrNotCanonical is returned for a signed bundle that is not in canonical form.
	ErrNotCanonical = errors.New("signed bundle is not in canonical form: sign it with 'wasabisill bundle sign'")
)

// Signature is one operator's signature of a bundle.
type Signature struct {
	Operator OperatorName `json:"operator"`
	// Value is the Ed25519 signature.
	Value []byte `json:"value"`
}

// Signed is a bundle with its signatures. They cover the bundle and the version that
// it replaces, so that a signature is valid for that one change only.
type Signed struct {
	// Base is the version that the bundle replaces; 0 for the first.
	Base sillid.BundleVersion `json:"base-version"`
	// Bundle is in canonical form.
	Bundle     json.RawMessage `json:"bundle"`
	Signatures []Signature     `json:"signatures"`
}

// The contexts are part of the signed messages, so that a signature of one kind of
// message is not valid for the other.
const (
	bundleContext     = "wasabisill-bundle-v1"
	withdrawalContext = "wasabisill-withdrawal-v1"
)

func bundleMessage(base sillid.BundleVersion, operator OperatorName, canonical []byte) []byte {
	head := fmt.Sprintf("%s\n%d\n%s\n", bundleContext, base, operator)
	return append([]byte(head), canonical...)
}

// Sign returns the bundle as the successor of version base, signed by one operator.
func Sign(b *Bundle, base sillid.BundleVersion, operator OperatorName, key ed25519.PrivateKey) *Signed {
	s := &Signed{Base: base, Bundle: b.Canonical()}
	s.AddSignature(operator, key)
	return s
}

// AddSignature adds the signature of one more operator.
func (s *Signed) AddSignature(operator OperatorName, key ed25519.PrivateKey) {
	value := ed25519.Sign(key, bundleMessage(s.Base, operator, s.Bundle))
	s.Signatures = append(s.Signatures, Signature{Operator: operator, Value: value})
}

// Verify checks every signature and validates the bundle, and returns the decoded
// bundle. Errors: those of Decode, ErrNotCanonical, ErrSignature, *InvalidError.
func (s *Signed) Verify(operators Operators) (*Bundle, error) {
	b, err := Decode(s.Bundle)
	if err != nil {
		return nil, eris.Wrap(err, "sillbundle.Verify")
	}
	if string(b.Canonical()) != string(s.Bundle) {
		return nil, eris.Wrap(ErrNotCanonical, "sillbundle.Verify")
	}
	if len(s.Signatures) == 0 {
		return nil, eris.Wrap(ErrSignature, "sillbundle.Verify: no signature")
	}
	for _, sig := range s.Signatures {
		if !operators.verify(sig.Operator, bundleMessage(s.Base, sig.Operator, s.Bundle), sig.Value) {
			return nil, eris.Wrapf(ErrSignature, "sillbundle.Verify: operator %q", sig.Operator)
		}
	}
	if err := b.Validate(); err != nil {
		return nil, err
	}
	return b, nil
}

func (o Operators) verify(name OperatorName, message, signature []byte) bool {
	key, known := o[name]
	return known && len(key) == ed25519.PublicKeySize && ed25519.Verify(key, message, signature)
}

// FirstSigner returns the name of the first operator who signed, or "".
func (s *Signed) FirstSigner() OperatorName {
	if len(s.Signatures) == 0 {
		return ""
	}
	return s.Signatures[0].Operator
}

// Withdrawal is an operator's signed notice that a key must no longer be accepted.
// It is permanent and applies to every bundle version.
type Withdrawal struct {
	KeyHash KeyHash `json:"key-hash"`
	// AtMS is when the operator signed, in Unix milliseconds.
	AtMS     int64        `json:"at"`
	Operator OperatorName `json:"operator"`
	// Value is the Ed25519 signature.
	Value []byte `json:"signature"`
}

func (w *Withdrawal) message() []byte {
	return fmt.Appendf(nil, "%s\n%s\n%d\n%s\n", withdrawalContext, w.KeyHash, w.AtMS, w.Operator)
}

// SignWithdrawal returns a withdrawal of a key, signed by an operator.
func SignWithdrawal(hash KeyHash, at time.Time, operator OperatorName, key ed25519.PrivateKey) Withdrawal {
	w := Withdrawal{KeyHash: hash, AtMS: at.UnixMilli(), Operator: operator}
	w.Value = ed25519.Sign(key, w.message())
	return w
}

// Verify returns ErrSignature unless one of the operators signed the withdrawal.
func (w *Withdrawal) Verify(operators Operators) error {
	if !hashPattern.MatchString(string(w.KeyHash)) || !operators.verify(w.Operator, w.message(), w.Value) {
		return eris.Wrapf(ErrSignature, "sillbundle.Withdrawal.Verify: operator %q", w.Operator)
	}
	return nil
}
