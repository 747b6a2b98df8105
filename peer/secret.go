package peer

import (
	"crypto/ed25519"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"

	"github.com/rotisserie/eris"
)

// serverName is the name that every process's certificate carries.
const serverName = "oleanderstall"

// protocol is the ALPN name of the streams between processes.
const protocol = "oleanderstall/1"

// Certificates are valid from before any process started.
var (
	validFrom  = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Identity holds the certificates that a process derives from the fleet's
// secret: the authority, and a certificate of its own signed by it.
type Identity struct {
	roots *x509.CertPool
	leaf  tls.Certificate
}

// NewIdentity derives the identity of an instance. Processes with another secret
// are refused in both directions.
func NewIdentity(secret, instance string) (*Identity, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "oleanderstall authority", ed25519.SeedSize)
	if err != nil {
		return nil, eris.Wrap(err, "derive authority key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	authority, err := authority(key)
	if err != nil {
		return nil, err
	}
	leaf, err := sign(authority, key, instance)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority)
	return &Identity{roots: roots, leaf: leaf}, nil
}

func authority(key ed25519.PrivateKey) (*x509.Certificate, error) {
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "oleanderstall authority"},
		NotBefore:             validFrom,
		NotAfter:              validUntil,
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, eris.Wrap(err, "create authority")
	}
	cert, err := x509.ParseCertificate(der)
	return cert, eris.Wrap(err, "parse authority")
}

func sign(authority *x509.Certificate, key ed25519.PrivateKey, instance string) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: instance},
		DNSNames:     []string{serverName},
		NotBefore:    validFrom,
		NotAfter:     validUntil,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, public, key)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "sign certificate")
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: private}, nil
}

func (i *Identity) config() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{protocol},
		ServerName:             serverName,
		Certificates:           []tls.Certificate{i.leaf},
		RootCAs:                i.roots,
		ClientCAs:              i.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}
