package sillsettings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"
	"net/url"
	"os"
	"strconv"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
)

// checker collects faults.
type checker struct {
	faults []Fault
}

func (c *checker) add(path, problem, remedy string) {
	c.faults = append(c.faults, Fault{Path: path, Problem: problem, Remedy: remedy})
}

func (c *checker) err() error {
	if len(c.faults) == 0 {
		return nil
	}
	return &InvalidError{Faults: c.faults}
}

// Validate returns an *InvalidError with every fault, or nil.
func (g *Gateway) Validate() error {
	c := &checker{}
	c.place(g.Place)
	c.address("listen.callers", g.Listen.Callers)
	c.address("listen.admin", g.Listen.Admin)
	c.address("listen.metrics", g.Listen.Metrics)
	c.inner(g.Inner)
	c.server("callers-tls", g.Callers)
	c.server("admin-tls", g.Admin)
	c.platform(g.Platform)
	c.scorer(g.Scorer)
	c.operators(g.Operators)
	c.credentials(g.Credentials)
	c.control(g.Control)
	c.limits(g.Limits)
	c.level(g.Log)
	return c.err()
}

// Validate returns an *InvalidError with every fault, or nil.
func (a *Agent) Validate() error {
	c := &checker{}
	c.place(a.Place)
	c.address("listen.inner", a.Listen.Inner)
	c.address("listen.metrics", a.Listen.Metrics)
	if a.Target.Kind == sillbundle.ModelRoute {
		c.address("listen.weights", a.Listen.Weights)
	}
	c.inner(a.Inner)
	c.target(a.Target)
	c.platform(a.Platform)
	c.operators(a.Operators)
	c.positive("control.usage-flush-seconds", a.Control.UsageFlush)
	c.positive("control.usage-window-seconds", a.Control.UsageWindow)
	c.positive("control.drain-limit-seconds", a.Control.DrainLimit)
	c.positive("control.swap-timeout-seconds", a.Control.SwapTimeout)
	c.limits(a.Limits)
	c.level(a.Log)
	return c.err()
}

func (c *checker) place(p Place) {
	c.text("instance-id", string(p.Instance))
	c.text("availability-zone", string(p.Zone))
}

func (c *checker) text(path, value string) {
	if value == "" {
		c.add(path, "is missing", "name it")
	}
}

func (c *checker) address(path string, a Address) {
	if _, err := netip.ParseAddrPort(string(a)); err != nil {
		c.add(path, strconv.Quote(string(a))+" is no IP literal with a port", `write it as "10.0.0.5:8080" or "[fd00::5]:8080"`)
	}
}

func (c *checker) url(path, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || (u.Path != "" && u.Path != "/") {
		c.add(path, strconv.Quote(value)+" is no address of the form http://IP:PORT", "write scheme, IP literal and port, without a path")
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		c.add(path, "the host "+strconv.Quote(u.Hostname())+" is no IP literal", "write the IP address; names are not looked up")
	}
}

func (c *checker) file(path, name string) {
	if name == "" {
		c.add(path, "is missing", "name the file")
		return
	}
	f, err := os.Open(name)
	if err != nil {
		c.add(path, err.Error(), "check the path and the permissions")
		return
	}
	_ = f.Close()
}

func (c *checker) inner(t InnerTLS) {
	c.file("inner-tls.authority-file", t.AuthorityFile)
	c.file("inner-tls.certificate-file", t.CertificateFile)
	c.file("inner-tls.key-file", t.KeyFile)
}

func (c *checker) server(path string, t ServerTLS) {
	if t == (ServerTLS{}) {
		return
	}
	c.file(path+".certificate-file", t.CertificateFile)
	c.file(path+".key-file", t.KeyFile)
}

func (c *checker) platform(p Platform) {
	c.url("platform.url", p.URL)
	c.positive("platform.timeout-seconds", p.Timeout)
}

func (c *checker) scorer(s Scorer) {
	if s.URL == "" {
		return
	}
	c.url("scorer.url", s.URL)
	c.positive("scorer.timeout-seconds", s.Timeout)
}

func (c *checker) positive(path string, s Seconds) {
	if s <= 0 {
		c.add(path, "is not above 0", "write a number of seconds above 0")
	}
}

func (c *checker) operators(list []Operator) {
	if len(list) == 0 {
		c.add("operators", "is empty", "add at least one operator; 'wasabisill bundle operator new' makes a key pair")
	}
	seen := map[string]bool{}
	for i, o := range list {
		path := "operators[" + strconv.Itoa(i) + "]"
		c.text(path+".name", o.Name)
		if seen[o.Name] {
			c.add(path+".name", "stands twice", "give each operator a name of its own")
		}
		seen[o.Name] = true
		b, err := base64.StdEncoding.DecodeString(o.PublicKey)
		if err != nil || len(b) != ed25519.PublicKeySize {
			c.add(path+".public-key", "is no Ed25519 public key in base64", "copy it from the operator's key pair")
		}
	}
}

// hashDigits is the length of a SHA-256 in hexadecimal digits.
const hashDigits = 64

func (c *checker) credentials(list []Credential) {
	for i, k := range list {
		path := "admin-credentials[" + strconv.Itoa(i) + "]"
		c.text(path+".name", k.Name)
		if len(k.Hash) != hashDigits {
			c.add(path+".hash", "is no SHA-256 in hexadecimal digits", "hash the credential; never write the credential itself")
		}
	}
}

func (c *checker) control(t Control) {
	if t.Subset < 1 {
		c.add("control.subset", "is below 1", "write at least 1")
	}
	c.positive("control.bundle-poll-seconds", t.BundlePoll)
	c.positive("control.instance-poll-seconds", t.InstancePoll)
	c.positive("control.unconfirmed-limit-seconds", t.UnconfirmedLimit)
	c.positive("control.lease-seconds", t.Lease)
	c.positive("control.usage-window-seconds", t.UsageWindow)
	c.positive("control.usage-grace-seconds", t.UsageGrace)
	c.positive("control.drain-limit-seconds", t.DrainLimit)
	if t.StopNotice < 0 {
		c.add("control.stop-notice-seconds", "is below 0", "write 0 for no notice")
	}
	c.positive("control.scale-down-hold-seconds", t.ScaleDownHold)
	if t.ScaleInterval < 0 {
		c.add("control.scale-interval-seconds", "is below 0", "write 0 to turn the scaler off")
	}
}

// maxFloor is the largest share that one class of work can keep for itself.
const maxFloor = 0.5

func (c *checker) target(t Target) {
	c.text("target.id", string(t.ID))
	c.text("target.pool", string(t.Pool))
	c.url("target.url", t.URL)
	if t.Kind != sillbundle.ModelRoute && t.Kind != sillbundle.ServiceRoute {
		c.add("target.kind", strconv.Quote(string(t.Kind))+" is not known", `write "model" or "service"`)
	}
	if t.MaxConcurrent < 1 {
		c.add("target.max-concurrent", "is below 1", "write the requests that the target runs at once")
	}
	if t.MaxQueued < 1 {
		c.add("target.max-queued", "is below 1", "write the requests that may wait")
	}
	if t.RolloutFloor < 0 || t.RolloutFloor > maxFloor {
		c.add("target.rollout-floor", "is not from 0 to 0.5", "write a share")
	}
}

func (c *checker) level(l Log) {
	switch l.Level {
	case "debug", "info", "warn", "error":
	default:
		c.add("log.level", strconv.Quote(l.Level)+" is not known", "write debug, info, warn or error")
	}
}

// Least values of limits: below them, clients that behave are refused.
const (
	minMemoryMB     = 64
	minDescriptors  = 128
	minHeaderBytes  = 16 << 10
	minHeaderFields = 128
	minPipelined    = 8
	minTimeout      = Seconds(3)
	minBodyTimeout  = Seconds(10)
)

func (c *checker) limits(l Limits) {
	c.zeroOrAtLeast("limits.memory-mb", l.MemoryMB, minMemoryMB)
	c.zeroOrAtLeast("limits.max-descriptors", int64(l.MaxDescriptors), minDescriptors)
	c.atLeast("limits.header-timeout-seconds", float64(l.HeaderTimeout), float64(minTimeout))
	c.atLeast("limits.body-timeout-seconds", float64(l.BodyTimeout), float64(minBodyTimeout))
	c.atLeast("limits.stall-timeout-seconds", float64(l.StallTimeout), float64(minTimeout))
	c.atLeast("limits.max-header-bytes", float64(l.MaxHeaderBytes), minHeaderBytes)
	c.atLeast("limits.max-header-fields", float64(l.MaxHeaderFields), minHeaderFields)
	c.atLeast("limits.max-pipelined", float64(l.MaxPipelined), minPipelined)
}

func (c *checker) zeroOrAtLeast(path string, value, least int64) {
	if value != 0 {
		c.atLeast(path, float64(value), float64(least))
	}
}

func (c *checker) atLeast(path string, value, least float64) {
	if !(value >= least) {
		c.add(path, "is below "+strconv.FormatFloat(least, 'g', -1, 64), "raise it: clients that behave are refused below")
	}
}
