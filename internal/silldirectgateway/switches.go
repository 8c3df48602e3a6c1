package silldirectgateway

import (
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/silltarget"
)

// newSwitchHook returns a hook that logs which behaviours are switched on or off for a pool.
func newSwitchHook(log *zap.Logger) func(silltarget.SwitchChange) {
	log = log.Named("targets")
	return func(c silltarget.SwitchChange) {
		message := "Behaviour is switched on for a pool."
		if !c.On {
			message = "Behaviour is switched off for a pool."
		}
		log.Info(message, zap.String("pool", string(c.Pool)), zap.String("behaviour", string(c.Behaviour)),
			zap.String("signal", string(c.Behaviour.Signal())))
	}
}
