// Command wasabisill is the rollout service: gateway, agent and the operator's tools.
package main

import (
	"os"

	"github.com/integrii/flaggy"

	"github.com/wasabisill/wasabisill/internal/sillcommand"
)

const mainHelp = `Rollout service for reinforcement learning: gateways answer callers and trainers, agents run beside the targets.

Exit codes: 0 done, 1 failed, 2 wrong command line or settings, 3 refused by the service.`

// exitRefused is the exit code of a command that the service refused.
const exitRefused = 3

func main() {
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	os.Exit(sillcommand.Main("wasabisill", mainHelp, []*sillcommand.Command{
		newGatewayCommand(),
		newAgentCommand(),
		newPlatformCommand(),
		newDevCommand(),
		newBundleCommand(),
		newSettingsCommand(),
		newLogCommand(),
		newRouteCommand(),
		newVersionCommand(),
	}))
}
