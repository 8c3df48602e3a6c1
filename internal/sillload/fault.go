package sillload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillreport"
	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Actions of a fault step.
const (
	// ActionFaults sets the faults of a stand-in.
	ActionFaults = "faults"
	// ActionCrash crashes an engine or a service in a way that keeps its record.
	ActionCrash = "crash"
	// ActionKill, ActionFreeze, ActionContinue and ActionRestart act on a
	// process that this program started.
	ActionKill     = "kill"
	ActionFreeze   = "freeze"
	ActionContinue = "continue"
	ActionRestart  = "restart"
)

// FaultStep is one step of a fault schedule.
type FaultStep struct {
	// AtSeconds is the time from the start of the load.
	AtSeconds float64 `json:"at-seconds"`
	// Action is one of the actions.
	Action string `json:"action"`
	// Name names the stand-in or the process, as "engine-3" or "gateway-1".
	Name string `json:"name"`
	// Faults are those of ActionFaults by area; none sets all faults off.
	Faults map[string]sillstandin.Faults `json:"faults,omitempty"`
}

// FaultSchedule is a list of steps.
type FaultSchedule struct {
	Steps []FaultStep `json:"steps"`
}

// platformName is the name of the platform in fault steps.
const platformName = "platform"

// Check errs at a step that cannot be carried out on the deployment.
func (f *FaultSchedule) Check(d *Deployment) error {
	for i, s := range f.Steps {
		_, standin := d.standin(s.Name)
		switch s.Action {
		case ActionFaults, ActionCrash:
			if !standin {
				return eris.Errorf("sillload.Check: step %d: no stand-in %q", i, s.Name)
			}
		case ActionKill, ActionRestart:
			if standin {
				return eris.Errorf("sillload.Check: step %d: a killed stand-in loses the record that the audit needs: use %q", i, ActionCrash)
			}
		case ActionFreeze, ActionContinue:
		default:
			return eris.Errorf("sillload.Check: step %d: unknown action %q", i, s.Action)
		}
	}
	return nil
}

// standin returns the URL of a stand-in by name.
func (d *Deployment) standin(name string) (string, bool) {
	if name == platformName {
		return d.Platform, d.Platform != ""
	}
	if u, ok := d.Engines[sillid.TargetID(name)]; ok {
		return u, true
	}
	u, ok := d.Services[sillid.TargetID(name)]
	return u, ok
}

// faulter carries out a fault schedule.
type faulter struct {
	deployment *Deployment
	client     *http.Client
	// signal acts on a process by name.
	signal func(action, name string) error
	note   func(sillreport.FaultNote)
}

func (f *faulter) run(ctx context.Context, schedule *FaultSchedule, start time.Time) {
	steps := append([]FaultStep{}, schedule.Steps...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].AtSeconds < steps[j].AtSeconds })
	for _, s := range steps {
		at := start.Add(time.Duration(s.AtSeconds * float64(time.Second)))
		if !sleep(ctx, time.Until(at)) {
			return
		}
		n := sillreport.FaultNote{At: time.Now().UnixMilli(), Step: s.text()}
		if err := f.carryOut(ctx, s); err != nil {
			n.Error = err.Error()
		}
		f.note(n)
	}
}

func (s FaultStep) text() string {
	text := fmt.Sprintf("%.1f s: %s %s", s.AtSeconds, s.Action, s.Name)
	if s.Action != ActionFaults {
		return text
	}
	// Faults hold only numbers, texts and truth values, which always encode.
	b, _ := json.Marshal(s.Faults)
	return text + " " + string(b)
}

func (f *faulter) carryOut(ctx context.Context, s FaultStep) error {
	url, _ := f.deployment.standin(s.Name)
	switch s.Action {
	case ActionFaults:
		faults := s.Faults
		if faults == nil {
			faults = map[string]sillstandin.Faults{}
		}
		return f.post(ctx, url+"/standin/faults", faults)
	case ActionCrash:
		return f.post(ctx, url+"/standin/crash", struct{}{})
	}
	if f.signal == nil {
		return eris.Errorf("sillload.carryOut: %s was not started by this program", s.Name)
	}
	return f.signal(s.Action, s.Name)
}

func (f *faulter) post(ctx context.Context, url string, body any) error {
	b, err := json.Marshal(body)
	if err != nil {
		return eris.Wrap(err, "sillload.post")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "sillload.post")
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return eris.Wrap(err, "sillload.post")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
		return eris.Errorf("sillload.post: %s: status %d: %s", url, resp.StatusCode, text)
	}
	return nil
}
