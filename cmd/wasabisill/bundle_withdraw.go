package main

import (
	"context"
	"fmt"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/silladmin"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// withdrawFlags are the flags that name the key to withdraw, by its hash or its label.
type withdrawFlags struct {
	hash         string
	organisation string
	label        string
	operator     operatorFlags
	remote       remoteFlags
}

func newWithdrawKeyCommand() *sillcommand.Command {
	sub := flaggy.NewSubcommand("withdraw-key")
	sub.Description = withdrawHelp
	var w withdrawFlags
	sub.String(&w.hash, "", "hash", "hash of the key; works while the store is down")
	sub.String(&w.organisation, "", "organisation", "organisation of the key, in place of the hash")
	sub.String(&w.label, "", "label", "label of the key in its organisation, in place of the hash")
	w.operator.attach(sub)
	w.remote.attach(sub)
	return &sillcommand.Command{Sub: sub, Run: w.run}
}

func (w *withdrawFlags) run(ctx context.Context) error {
	c, err := w.remote.client()
	if err != nil {
		return err
	}
	hash, err := w.keyHash(ctx, c)
	if err != nil {
		return err
	}
	notice, err := w.operator.signWithdrawal(hash)
	if err != nil {
		return err
	}
	recorded, err := c.Withdraw(ctx, notice)
	if err != nil {
		return refused(err)
	}
	fmt.Println("The gateway refuses the key and tells the others.")
	if !recorded {
		fmt.Println("The store does not answer; the gateways record the withdrawal when it does.")
	}
	return w.acceptWithout(ctx, c, hash)
}

func (w *withdrawFlags) keyHash(ctx context.Context, c *silladmin.Client) (sillbundle.KeyHash, error) {
	if w.hash != "" {
		return sillbundle.KeyHash(w.hash), nil
	}
	if w.organisation == "" || w.label == "" {
		return "", usageError("set --hash, or --organisation and --label")
	}
	_, b, err := c.Bundle(ctx, 0)
	if err != nil {
		return "", refused(err)
	}
	hash, found := sillbundlestore.KeyByLabel(b, sillid.OrganisationID(w.organisation), w.label)
	if !found {
		return "", usageError("organisation %q has no key %q", w.organisation, w.label)
	}
	return hash, nil
}

// acceptWithout publishes a version without the key, so that the bundle agrees with
// the withdrawal.
func (w *withdrawFlags) acceptWithout(ctx context.Context, c *silladmin.Client, hash sillbundle.KeyHash) error {
	e, err := newEditor(c, &w.operator)
	if err != nil {
		return err
	}
	accepted, err := e.WithdrawKey(ctx, hash)
	if err != nil {
		return refused(fmt.Errorf("the key is withdrawn but still in the bundle; run the same command later: %w", err))
	}
	fmt.Printf("Version %d is without the key.\n", accepted.Version)
	return nil
}
