package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

const getHelp = "Write the accepted version, or an earlier one, to a file for editing."

func newGetCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("get")
	sub.Description = getHelp
	var out string
	var version uint64
	var remote remoteFlags
	sub.String(&out, "", "out", "file for the bundle, JSON")
	sub.UInt64(&version, "", "bundle-version", "version to write; the accepted one by default")
	remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		if err := required([2]string{"out", out}); err != nil {
			return err
		}
		c, err := remote.client()
		if err != nil {
			return err
		}
		v, b, err := c.Bundle(ctx, sillid.BundleVersion(version))
		if err != nil {
			return refused(err)
		}
		return writeBundle(out, v, b)
	}}
}

// bundleFileMode lets other operators read a bundle, which holds only hashes of keys.
const bundleFileMode = 0o644

func writeBundle(path string, v sillid.BundleVersion, b *sillbundle.Bundle) error {
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the bundle: %w", err)
	}
	if err := os.WriteFile(path, append(bytes.TrimSpace(data), '\n'), bundleFileMode); err != nil {
		return fmt.Errorf("write the bundle: %w", err)
	}
	fmt.Printf("Version %d is in %s.\n", v, path)
	return nil
}
