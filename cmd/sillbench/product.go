package main

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillload"
	"github.com/wasabisill/wasabisill/internal/sillloadprocess"
	"github.com/wasabisill/wasabisill/internal/sillloopback"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Settings of the product in a run. The times are shorter than in operation, so that
// a run of half a minute spans several usage windows and leases.
const (
	usageWindow         sillsettings.Seconds = 5
	usageGrace          sillsettings.Seconds = 9
	usageFlush          sillsettings.Seconds = 1
	leaseDuration       sillsettings.Seconds = 3
	bundlePoll          sillsettings.Seconds = 1
	instancePoll        sillsettings.Seconds = 1
	drainLimit          sillsettings.Seconds = 5
	usageSettleSeconds                       = 35
	certificateLifetime                      = 24 * time.Hour
	operatorName                             = "bench"
)

// product holds the settings of the product's processes.
type product struct {
	deployed *deployed
	program  string
	scenario *sillload.Scenario
	tls      *silltls.Authority
	operator ed25519.PrivateKey
	commands []sillloadprocess.Command
	// instances are the agents as the platform lists them.
	instances []sillstandplatform.Instance
}

// newProduct writes the settings of the scenario's gateways and of an agent for each
// target.
func newProduct(d *deployed, program string, s *sillload.Scenario) (*product, error) {
	authority, err := silltls.NewAuthority(time.Now(), certificateLifetime)
	if err != nil {
		return nil, err
	}
	_, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "newProduct")
	}
	p := &product{deployed: d, program: program, scenario: s, tls: authority, operator: private}
	for i := range s.Model.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		if err := p.addAgent(i, name, s.Model.Pool, sillbundle.ModelRoute, s.Model.Slots); err != nil {
			return nil, err
		}
	}
	for i := range s.Service.Services {
		name := fmt.Sprintf("service-%d", i+1)
		if err := p.addAgent(i, name, s.Service.Pool, sillbundle.ServiceRoute, s.Service.Slots); err != nil {
			return nil, err
		}
	}
	for i := range s.Gateways {
		if err := p.addGateway(i); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// start publishes the bundle, sets the platform's list of instances and starts the
// processes.
func (p *product) start(ctx context.Context) error {
	d := p.deployed
	if err := p.publish(ctx); err != nil {
		return err
	}
	if err := d.setInstances(ctx, p.instances); err != nil {
		return err
	}
	for _, c := range p.commands {
		if _, err := d.processes.Start(ctx, c); err != nil {
			return err
		}
	}
	d.deployment.UsageSettleSeconds = usageSettleSeconds
	return d.awaitReady(ctx)
}

func (p *product) zone(i int) sillid.ZoneID {
	return p.scenario.Zones[i%len(p.scenario.Zones)]
}

func (p *product) platform() sillsettings.Platform {
	const timeout sillsettings.Seconds = 2
	return sillsettings.Platform{URL: p.deployed.deployment.Platform, Timeout: timeout}
}

func (p *product) operators() []sillsettings.Operator {
	public := p.operator.Public().(ed25519.PublicKey)
	return []sillsettings.Operator{{Name: operatorName, PublicKey: base64.StdEncoding.EncodeToString(public)}}
}

func (p *product) addAgent(i int, target string, pool sillid.PoolID, kind sillbundle.RouteKind, slots int) error {
	name := "agent-" + target
	urls := p.deployed.deployment
	url := urls.Engines[sillid.TargetID(target)]
	if kind == sillbundle.ServiceRoute {
		url = urls.Services[sillid.TargetID(target)]
	}
	addresses, err := newAddresses()
	if err != nil {
		return err
	}
	s := sillsettings.DefaultAgent()
	s.Place = sillsettings.Place{Instance: sillid.InstanceID("instance-" + target), Zone: p.zone(i)}
	s.Listen = sillsettings.AgentListen{Inner: addresses[0], Metrics: addresses[1], Weights: addresses[2]}
	s.Target.ID = sillid.TargetID(target)
	s.Target.Pool = pool
	s.Target.Kind = kind
	s.Target.URL = url
	s.Target.MaxConcurrent = slots
	s.Platform = p.platform()
	s.Operators = p.operators()
	s.Control.UsageFlush = usageFlush
	s.Control.UsageWindow = usageWindow
	s.Control.DrainLimit = drainLimit
	if s.Inner, err = p.issue(name, silltls.AgentRole); err != nil {
		return err
	}
	p.instances = append(p.instances, sillstandplatform.Instance{
		InstanceID: s.Instance, TargetID: s.Target.ID, Pool: pool, Zone: s.Zone,
		AgentAddress: string(addresses[0]), State: sillstandplatform.StateLive,
	})
	return p.addCommand(name, "agent", s, addresses[1])
}

func (p *product) addGateway(i int) error {
	name := fmt.Sprintf("gateway-%d", i+1)
	addresses, err := newAddresses()
	if err != nil {
		return err
	}
	s := sillsettings.DefaultGateway()
	s.Place = sillsettings.Place{Instance: sillid.InstanceID("instance-" + name), Zone: p.zone(i)}
	s.Listen = sillsettings.GatewayListen{Callers: addresses[0], Metrics: addresses[1], Admin: addresses[2]}
	s.Platform = p.platform()
	s.Operators = p.operators()
	s.Credentials = []sillsettings.Credential{{Name: operatorName, Hash: sillbundle.HashKey(sillid.Fresh("credential"))}}
	s.Scorer.URL = p.deployed.scorer
	s.Control.BundlePoll = bundlePoll
	s.Control.InstancePoll = instancePoll
	s.Control.Lease = leaseDuration
	s.Control.UsageWindow = usageWindow
	s.Control.UsageGrace = usageGrace
	s.Control.DrainLimit = drainLimit
	// The scenario fixes the number of targets.
	s.Control.ScaleInterval = 0
	if s.Inner, err = p.issue(name, silltls.GatewayRole); err != nil {
		return err
	}
	d := p.deployed
	d.deployment.Gateways = append(d.deployment.Gateways, "http://"+string(addresses[0]))
	return p.addCommand(name, "gateway", s, addresses[1])
}

func (p *product) addCommand(name, subcommand string, settings any, metrics sillsettings.Address) error {
	file := filepath.Join(p.deployed.privateDir, name+".json")
	b, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return eris.Wrap(err, "addCommand")
	}
	if err := os.WriteFile(file, b, privateFileMode); err != nil {
		return eris.Wrap(err, "addCommand")
	}
	p.deployed.readyURLs[name] = "http://" + string(metrics) + "/readyz"
	p.commands = append(p.commands, sillloadprocess.Command{
		Name: name, Path: p.program, Args: []string{subcommand, "--settings", file}, Ready: true,
	})
	return nil
}

// privateFileMode lets only the owner read a file.
const privateFileMode = 0o600

// issue issues the certificate of a process and writes its files.
func (p *product) issue(name string, role silltls.Role) (sillsettings.InnerTLS, error) {
	m, err := p.tls.Issue(role, time.Now(), certificateLifetime)
	if err != nil {
		return sillsettings.InnerTLS{}, err
	}
	base := filepath.Join(p.deployed.privateDir, name)
	files := sillsettings.InnerTLS{
		AuthorityFile: base + ".authority.pem", CertificateFile: base + ".certificate.pem", KeyFile: base + ".key.pem",
	}
	for path, content := range map[string][]byte{
		files.AuthorityFile: m.Authority, files.CertificateFile: m.Certificate, files.KeyFile: m.Key,
	} {
		if err := os.WriteFile(path, content, privateFileMode); err != nil {
			return sillsettings.InnerTLS{}, eris.Wrap(err, "issue")
		}
	}
	return files, nil
}

// addressesPerProcess is the number of addresses that a process listens on.
const addressesPerProcess = 3

// newAddresses returns loopback addresses that nothing else uses.
func newAddresses() ([addressesPerProcess]sillsettings.Address, error) {
	var found [addressesPerProcess]sillsettings.Address
	for i := range found {
		address, err := sillloopback.NewAddress()
		if err != nil {
			return found, err
		}
		found[i] = sillsettings.Address(address)
	}
	return found, nil
}
