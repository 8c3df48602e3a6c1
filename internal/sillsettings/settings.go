// Package sillsettings reads and checks the settings files of the processes.
// Every fault of a file is reported at once, with its path and remedy.
package sillsettings

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wasabisill/wasabisill/internal/sillbundle"
	"github.com/wasabisill/wasabisill/pkg/sillid"
)

// Seconds is a time span in a settings file, in seconds.
type Seconds float64

// Duration returns the span.
func (s Seconds) Duration() time.Duration {
	return time.Duration(float64(s) * float64(time.Second))
}

// Address is an IP literal with a port.
type Address string

// Place tells where a process runs.
type Place struct {
	// Instance names the machine.
	Instance sillid.InstanceID `json:"instance-id"`
	Zone     sillid.ZoneID     `json:"availability-zone"`
}

// InnerTLS names the files for the inner protocol, in PEM.
type InnerTLS struct {
	AuthorityFile   string `json:"authority-file"`
	CertificateFile string `json:"certificate-file"`
	KeyFile         string `json:"key-file"`
}

// ServerTLS names the files of a public listener. Both are empty for plain HTTP.
type ServerTLS struct {
	CertificateFile string `json:"certificate-file,omitempty"`
	KeyFile         string `json:"key-file,omitempty"`
}

// Platform tells how to reach the platform.
type Platform struct {
	// URL is an http or https address with an IP literal and no path.
	URL string `json:"url"`
	// Timeout bounds each call, in seconds.
	Timeout Seconds `json:"timeout-seconds"`
}

// Operator is a person whose signature on a bundle counts.
type Operator struct {
	Name string `json:"name"`
	// PublicKey is an Ed25519 key in base64.
	PublicKey string `json:"public-key"`
}

// Credential lets an operator use the administration API.
type Credential struct {
	Name string `json:"name"`
	// Hash is the SHA-256 of the credential in hexadecimal digits.
	Hash sillbundle.KeyHash `json:"hash"`
}

// Log holds the settings of the log.
type Log struct {
	// Level is one of debug, info, warn and error.
	Level string `json:"level"`
}

// Gateway holds the settings of a gateway.
type Gateway struct {
	Place
	Listen      GatewayListen `json:"listen"`
	Inner       InnerTLS      `json:"inner-tls"`
	Callers     ServerTLS     `json:"callers-tls"`
	Admin       ServerTLS     `json:"admin-tls"`
	Platform    Platform      `json:"platform"`
	Scorer      Scorer        `json:"scorer"`
	Operators   []Operator    `json:"operators"`
	Credentials []Credential  `json:"admin-credentials"`
	Control     Control       `json:"control"`
	Limits      Limits        `json:"limits"`
	Log         Log           `json:"log"`
}

// GatewayListen holds the addresses of a gateway.
type GatewayListen struct {
	Callers Address `json:"callers"`
	Admin   Address `json:"admin"`
	Metrics Address `json:"metrics"`
}

// Scorer tells how to reach the scorer of samples; the URL is empty if the
// gateway serves no trainers.
type Scorer struct {
	URL     string  `json:"url,omitempty"`
	Timeout Seconds `json:"timeout-seconds"`
}

// Control holds the settings of the control tasks.
type Control struct {
	// Subset is the number of agents that the gateway connects to, shared by the pools.
	Subset int `json:"subset"`
	// BundlePoll is the time between two reads of the bundle's head row.
	BundlePoll Seconds `json:"bundle-poll-seconds"`
	// InstancePoll is the time between two reads of the instance list.
	InstancePoll Seconds `json:"instance-poll-seconds"`
	// UnconfirmedLimit is the time without confirmation of the bundle after
	// which keys are refused.
	UnconfirmedLimit Seconds `json:"unconfirmed-limit-seconds"`
	// Lease is the term of the control tasks' leases.
	Lease Seconds `json:"lease-seconds"`
	// UsageWindow is the length of a usage window.
	UsageWindow Seconds `json:"usage-window-seconds"`
	// UsageGrace is the time that figures of dead agents are waited for.
	UsageGrace Seconds `json:"usage-grace-seconds"`
	// ScaleInterval is the time between two decisions of the scaler; 0 turns it off.
	ScaleInterval Seconds `json:"scale-interval-seconds"`
	// ScaleDownHold is the time for which fewer targets must suffice before one is stopped.
	ScaleDownHold Seconds `json:"scale-down-hold-seconds"`
	// StopNotice is the time at a stop for which the gateway still takes
	// requests and tells the balancer that it is not ready.
	StopNotice Seconds `json:"stop-notice-seconds"`
	// DrainLimit bounds the wait for running requests at a stop.
	DrainLimit Seconds `json:"drain-limit-seconds"`
}

// Limits bound what the clients of a process may take of it.
type Limits struct {
	// MemoryMB is the memory of the process; 0 if the environment limits it.
	MemoryMB int64 `json:"memory-mb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 for the limit
	// of the operating system.
	MaxDescriptors int `json:"max-descriptors"`
	// HeaderTimeout bounds the time of a header, and BodyTimeout that of a body.
	HeaderTimeout Seconds `json:"header-timeout-seconds"`
	BodyTimeout   Seconds `json:"body-timeout-seconds"`
	// StallTimeout is the time for which a client may make no progress with a body or an
	// answer.
	StallTimeout Seconds `json:"stall-timeout-seconds"`
	// MaxHeaderBytes and MaxHeaderFields bound a header.
	MaxHeaderBytes  int `json:"max-header-bytes"`
	MaxHeaderFields int `json:"max-header-fields"`
	// MaxPipelined bounds the requests that a client sends before the answers to those before.
	MaxPipelined int `json:"max-pipelined"`
}

// Agent holds the settings of an agent.
type Agent struct {
	Place
	Listen    AgentListen  `json:"listen"`
	Inner     InnerTLS     `json:"inner-tls"`
	Target    Target       `json:"target"`
	Platform  Platform     `json:"platform"`
	Operators []Operator   `json:"operators"`
	Control   AgentControl `json:"control"`
	Limits    Limits       `json:"limits"`
	Log       Log          `json:"log"`
}

// AgentListen holds the addresses of an agent.
type AgentListen struct {
	Inner   Address `json:"inner"`
	Metrics Address `json:"metrics"`
	// Weights serves weights to the engine beside the agent.
	Weights Address `json:"weights"`
}

// Target is the back end beside an agent.
type Target struct {
	ID   sillid.TargetID      `json:"id"`
	Pool sillid.PoolID        `json:"pool"`
	Kind sillbundle.RouteKind `json:"kind"`
	// URL is an http address with an IP literal and no path.
	URL string `json:"url"`
	// MaxConcurrent bounds the running requests; at least 1.
	MaxConcurrent int `json:"max-concurrent"`
	// MaxQueued bounds the waiting requests; at least 1.
	MaxQueued int `json:"max-queued"`
	// RolloutFloor is the share that rollouts keep; 0 to 0.5.
	RolloutFloor float64 `json:"rollout-floor"`
}

// AgentControl holds the settings of an agent's background work.
type AgentControl struct {
	// UsageFlush is the time between two writes of the usage row.
	UsageFlush Seconds `json:"usage-flush-seconds"`
	// UsageWindow is the length of a usage window; the same at every process.
	UsageWindow Seconds `json:"usage-window-seconds"`
	// DrainLimit bounds the wait for running requests at a stop.
	DrainLimit Seconds `json:"drain-limit-seconds"`
	// SwapTimeout bounds a load of weights at the engine.
	SwapTimeout Seconds `json:"swap-timeout-seconds"`
}

// Fault is one thing that is wrong with a settings file.
type Fault struct {
	// Path is the place in the file, as "listen.callers".
	Path string
	// Problem says what is wrong and Remedy what to do about it.
	Problem string
	Remedy  string
}

// InvalidError holds every fault of a settings file.
type InvalidError struct {
	Faults []Fault
}

// Error returns the faults, one a line.
func (e *InvalidError) Error() string {
	var b strings.Builder
	b.WriteString("the settings are not valid:")
	for _, f := range e.Faults {
		b.WriteString("\n  " + f.Path + ": " + f.Problem + "; " + f.Remedy)
	}
	return b.String()
}

// Load reads a settings file into settings that hold their defaults already.
func Load(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return eris.Wrap(err, "sillsettings.Load: check the path of the settings file")
	}
	return Decode(data, into)
}

// Decode reads settings. Unknown fields and anything behind the object are refused.
func Decode(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return &InvalidError{Faults: []Fault{decodeFault(err)}}
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return &InvalidError{Faults: []Fault{{Path: "(end)", Problem: "something stands behind the object", Remedy: "keep one JSON object in the file"}}}
	}
	return nil
}

func decodeFault(err error) Fault {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) {
		return Fault{Path: kind.Field, Problem: "a " + kind.Value + " stands where a " + kind.Type.String() + " belongs", Remedy: "correct the value"}
	}
	return Fault{Path: "(file)", Problem: err.Error(), Remedy: "correct the JSON; 'wasabisill settings example' prints every field"}
}

// OperatorKeys returns the public keys of valid settings.
func OperatorKeys(list []Operator) sillbundle.Operators {
	keys := make(sillbundle.Operators, len(list))
	for _, o := range list {
		if b, err := base64.StdEncoding.DecodeString(o.PublicKey); err == nil && len(b) == ed25519.PublicKeySize {
			keys[sillbundle.OperatorName(o.Name)] = b
		}
	}
	return keys
}
