package main

import (
	"context"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
	"github.com/wasabisill/wasabisill/internal/sillstandservice"
)

func newServiceCommand() *sillcommand.Command {
	var flags serveFlags
	cfg := sillstandservice.Config{ServiceID: "service", Slots: sillstandservice.DefaultSlots}
	sub := flaggy.NewSubcommand("service")
	sub.Description = "a booking service that checks nothing: POST /bookings, GET /availability"
	flags.add(sub)
	sub.String(&cfg.ServiceID, "", "service-id", "name of the service in its answers")
	sub.Duration(&cfg.Latency, "", "latency", "time of one call")
	sub.Int(&cfg.Slots, "", "slots", "calls that run at once")
	return &sillcommand.Command{Sub: sub, Run: func(ctx context.Context) error {
		cfg.Seed = flags.seed
		s := sillstandservice.New(cfg)
		return flags.serve(ctx, s, s.Panel)
	}}
}
