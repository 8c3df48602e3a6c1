package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

func newEngineCommand() *sillcommand.Command {
	var flags serveFlags
	cfg := sillstandengine.Config{
		Slots:           sillstandengine.DefaultSlots,
		TokensPerSecond: sillstandengine.DefaultTokensPerSecond,
		PrefillPerStep:  sillstandengine.DefaultPrefillPerStep,
		CacheBlocks:     sillstandengine.DefaultCacheBlocks,
	}
	var model string
	var version uint64 = 1
	sub := flaggy.NewSubcommand("engine")
	sub.Description = "a model engine with continuous batching and tokens that can be checked"
	flags.add(sub)
	sub.String(&model, "", "model", "model served at the start; empty serves any")
	sub.UInt64(&version, "", "weight-version", "weight version at the start")
	sub.Int(&cfg.Slots, "", "slots", "generations that run at once")
	sub.Float64(&cfg.TokensPerSecond, "", "tokens-per-second", "speed of a generation that runs alone")
	sub.Float64(&cfg.Slowdown, "", "slowdown", "share by which each further generation lengthens a step")
	sub.Int(&cfg.PrefillPerStep, "", "prefill-per-step", "prompt tokens read in one step")
	sub.Int(&cfg.CacheBlocks, "", "cache-blocks", "blocks of 16 tokens in the prefix cache")
	sub.Duration(&cfg.LoadLag, "", "load-lag", "age of the reported load")
	sub.Duration(&cfg.EventLag, "", "event-lag", "delay of cache events")
	sub.Duration(&cfg.SwapTime, "", "swap-time", "duration of a weight load")
	sub.Bool(&cfg.CheckFencing, "", "check-fencing", "refuse orders with an old fencing number")
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		cfg.Seed = flags.seed
		cfg.Model = sillid.ModelID(model)
		cfg.Version = sillid.WeightVersion(version)
		e := sillstandengine.New(cfg)
		defer e.Close()
		return flags.serve(ctx, e, e.Panel)
	}}
}
