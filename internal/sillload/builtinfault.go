package sillload

import (
	"time"

	"github.com/wasabisill/wasabisill/internal/sillstandin"
)

// BuiltinFaults returns a built-in fault schedule by name, spread over the
// duration: "mixed" crashes and freezes each kind of process and loses answers,
// "store" takes the platform's store down, slow and unsure.
func BuiltinFaults(name string, duration time.Duration) (FaultSchedule, bool) {
	var steps []FaultStep
	switch name {
	case "mixed":
		steps = mixedFaults()
	case "store":
		steps = storeFaults()
	default:
		return FaultSchedule{}, false
	}
	// The steps are written in shares of the duration.
	for i := range steps {
		steps[i].AtSeconds *= duration.Seconds()
	}
	return FaultSchedule{Steps: steps}, true
}

func area(name string, f sillstandin.Faults) map[string]sillstandin.Faults {
	return map[string]sillstandin.Faults{name: f}
}

func mixedFaults() []FaultStep {
	return []FaultStep{
		{AtSeconds: 0.10, Action: ActionCrash, Name: "engine-2"},
		{AtSeconds: 0.15, Action: ActionFaults, Name: "engine-1", Faults: area("orders", sillstandin.Faults{FailLoad: true})},
		{AtSeconds: 0.20, Action: ActionKill, Name: "agent-engine-3"},
		{AtSeconds: 0.25, Action: ActionFreeze, Name: "gateway-2"},
		{AtSeconds: 0.30, Action: ActionFaults, Name: "engine-1"},
		{AtSeconds: 0.35, Action: ActionRestart, Name: "agent-engine-3"},
		{AtSeconds: 0.40, Action: ActionContinue, Name: "gateway-2"},
		{AtSeconds: 0.45, Action: ActionFaults, Name: "service-1", Faults: area("bookings", sillstandin.Faults{AnswerLostNext: 3})},
		{AtSeconds: 0.50, Action: ActionFaults, Name: "platform", Faults: area("table", sillstandin.Faults{Down: true})},
		{AtSeconds: 0.60, Action: ActionFaults, Name: "platform", Faults: area("usage", sillstandin.Faults{AnswerLostNext: 3})},
		{AtSeconds: 0.65, Action: ActionKill, Name: "gateway-1"},
		{AtSeconds: 0.70, Action: ActionFreeze, Name: "agent-service-2"},
		{AtSeconds: 0.75, Action: ActionRestart, Name: "gateway-1"},
		{AtSeconds: 0.80, Action: ActionContinue, Name: "agent-service-2"},
		{AtSeconds: 0.85, Action: ActionFaults, Name: "platform"},
	}
}

func storeFaults() []FaultStep {
	const slow = 1500
	return []FaultStep{
		{AtSeconds: 0.15, Action: ActionFaults, Name: "platform", Faults: area("table", sillstandin.Faults{Down: true})},
		{AtSeconds: 0.35, Action: ActionFaults, Name: "platform", Faults: area("table", sillstandin.Faults{SlowMS: slow})},
		{AtSeconds: 0.55, Action: ActionFaults, Name: "platform", Faults: area("table", sillstandin.Faults{AnswerLost: true})},
		{AtSeconds: 0.70, Action: ActionFaults, Name: "platform", Faults: area("table", sillstandin.Faults{FailShare: 0.5})},
		{AtSeconds: 0.85, Action: ActionFaults, Name: "platform"},
	}
}
