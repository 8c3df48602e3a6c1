// Package silltls makes the TLS configurations of the processes. Every process
// shows a certificate of the operator's own authority; the DNS name in the
// certificate tells its role.
package silltls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Role is the DNS name that a certificate of the inner protocol carries.
type Role string

const (
	// GatewayRole stands in the certificates of gateways.
	GatewayRole Role = "gateway.wasabisill.internal"
	// AgentRole stands in the certificates of agents.
	AgentRole Role = "agent.wasabisill.internal"
)

// Material is a certificate with its key and the authority of its peers, in PEM.
type Material struct {
	Authority   []byte
	Certificate []byte
	Key         []byte
}

// Load reads the material from three files.
func Load(authorityFile, certificateFile, keyFile string) (Material, error) {
	var m Material
	for _, f := range []struct {
		name string
		to   *[]byte
	}{
		{authorityFile, &m.Authority},
		{certificateFile, &m.Certificate},
		{keyFile, &m.Key},
	} {
		b, err := os.ReadFile(f.name)
		if err != nil {
			return Material{}, eris.Wrap(err, "silltls.Load: check the path in the settings")
		}
		*f.to = b
	}
	return m, nil
}

func (m Material) parse() (tls.Certificate, *x509.CertPool, error) {
	cert, err := tls.X509KeyPair(m.Certificate, m.Key)
	if err != nil {
		return tls.Certificate{}, nil, eris.Wrap(err, "silltls: certificate and key do not belong together")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(m.Authority) {
		return tls.Certificate{}, nil, eris.New("silltls: the authority file holds no certificate in PEM")
	}
	return cert, pool, nil
}

// Client returns the configuration of a process that dials peers of a role.
func (m Material) Client(peer Role, protocol string) (*tls.Config, error) {
	cert, pool, err := m.parse()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ServerName:   string(peer),
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}, nil
}

// Server returns the configuration of a process that accepts peers of a role,
// or of the further roles, only.
func (m Material) Server(peer Role, protocol string, further ...Role) (*tls.Config, error) {
	cert, pool, err := m.parse()
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		Certificates:     []tls.Certificate{cert},
		ClientCAs:        pool,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		NextProtos:       []string{protocol},
		MinVersion:       tls.VersionTLS13,
		VerifyConnection: verifyRole(append([]Role{peer}, further...)),
	}, nil
}

// verifyRole refuses a certificate of the right authority but another role.
func verifyRole(roles []Role) func(tls.ConnectionState) error {
	return func(s tls.ConnectionState) error {
		for _, r := range roles {
			if HasRole(s, r) {
				return nil
			}
		}
		return eris.Errorf("silltls: the peer's certificate is for none of the roles %v", roles)
	}
}

// HasRole reports whether the peer of a connection showed a certificate for a role.
func HasRole(s tls.ConnectionState, role Role) bool {
	return len(s.PeerCertificates) > 0 && s.PeerCertificates[0].VerifyHostname(string(role)) == nil
}
