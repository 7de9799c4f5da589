package instance_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"heatherrelay/internal/certificate"
	v1 "heatherrelay/internal/gen/heatherrelay/v1"
	"heatherrelay/internal/gen/heatherrelay/v1/heatherrelayv1connect"
	"heatherrelay/internal/instance"
)

// testCA is a certificate authority that issues certificates for 127.0.0.1.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newTestCA(t *testing.T, name string) *testCA {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	parsed, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &testCA{certificate: parsed, key: key, file: writePEM(t, name, "CERTIFICATE", der)}
}

// issue writes a new certificate and its key to files. The files name trusted as
// the authority that must have signed the certificate of the other side.
func (a *testCA) issue(t *testing.T, name string, trusted *testCA) *certificate.Files {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	return &certificate.Files{
		Certificate: writePEM(t, name+".crt", "CERTIFICATE", der),
		Key:         writePEM(t, name+".key", "EC PRIVATE KEY", secret),
		CA:          trusted.file,
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t *testing.T, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestPeersAuthenticateEachOther checks that a call over mutual TLS succeeds only
// if each side trusts the authority of the other side's certificate.
func TestPeersAuthenticateEachOther(t *testing.T) {
	trustedCA, otherCA := newTestCA(t, "ours"), newTestCA(t, "theirs")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serverFiles := trustedCA.issue(t, "server", trustedCA)
	if err := serverFiles.Load(); err != nil {
		t.Fatal(err)
	}
	handler := &instance.PeerServer{
		ReleasesAfter: func(uint64) (*v1.PullReleasesResponse, error) { return &v1.PullReleasesResponse{Latest: 7}, nil },
	}
	_, service := heatherrelayv1connect.NewPeerServiceHandler(handler)
	server := &http.Server{Handler: service, TLSConfig: serverFiles.Server("h2"), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	t.Cleanup(func() { _ = server.Close() })

	cases := map[string]struct {
		files    *certificate.Files
		accepted bool
	}{
		"both sides trust each other": {files: trustedCA.issue(t, "client", trustedCA), accepted: true},
		"server distrusts the client": {files: otherCA.issue(t, "client", trustedCA)},
		"client distrusts the server": {files: trustedCA.issue(t, "client", otherCA)},
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := c.files.Load(); err != nil {
				t.Fatal(err)
			}
			peers := &instance.Peers{TLS: c.files.Client()}
			m, err := peers.PullReleases(context.Background(), address, 0)
			if c.accepted != (err == nil) || (c.accepted && m.GetLatest() != 7) {
				t.Errorf("PullReleases() = %v, %v; want success: %v", m, err, c.accepted)
			}
		})
	}
	noCertificate := &instance.Peers{TLS: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}}
	if _, err := noCertificate.PullReleases(context.Background(), address, 0); err == nil {
		t.Error("a client without a certificate got an answer")
	}
}

// TestMissingCertificateFilesAreReported checks the error for missing files.
func TestMissingCertificateFilesAreReported(t *testing.T) {
	files := &certificate.Files{Certificate: "missing.crt", Key: "missing.key"}
	if err := files.Load(); !certificate.ErrUnusable.Has(err) {
		t.Errorf("Load() = %v, want ErrUnusable", err)
	}
}
