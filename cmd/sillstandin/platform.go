package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
)

func newPlatformCommand() *sillcommand.Command {
	var flags serveFlags
	cfg := sillstandplatform.Config{WeightBytes: sillstandplatform.DefaultWeightBytes}
	sub := flaggy.NewSubcommand("platform")
	sub.Description = "table, objects, orders, usage, instances and weights; POST /standin/instances and /standin/limits set it up"
	flags.add(sub)
	sub.Float64(&cfg.TableWrites, "", "table-writes", "rows written a second; 0 without bound")
	sub.Float64(&cfg.TableReads, "", "table-reads", "read calls a second; 0 without bound")
	sub.Float64(&cfg.WeightReads, "", "weight-reads", "weight files read a second; 0 without bound")
	sub.Int(&cfg.WeightBytes, "", "weight-bytes", "size of each weight file")
	sub.Bool(&cfg.CheckFencing, "", "check-fencing", "refuse orders with an old fencing number")
	sub.Duration(&cfg.OrderTime, "", "order-time", "time until an order is answered")
	sub.Duration(&cfg.StartDelay, "", "start-delay", "time until a started instance is up")
	sub.Duration(&cfg.StopDelay, "", "stop-delay", "time until a stopped instance is gone")
	sub.Duration(&cfg.InstanceLag, "", "instance-lag", "age of the listed instances")
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		cfg.Seed = flags.seed
		p := sillstandplatform.New(cfg)
		defer p.Close()
		return flags.serve(ctx, p, p.Panel)
	}}
}
