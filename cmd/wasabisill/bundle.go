package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const (
	bundleHelp   = "Check, sign, roll out and roll back the bundle of organisations, keys, routes, models, pools and availability zones."
	checkHelp    = "Check a bundle and print every fault with its remedy."
	diffHelp     = "Print what a bundle changes against the accepted version, or against another file."
	signHelp     = "Sign a bundle as the successor of a version."
	rollOutHelp  = "Submit a signed bundle. The same file may be submitted again: it is accepted once."
	rollBackHelp = "Accept the content of an earlier version as a new version."
	statusHelp   = "Print the accepted version and the version in force in each process."
	historyHelp  = "Print the last accepted versions."
	withdrawHelp = "Withdraw a key: every gateway refuses it within seconds, also while the store is down; then accept a version without it."
	keyHelp      = "Create keys for organisations."
	keyNewHelp   = "Print a new key for an organisation, and its hash for the bundle."
	operatorHelp = "Create keys for operators."
	opNewHelp    = "Write a new Ed25519 private key to a file and print the public key for the settings."
)

func newBundleCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("bundle")
	sub.Description = bundleHelp
	return &sillcommand.Command{Sub: sub, Children: []*sillcommand.Command{
		newCheckCommand(),
		newGetCommand(),
		newDiffCommand(),
		newSignCommand(),
		newRollOutCommand(),
		newRollBackCommand(),
		newStatusCommand(),
		newHistoryCommand(),
		newWithdrawKeyCommand(),
		newKeyCommand(),
		newOperatorCommand(),
	}}
}

// usageError returns an error with the exit code of a wrong command line.
func usageError(format string, args ...any) error {
	return &sillcommand.ExitError{Code: sillcommand.ExitUsage, Err: fmt.Errorf(format, args...)}
}

// required returns an error for the first flag without a value. The flags are pairs
// of name and value.
func required(flags ...[2]string) error {
	for _, f := range flags {
		if f[1] == "" {
			return usageError("set --%s", f[0])
		}
	}
	return nil
}

func readBundle(path string) (*sillbundle.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError("read the bundle: %w", err)
	}
	b, err := sillbundle.Decode(data)
	if err != nil {
		return nil, usageError("%s: %w", path, err)
	}
	return b, nil
}

// readValidBundle reads a bundle and returns an error for an invalid one.
func readValidBundle(path string) (*sillbundle.Bundle, error) {
	b, err := readBundle(path)
	if err != nil {
		return nil, err
	}
	if err := b.Validate(); err != nil {
		return nil, &sillcommand.ExitError{Code: exitRefused, Err: err}
	}
	return b, nil
}

func newCheckCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("check")
	sub.Description = checkHelp
	var file string
	sub.String(&file, "", "bundle", "file of the bundle, JSON")
	return &sillcommand.Command{Sub: sub, Run: func(context.Context) error {
		if err := required([2]string{"bundle", file}); err != nil {
			return err
		}
		if _, err := readValidBundle(file); err != nil {
			return err
		}
		fmt.Println("The bundle is valid.")
		return nil
	}}
}

func newDiffCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("diff")
	sub.Description = diffHelp
	var file, against string
	var asJSON bool
	var remote remoteFlags
	sub.String(&file, "", "bundle", "file of the bundle, JSON")
	sub.String(&against, "", "against", "file of the bundle to compare with, in place of the accepted version")
	sub.Bool(&asJSON, "", "json", "print the changes as JSON")
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		if err := required([2]string{"bundle", file}); err != nil {
			return err
		}
		to, err := readBundle(file)
		if err != nil {
			return err
		}
		from, err := remote.bundleOrFile(ctx, against)
		if err != nil {
			return err
		}
		return printChanges(sillbundle.Diff(from, to), asJSON)
	}}
}

func printChanges(changes []sillbundle.Change, asJSON bool) error {
	if asJSON {
		return printJSON(changes)
	}
	fmt.Print(sillbundle.FormatDiff(changes))
	return nil
}

func newSignCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("sign")
	sub.Description = signHelp
	var file, out string
	base := int64(-1)
	var operator operatorFlags
	var remote remoteFlags
	sub.String(&file, "", "bundle", "file of the bundle, JSON")
	sub.String(&out, "", "out", "file for the signed bundle")
	sub.Int64(&base, "", "base-version", "version that the bundle replaces, 0 for the first; the accepted one by default")
	operator.attach(sub)
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		if err := required([2]string{"bundle", file}, [2]string{"out", out}); err != nil {
			return err
		}
		b, err := readValidBundle(file)
		if err != nil {
			return err
		}
		version, err := remote.baseVersion(ctx, base)
		if err != nil {
			return err
		}
		signed, err := operator.sign(b, version)
		if err != nil {
			return err
		}
		return writeSigned(out, signed)
	}}
}

// signedFileMode lets other operators read a signed bundle.
const signedFileMode = 0o644

func writeSigned(path string, signed *sillbundle.Signed) error {
	data, err := json.Marshal(signed)
	if err != nil {
		return fmt.Errorf("encode the signed bundle: %w", err)
	}
	if err := os.WriteFile(path, append(data, '\n'), signedFileMode); err != nil {
		return fmt.Errorf("write the signed bundle: %w", err)
	}
	fmt.Printf("Signed off for version %d.\n", signed.Base+1)
	return nil
}

// baseVersion returns the version from the flag, or the accepted one if it is not set.
func (r *remoteFlags) baseVersion(ctx context.Context, flag int64) (sillid.BundleVersion, error) {
	if flag >= 0 {
		return sillid.BundleVersion(flag), nil
	}
	c, err := r.client()
	if err != nil {
		return 0, err
	}
	version, _, err := c.Bundle(ctx, 0)
	return version, refused(err)
}
