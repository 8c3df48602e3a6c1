// Package silldev runs a whole deployment in one process on loopback: a
// gateway, agents, and stand-ins of the platform, the engines, the services and
// the scorer. It is for trying the program and for tests.
package silldev

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/wasabisill/wasabisill/internal/sillapp"
	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/internal/sillbundlestore"
	"github.com/wasabisill/wasabisill/internal/sillgroup"
	"github.com/wasabisill/wasabisill/internal/sillobject"
	"github.com/wasabisill/wasabisill/internal/sillsettings"
	"github.com/wasabisill/wasabisill/internal/sillstandengine"
	"github.com/wasabisill/wasabisill/internal/sillstandplatform"
	"github.com/wasabisill/wasabisill/internal/sillstandscorer"
	"github.com/wasabisill/wasabisill/internal/sillstandservice"
	"github.com/wasabisill/wasabisill/internal/silltable"
	"github.com/wasabisill/wasabisill/internal/silltls"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Names of the deployment's parts.
const (
	Model        sillid.ModelID = "cue-lm"
	modelPool    sillid.PoolID  = "cue-lm"
	servicePool  sillid.PoolID  = "slot-desk"
	ModelRoute                  = "/cue-lm"
	ServiceRoute                = "/slot-desk"
	// Trainer is the trainer of the deployment, of the first organisation.
	Trainer sillid.TrainerID = "cue-trainer"
	// Operator signs the deployment's bundle.
	Operator sillbundle.OperatorName = "dev"
)

const (
	// certificateLife is the time for which the deployment's certificates hold.
	certificateLife = 30 * 24 * time.Hour
	// callTimeout bounds a call of the platform stand-in.
	callTimeout = 2 * time.Second
	// readyLimit bounds the wait for the deployment to serve.
	readyLimit = 20 * time.Second
	loopback   = "127.0.0.1:0"
)

// Config holds the size of a deployment.
type Config struct {
	// Engines and Services are the numbers of targets of each kind.
	Engines  int
	Services int
	// Listen are the gateway's addresses; empty ones get a free port.
	Listen sillsettings.GatewayListen
	// Engine and Platform configure the stand-ins.
	Engine   sillstandengine.Config
	Platform sillstandplatform.Config
	// Tune changes the settings of the gateway; it may be nil.
	Tune func(s *sillsettings.Gateway)
	// TuneAgent changes the settings of the agents; it may be nil.
	TuneAgent func(s *sillsettings.Agent)
	Log       *zap.Logger
}

// Deployment is a running deployment.
type Deployment struct {
	Gateway *sillapp.Gateway
	Agents  []*sillapp.Agent
	// Keys holds a key for each organisation.
	Keys map[sillid.OrganisationID]string
	// AdminCredential is the operator's credential for the administration API.
	AdminCredential string
	// OperatorKey signs bundles.
	OperatorKey ed25519.PrivateKey
	// Dir holds the certificates and settings files.
	Dir string

	Platform    *sillstandplatform.Platform
	PlatformURL string
	Engines     []*sillstandengine.Engine
	Services    []*sillstandservice.Service
	Scorer      *sillstandscorer.Scorer
	// Publisher accepts bundles into the platform stand-in.
	Publisher *sillbundlestore.Publisher

	cfg       Config
	group     *sillgroup.Group
	authority *silltls.Authority
	scorerURL string
}

// Start runs a deployment and waits until it serves.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "wasabisill-dev-")
	if err != nil {
		return nil, eris.Wrap(err, "silldev.Start")
	}
	d := &Deployment{
		Dir:   dir,
		Keys:  make(map[sillid.OrganisationID]string),
		cfg:   cfg,
		group: sillgroup.New(context.WithoutCancel(ctx)),
	}
	for _, step := range []func(context.Context) error{
		d.startPlatform,
		d.rollOut,
		d.startAgents,
		d.startGateway,
		d.awaitReady,
	} {
		if err := step(ctx); err != nil {
			d.Stop()
			return nil, err
		}
	}
	return d, nil
}

// Stop ends the deployment and removes its files.
func (d *Deployment) Stop() {
	if d.Gateway != nil {
		_ = d.Gateway.Stop()
	}
	for _, a := range d.Agents {
		_ = a.Stop()
	}
	for _, e := range d.Engines {
		e.Close()
	}
	d.group.Stop()
	_ = os.RemoveAll(d.Dir)
}

func (d *Deployment) startPlatform(context.Context) error {
	authority, err := silltls.NewAuthority(time.Now(), certificateLife)
	if err != nil {
		return err
	}
	d.authority = authority
	d.Platform = sillstandplatform.New(d.cfg.Platform)
	if d.PlatformURL, err = d.serve(d.Platform, d.Platform.Panel); err != nil {
		return err
	}
	d.Scorer = sillstandscorer.New(sillstandscorer.Config{})
	d.scorerURL, err = d.serve(d.Scorer, d.Scorer.Panel)
	return err
}

// rollOut has the deployment's bundle accepted.
func (d *Deployment) rollOut(ctx context.Context) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return eris.Wrap(err, "silldev.rollOut")
	}
	d.OperatorKey = private
	d.Publisher = sillbundlestore.NewPublisher(sillbundlestore.PublisherConfig{
		Table:     silltable.Dial(silltable.Config{BaseURL: d.PlatformURL, Timeout: callTimeout}),
		Objects:   sillobject.Dial(sillobject.Config{BaseURL: d.PlatformURL, Timeout: callTimeout}),
		Operators: sillbundle.Operators{Operator: public},
		Now:       time.Now,
	})
	signed := sillbundle.Sign(d.bundle(), 0, Operator, private)
	_, err = d.Publisher.Accept(ctx, signed)
	return err
}

// writeTLS issues a certificate for a role and returns its files.
func (d *Deployment) writeTLS(name string, role silltls.Role) (sillsettings.InnerTLS, error) {
	m, err := d.authority.Issue(role, time.Now(), certificateLife)
	if err != nil {
		return sillsettings.InnerTLS{}, err
	}
	files := sillsettings.InnerTLS{
		AuthorityFile:   filepath.Join(d.Dir, name+".authority.pem"),
		CertificateFile: filepath.Join(d.Dir, name+".certificate.pem"),
		KeyFile:         filepath.Join(d.Dir, name+".key.pem"),
	}
	for file, content := range map[string][]byte{
		files.AuthorityFile:   m.Authority,
		files.CertificateFile: m.Certificate,
		files.KeyFile:         m.Key,
	} {
		if err := os.WriteFile(file, content, privateFile); err != nil {
			return sillsettings.InnerTLS{}, eris.Wrap(err, "silldev.writeTLS")
		}
	}
	return files, nil
}

// privateFile lets nobody else read a file.
const privateFile = 0o600

func (d *Deployment) operators() []sillsettings.Operator {
	public := d.OperatorKey.Public().(ed25519.PublicKey)
	return []sillsettings.Operator{{Name: string(Operator), PublicKey: base64.StdEncoding.EncodeToString(public)}}
}
