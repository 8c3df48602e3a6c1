package silldev

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillapp"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/internal/sillstandin"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
	"github.com/wasabisill/wasabisill/internal/sillstandservice"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// readyLine receives the line that a stand-in prints when it serves.
type readyLine chan []byte

// Write hands the line over.
func (r readyLine) Write(b []byte) (int, error) {
	r <- append([]byte(nil), b...)
	return len(b), nil
}

// serve runs a stand-in on loopback and returns its address.
func (d *Deployment) serve(h http.Handler, panel *sillstandin.Panel) (string, error) {
	line := make(readyLine, 1)
	failed := make(chan error, 1)
	d.group.Go(func(ctx context.Context) {
		failed <- sillstandin.Serve(ctx, sillstandin.ServeConfig{Listen: loopback, Handler: h, Panel: panel, Ready: line})
	})
	select {
	case err := <-failed:
		return "", err
	case b := <-line:
		var ready struct {
			URL string `json:"url"`
		}
		err := json.Unmarshal(b, &ready)
		return ready.URL, eris.Wrap(err, "silldev.serve")
	}
}

func (d *Deployment) startAgents(ctx context.Context) error {
	var instances []sillstandplatform.Instance
	for i := range d.cfg.Engines {
		url, err := d.startEngine()
		if err != nil {
			return err
		}
		in, err := d.startAgent(ctx, i, url, modelPool, sillbundle.ModelRoute)
		if err != nil {
			return err
		}
		instances = append(instances, in)
	}
	for i := range d.cfg.Services {
		url, err := d.startService(i)
		if err != nil {
			return err
		}
		in, err := d.startAgent(ctx, d.cfg.Engines+i, url, servicePool, sillbundle.ServiceRoute)
		if err != nil {
			return err
		}
		instances = append(instances, in)
	}
	d.Platform.SetInstances(instances, true)
	return nil
}

func (d *Deployment) startEngine() (string, error) {
	cfg := d.cfg.Engine
	cfg.Model = Model
	cfg.Version = max(cfg.Version, 1)
	e := sillstandengine.New(cfg)
	d.Engines = append(d.Engines, e)
	return d.serve(e, e.Panel)
}

func (d *Deployment) startService(i int) (string, error) {
	s := sillstandservice.New(sillstandservice.Config{ServiceID: fmt.Sprintf("slot-desk-%d", i+1)})
	d.Services = append(d.Services, s)
	return d.serve(s, s.Panel)
}

// startAgent runs the agent of a target and returns its entry of the instance list.
func (d *Deployment) startAgent(ctx context.Context, i int, url string, pool sillid.PoolID, kind sillbundle.RouteKind) (sillstandplatform.Instance, error) {
	name := fmt.Sprintf("%s-%d", pool, i+1)
	s, err := d.agentSettings(name, url, pool, kind)
	if err != nil {
		return sillstandplatform.Instance{}, err
	}
	a := sillapp.NewAgent(s, d.cfg.Log.With())
	if err := a.Start(ctx); err != nil {
		return sillstandplatform.Instance{}, err
	}
	d.Agents = append(d.Agents, a)
	return sillstandplatform.Instance{
		InstanceID:   s.Instance,
		TargetID:     s.Target.ID,
		Pool:         pool,
		Zone:         Zone,
		AgentAddress: a.Addresses.Inner,
		State:        sillstandplatform.StateLive,
	}, nil
}

func (d *Deployment) agentSettings(name, url string, pool sillid.PoolID, kind sillbundle.RouteKind) (*sillsettings.Agent, error) {
	files, err := d.writeTLS(name, silltls.AgentRole)
	if err != nil {
		return nil, err
	}
	s := sillsettings.DefaultAgent()
	s.Place = sillsettings.Place{Instance: sillid.InstanceID("instance-" + name), Zone: Zone}
	s.Listen = sillsettings.AgentListen{Inner: loopback, Metrics: loopback, Weights: loopback}
	s.Inner = files
	s.Target.ID = sillid.TargetID(name)
	s.Target.Pool = pool
	s.Target.Kind = kind
	s.Target.URL = url
	s.Target.MaxConcurrent = targetConcurrent
	s.Platform.URL = d.PlatformURL
	s.Operators = d.operators()
	if d.cfg.TuneAgent != nil {
		d.cfg.TuneAgent(s)
	}
	return s, s.Validate()
}

func (d *Deployment) startGateway(ctx context.Context) error {
	s, err := d.gatewaySettings()
	if err != nil {
		return err
	}
	d.Gateway = sillapp.NewGateway(s, d.cfg.Log)
	return d.Gateway.Start(ctx)
}

func (d *Deployment) gatewaySettings() (*sillsettings.Gateway, error) {
	files, err := d.writeTLS("gateway", silltls.GatewayRole)
	if err != nil {
		return nil, err
	}
	d.AdminCredential = sillid.Fresh("admin")
	s := sillsettings.DefaultGateway()
	s.Place = sillsettings.Place{Instance: "instance-gateway", Zone: Zone}
	s.Listen = sillsettings.GatewayListen{
		Callers: orFree(d.cfg.Listen.Callers),
		Admin:   orFree(d.cfg.Listen.Admin),
		Metrics: orFree(d.cfg.Listen.Metrics),
	}
	s.Inner = files
	s.Platform.URL = d.PlatformURL
	s.Scorer.URL = d.scorerURL
	s.Control.StopNotice = 0
	s.Operators = d.operators()
	s.Credentials = []sillsettings.Credential{{Name: string(Operator), Hash: sillbundle.HashKey(d.AdminCredential)}}
	if d.cfg.Tune != nil {
		d.cfg.Tune(s)
	}
	return s, s.Validate()
}

func orFree(a sillsettings.Address) sillsettings.Address {
	if a == "" {
		return loopback
	}
	return a
}

// awaitReady waits until both routes serve.
func (d *Deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		if d.serves(ctx) {
			return nil
		}
		select {
		case <-ctx.Done():
			return eris.New("silldev.awaitReady: the deployment did not serve in time")
		case <-time.After(readyPoll):
		}
	}
}

// readyPoll is the time between two looks at the gateway's readiness.
const readyPoll = 50 * time.Millisecond

func (d *Deployment) serves(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Gateway.Addresses.Metrics+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && d.Gateway.Serving(modelPool, d.cfg.Engines) && d.Gateway.Serving(servicePool, d.cfg.Services)
}
