package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"fmt"
	"os"
	"time"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// keyBytes is the length of a new key before it is encoded.
const keyBytes = 32

// keyPrefix lets secret scanners recognise leaked keys.
const keyPrefix = "sill_"

func newKeyCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("key")
	sub.Description = keyHelp
	newKey := flaggy.NewSubcommand("new")
	newKey.Description = keyNewHelp
	return &sillcommand.Command{Sub: sub, Children: []*sillcommand.Command{{Sub: newKey, Run: printNewKey}}}
}

func printNewKey(context.Context) error {
	var b [keyBytes]byte
	// Read of crypto/rand never returns an error; it crashes the program instead.
	_, _ = rand.Read(b[:])
	key := keyPrefix + base64.RawURLEncoding.EncodeToString(b[:])
	fmt.Printf("key:  %s\nhash: %s\n", key, sillbundle.HashKey(key))
	return nil
}

func newOperatorCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("operator")
	sub.Description = operatorHelp
	newKey := flaggy.NewSubcommand("new")
	newKey.Description = opNewHelp
	var file string
	newKey.String(&file, "", "operator-key-file", "new file for the private key, PEM")
	return &sillcommand.Command{Sub: sub, Children: []*sillcommand.Command{{Sub: newKey, Run: func(context.Context) error {
		return newOperatorKey(file)
	}}}}
}

const (
	privateKeyMode = 0o600
	pemType        = "PRIVATE KEY"
)

func newOperatorKey(path string) error {
	if err := required([2]string{"operator-key-file", path}); err != nil {
		return err
	}
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return fmt.Errorf("make a key: %w", err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return fmt.Errorf("encode the key: %w", err)
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, privateKeyMode)
	if err != nil {
		return usageError("write the key to a new file: %w", err)
	}
	err = pem.Encode(f, &pem.Block{Type: pemType, Bytes: der})
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("write the key: %w", err)
	}
	fmt.Printf("public key: %s\n", base64.StdEncoding.EncodeToString(public))
	return nil
}

// operatorFlags are the flags that name the signing operator and the key file.
type operatorFlags struct {
	name    string
	keyFile string
}

func (o *operatorFlags) attach(sub *flaggy.Subcommand) {
	sub.String(&o.name, "", "operator", "name of the operator who signs, as in the settings")
	sub.String(&o.keyFile, "", "operator-key-file", "file of the operator's private key, PEM")
}

func (o *operatorFlags) key() (ed25519.PrivateKey, error) {
	if err := required([2]string{"operator", o.name}, [2]string{"operator-key-file", o.keyFile}); err != nil {
		return nil, err
	}
	data, err := os.ReadFile(o.keyFile)
	if err != nil {
		return nil, usageError("read the operator's key: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil || block.Type != pemType {
		return nil, usageError("%s holds no private key in PEM: make one with 'wasabisill bundle operator new'", o.keyFile)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	key, ok := parsed.(ed25519.PrivateKey)
	if err != nil || !ok {
		return nil, usageError("%s holds no Ed25519 key: make one with 'wasabisill bundle operator new'", o.keyFile)
	}
	return key, nil
}

func (o *operatorFlags) sign(b *sillbundle.Bundle, base sillid.BundleVersion) (*sillbundle.Signed, error) {
	key, err := o.key()
	if err != nil {
		return nil, err
	}
	return sillbundle.Sign(b, base, sillbundle.OperatorName(o.name), key), nil
}

func (o *operatorFlags) signWithdrawal(hash sillbundle.KeyHash) (sillbundle.Withdrawal, error) {
	key, err := o.key()
	if err != nil {
		return sillbundle.Withdrawal{}, err
	}
	return sillbundle.SignWithdrawal(hash, time.Now(), sillbundle.OperatorName(o.name), key), nil
}
