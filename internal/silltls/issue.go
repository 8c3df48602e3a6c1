package silltls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Authority issues certificates for development and tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	pem         []byte
}

// backdate allows for clocks that are behind.
const backdate = time.Hour

// serialBits is the length of a certificate's serial number.
const serialBits = 120

// NewAuthority makes an authority that is valid from now for the given time.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, eris.Wrap(err, "silltls.NewAuthority: key")
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "wasabisill authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(valid),
		IsCA:                  true,
		KeyUsage:              x509.KeyUsageCertSign,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, eris.Wrap(err, "silltls.NewAuthority: certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, eris.Wrap(err, "silltls.NewAuthority: parse")
	}
	return &Authority{certificate: cert, key: key, pem: encode("CERTIFICATE", der)}, nil
}

// Issue makes the material of one process in a role.
func (a *Authority) Issue(role Role, now time.Time, valid time.Duration) (Material, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Material{}, eris.Wrap(err, "silltls.Issue: key")
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return Material{}, eris.Wrap(err, "silltls.Issue: serial number")
	}
	template := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: string(role)},
		DNSNames:     []string{string(role)},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(valid),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return Material{}, eris.Wrap(err, "silltls.Issue: certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Material{}, eris.Wrap(err, "silltls.Issue: encode key")
	}
	return Material{
		Authority:   a.pem,
		Certificate: encode("CERTIFICATE", der),
		Key:         encode("PRIVATE KEY", keyDER),
	}, nil
}

func encode(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
