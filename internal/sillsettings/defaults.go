package sillsettings

import "github.com/wasabisill/wasabisill/internal/sillbundle"

// Defaults of the settings.
const (
	defaultPlatformTimeout  Seconds = 2
	defaultScorerTimeout    Seconds = 10
	defaultSubset                   = 16
	defaultBundlePoll       Seconds = 2
	defaultInstancePoll     Seconds = 5
	defaultUnconfirmedLimit Seconds = 3600
	defaultLease            Seconds = 10
	defaultUsageWindow      Seconds = 300
	defaultUsageGrace       Seconds = 60
	defaultScaleInterval    Seconds = 10
	defaultStopNotice       Seconds = 5
	defaultScaleDownHold    Seconds = 180
	defaultDrainLimit       Seconds = 120
	defaultUsageFlush       Seconds = 15
	defaultSwapTimeout      Seconds = 30
	defaultMaxConcurrent            = 32
	defaultMaxQueued                = 256
	defaultRolloutFloor             = 0.2
	defaultHeaderTimeout    Seconds = 10
	defaultBodyTimeout      Seconds = 60
	defaultStallTimeout     Seconds = 10
	defaultMaxHeaderBytes           = 64 << 10
	defaultMaxHeaderFields          = 512
	defaultMaxPipelined             = 32
)

// DefaultGateway returns the settings of a gateway with every default.
func DefaultGateway() *Gateway {
	return &Gateway{
		Platform: Platform{Timeout: defaultPlatformTimeout},
		Scorer:   Scorer{Timeout: defaultScorerTimeout},
		Control: Control{
			Subset:           defaultSubset,
			BundlePoll:       defaultBundlePoll,
			InstancePoll:     defaultInstancePoll,
			UnconfirmedLimit: defaultUnconfirmedLimit,
			Lease:            defaultLease,
			UsageWindow:      defaultUsageWindow,
			UsageGrace:       defaultUsageGrace,
			ScaleInterval:    defaultScaleInterval,
			StopNotice:       defaultStopNotice,
			ScaleDownHold:    defaultScaleDownHold,
			DrainLimit:       defaultDrainLimit,
		},
		Limits: defaultLimits(),
		Log:    Log{Level: "info"},
	}
}

// DefaultAgent returns the settings of an agent with every default.
func DefaultAgent() *Agent {
	return &Agent{
		Platform: Platform{Timeout: defaultPlatformTimeout},
		Target: Target{
			Kind:          sillbundle.ModelRoute,
			MaxConcurrent: defaultMaxConcurrent,
			MaxQueued:     defaultMaxQueued,
			RolloutFloor:  defaultRolloutFloor,
		},
		Control: AgentControl{
			UsageFlush:  defaultUsageFlush,
			UsageWindow: defaultUsageWindow,
			DrainLimit:  defaultDrainLimit,
			SwapTimeout: defaultSwapTimeout,
		},
		Limits: defaultLimits(),
		Log:    Log{Level: "info"},
	}
}

func defaultLimits() Limits {
	return Limits{
		HeaderTimeout:   defaultHeaderTimeout,
		BodyTimeout:     defaultBodyTimeout,
		StallTimeout:    defaultStallTimeout,
		MaxHeaderBytes:  defaultMaxHeaderBytes,
		MaxHeaderFields: defaultMaxHeaderFields,
		MaxPipelined:    defaultMaxPipelined,
	}
}
