package runner

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"oleanderstall/checker"
	"oleanderstall/faker"
	"oleanderstall/imitator"
)

// writeKeyPair writes a self-signed certificate for a name and its key, and returns the
// paths of the two files.
func writeKeyPair(t *testing.T, dir, name string) (certificate, key string) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	assert.NilError(t, err)
	data, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	certificate, key = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem")
	writePEM(t, key, "PRIVATE KEY", data)
	writePEM(t, certificate, "CERTIFICATE", der)
	return certificate, key
}

// writePEM writes data as a PEM block of a kind.
func writePEM(t *testing.T, path, kind string, data []byte) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600))
}

// entrySettings returns the settings of an entry with a simulated platform.
func entrySettings(t *testing.T) *checker.Settings {
	p := httptest.NewServer(imitator.NewPlatform())
	t.Cleanup(p.Close)
	certificate, key := writeKeyPair(t, t.TempDir(), "first")
	return &checker.Settings{
		Role: "entry", Name: "e", Centre: "c", PeerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", PlatformURL: p.URL,
		Secret: "a secret for tests", ShardLease: checker.Duration(time.Second), ShardCount: 2,
		Entry: &checker.Entry{
			CallerAddress: "127.0.0.1:0", OperatorAddress: "127.0.0.1:0", CertificateFile: certificate, KeyFile: key,
			Accounts:     []checker.Account{{Name: "a", Token: "an operator's token"}},
			MaxBodyBytes: 1024, MaxTimeout: checker.Duration(time.Second), MaxConfigurationAge: checker.Duration(time.Second),
		},
	}
}

// startEntry starts an entry without a log.
func startEntry(t *testing.T, s *checker.Settings) *Entry {
	t.Helper()
	l := faker.DiscardLogger()
	e, err := StartEntry(s, l)
	assert.NilError(t, err)
	return e
}

// presentedName returns the name in the certificate that a listener presents.
func presentedName(t *testing.T, address string) string {
	t.Helper()
	conn, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].Subject.CommonName
}

// TestCertificateIsReloaded checks that a running entry presents a replaced certificate,
// and keeps the old one while the file is not valid.
func TestCertificateIsReloaded(t *testing.T) {
	s := entrySettings(t)
	e := startEntry(t, s)
	defer e.Stop()
	address := e.Addresses().Callers
	assert.Equal(t, presentedName(t, address), "first")
	modified := time.Now().Add(time.Minute)
	assert.NilError(t, os.WriteFile(s.Entry.CertificateFile, []byte("broken"), 0o600))
	assert.NilError(t, os.Chtimes(s.Entry.CertificateFile, modified, modified))
	assert.Equal(t, presentedName(t, address), "first")
	writeKeyPair(t, filepath.Dir(s.Entry.CertificateFile), "second")
	modified = modified.Add(time.Minute)
	assert.NilError(t, os.Chtimes(s.Entry.CertificateFile, modified, modified))
	assert.Equal(t, presentedName(t, address), "second")
}

// get sends a GET request and returns the status and the body.
func get(t *testing.T, address, path string) (int, string) {
	t.Helper()
	res, err := http.Get("http://" + address + path)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return res.StatusCode, string(data)
}

// TestAdmin checks health, readiness and metrics, and that a dump hides secrets.
func TestAdmin(t *testing.T) {
	e := startEntry(t, entrySettings(t))
	defer e.Stop()
	for _, path := range []string{"/healthz", "/readyz"} {
		status, _ := get(t, e.Addresses().Admin, path)
		assert.Equal(t, status, http.StatusOK, path)
	}
	_, text := get(t, e.Addresses().Admin, "/metrics")
	for _, name := range []string{"oleanderstall_cold_start_seconds", "oleanderstall_idle_seconds_total", "oleanderstall_shards_held"} {
		assert.Assert(t, strings.Contains(text, name), name)
	}
	e.ready.Store(false)
	status, _ := get(t, e.Addresses().Admin, "/readyz")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	dump := string(e.dump(""))
	assert.Assert(t, strings.Contains(dump, `"hidden"`))
	assert.Assert(t, !strings.Contains(dump, "a secret for tests") && !strings.Contains(dump, "operator's token"), dump)
}

// TestStopWithoutPlatform checks that an entry whose platform never answers can be stopped.
func TestStopWithoutPlatform(t *testing.T) {
	s := entrySettings(t)
	s.PlatformURL = "http://127.0.0.1:1"
	startEntry(t, s).Stop()
}
