// Package certificate reads TLS certificates from files and reloads them when the
// files change.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrUnusable is the class of errors for files without a usable certificate.
var ErrUnusable = errs.Class("certificate unusable")

// checkInterval is the minimum time between checks of the files for changes.
const checkInterval = 5 * time.Second

// Files holds the paths of a certificate, its private key and, for mutual TLS, the
// authorities against which the other side's certificate is verified. Connections
// opened more than checkInterval after a change use the changed files; if those are
// unusable, the last usable ones stay in use. A configuration returned by Client
// keeps the authorities that were in use at the call, also when the CA file changes
// later. Set the exported fields before use.
type Files struct {
	// Certificate is the path of the certificate chain in PEM.
	Certificate string
	// Key is the path of the private key in PEM.
	Key string
	// CA is the path of the authorities in PEM; empty without mutual TLS.
	CA string

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	loaded    *credentials
}

// credentials holds the contents of the files. authorities is nil without a CA file.
type credentials struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files and puts them into use. It returns an ErrUnusable error if
// they cannot be used.
func (f *Files) Load() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reload(time.Now())
}

// Server returns the TLS configuration for accepting connections. If CA is set, clients
// have to present a certificate signed by one of its authorities.
func (f *Files) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			c := f.current()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{c.certificate},
			}
			if c.authorities != nil {
				config.ClientCAs = c.authorities
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the TLS configuration for opening connections. The server's
// certificate is verified against the authorities in CA and the dialled address.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    f.current().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &f.current().certificate, nil
		},
	}
}

// current returns the last usable credentials, after reloading changed files if the
// last check is at least checkInterval ago.
func (f *Files) current() *credentials {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.lastCheck) >= checkInterval {
		f.lastCheck = now
		if modTimes := f.readModTimes(); modTimes != f.modTimes {
			_ = f.reload(now)
		}
	}
	if f.loaded == nil {
		return &credentials{}
	}
	return f.loaded
}

// reload reads the files and keeps the previous credentials if it fails. The caller
// holds mu.
func (f *Files) reload(now time.Time) error {
	f.lastCheck = now
	modTimes := f.readModTimes()
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return ErrUnusable.New("certificate %s, key %s: %v", f.Certificate, f.Key, err)
	}
	c := &credentials{certificate: pair}
	if f.CA != "" {
		if c.authorities, err = readAuthorities(f.CA); err != nil {
			return err
		}
	}
	f.loaded, f.modTimes = c, modTimes
	return nil
}

func readAuthorities(path string) (*x509.CertPool, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUnusable.New("ca: %v", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, ErrUnusable.New("ca %s holds no certificate", path)
	}
	return pool, nil
}

// readModTimes returns the modification times of the files; zero for a file that does
// not exist.
func (f *Files) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, path := range [...]string{f.Certificate, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}
