package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillstandscorer"
)

func newScorerCommand() *sillcommand.Command {
	var flags serveFlags
	sub := flaggy.NewSubcommand("scorer")
	sub.Description = "scores samples: POST /score"
	flags.add(sub)
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		s := sillstandscorer.New(sillstandscorer.Config{Seed: flags.seed})
		return flags.serve(ctx, s, s.Panel)
	}}
}
