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

// certificateName is the DNS name in the certificate of every process, which TLS
// clients expect regardless of the address.
const certificateName = "oleanderstall"

// alpnProtocol is the ALPN identifier of the protocol between processes.
const alpnProtocol = "oleanderstall/1"

// Validity of the certificates. It begins before any process can have started.
var (
	validFrom  = time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	validUntil = time.Date(2120, 1, 1, 0, 0, 0, 0, time.UTC)
)

// Identity holds the TLS credentials of a process: the fleet's certificate
// authority and a leaf certificate signed by it.
type Identity struct {
	roots *x509.CertPool
	leaf  tls.Certificate
}

// NewIdentity derives the authority's key from the fleet's secret and signs a new
// leaf certificate for instance. Processes with different secrets refuse each
// other, as client and as server.
func NewIdentity(secret, instance string) (*Identity, error) {
	seed, err := hkdf.Key(sha256.New, []byte(secret), nil, "oleanderstall authority", ed25519.SeedSize)
	if err != nil {
		return nil, eris.Wrap(err, "derive authority key")
	}
	key := ed25519.NewKeyFromSeed(seed)
	authority, err := newAuthority(key)
	if err != nil {
		return nil, err
	}
	leaf, err := signLeaf(authority, key, instance)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AddCert(authority)
	return &Identity{roots: roots, leaf: leaf}, nil
}

// newAuthority returns the self-signed certificate of the authority.
func newAuthority(key ed25519.PrivateKey) (*x509.Certificate, error) {
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

// signLeaf returns a certificate with a new key, signed by the authority, whose
// key is given. It serves for both ends of a connection.
func signLeaf(authority *x509.Certificate, key ed25519.PrivateKey, instance string) (tls.Certificate, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return tls.Certificate{}, eris.Wrap(err, "generate key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: instance},
		DNSNames:     []string{certificateName},
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

// tlsConfig returns a configuration for both clients and servers, with mutual
// authentication. Without session tickets there is no resumption and no 0-RTT.
func (i *Identity) tlsConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             []string{alpnProtocol},
		ServerName:             certificateName,
		Certificates:           []tls.Certificate{i.leaf},
		RootCAs:                i.roots,
		ClientCAs:              i.roots,
		ClientAuth:             tls.RequireAndVerifyClientCert,
		SessionTicketsDisabled: true,
	}
}
