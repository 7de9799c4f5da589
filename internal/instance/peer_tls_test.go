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

// authority signs certificates for loopback.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T, name string) *authority {
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
	return &authority{certificate: parsed, key: key, file: writePEM(t, name, "CERTIFICATE", der)}
}

// issue returns files with a new certificate; trusted signs the other side's.
func (a *authority) issue(t *testing.T, name string, trusted *authority) *certificate.Files {
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

// TestPeersShowEachOtherCertificates calls a peer over mutual TLS.
func TestPeersShowEachOtherCertificates(t *testing.T) {
	ours, theirs := newAuthority(t, "ours"), newAuthority(t, "theirs")
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serverFiles := ours.issue(t, "server", ours)
	if err := serverFiles.Check(); err != nil {
		t.Fatal(err)
	}
	handler := &instance.PeerServer{
		Pull: func(uint64) (*v1.PullReleasesResponse, error) { return &v1.PullReleasesResponse{Latest: 7}, nil },
	}
	_, service := heatherrelayv1connect.NewPeerServiceHandler(handler)
	server := &http.Server{Handler: service, TLSConfig: serverFiles.Server("h2"), ReadHeaderTimeout: time.Second}
	go func() { _ = server.ServeTLS(listener, "", "") }()
	t.Cleanup(func() { _ = server.Close() })

	cases := map[string]struct {
		files *certificate.Files
		whole bool
	}{
		"same authority":                    {files: ours.issue(t, "client", ours), whole: true},
		"client of another authority":       {files: theirs.issue(t, "client", ours)},
		"server of an unexpected authority": {files: ours.issue(t, "client", theirs)},
	}
	address := netip.MustParseAddrPort(listener.Addr().String())
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if err := c.files.Check(); err != nil {
				t.Fatal(err)
			}
			peers := &instance.Peers{TLS: c.files.Client()}
			m, err := peers.PullReleases(context.Background(), address, 0)
			if c.whole != (err == nil) || (c.whole && m.GetLatest() != 7) {
				t.Errorf("PullReleases() = %v, %v; want an answer: %v", m, err, c.whole)
			}
		})
	}
	plain := &instance.Peers{TLS: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}}
	if _, err := plain.PullReleases(context.Background(), address, 0); err == nil {
		t.Error("a client without a certificate got an answer")
	}
}

// TestUnusableCertificateFilesAreNamed checks the error at the start.
func TestUnusableCertificateFilesAreNamed(t *testing.T) {
	files := &certificate.Files{Certificate: "missing.crt", Key: "missing.key"}
	if err := files.Check(); !certificate.ErrUnusable.Has(err) {
		t.Errorf("Check() = %v", err)
	}
}
