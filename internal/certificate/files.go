// Package certificate reads certificates from files and follows their changes.
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/zeebo/errs"
)

// ErrUnusable is the kind of errors about files that hold no usable certificate.
var ErrUnusable = errs.Class("certificate unusable")

// checkEvery is how often the files are looked at, at most.
const checkEvery = 5 * time.Second

// Files is a certificate with its key and, for mutual TLS, the authorities that
// the other side is checked against. Changed files count from the next
// connection on; files that have become unusable leave the last good ones in
// force. The authorities of the connecting side are those read first. Exported
// fields are set before use.
type Files struct {
	Certificate string
	Key         string
	// CA is empty when the other side shows no certificate.
	CA string

	mu      sync.Mutex
	checked time.Time
	stamps  [3]time.Time
	loaded  *material
}

// material is what was read from the files.
type material struct {
	certificate tls.Certificate
	authorities *x509.CertPool
}

// Check reads the files and reports what is wrong with them.
func (f *Files) Check() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reload(time.Now())
}

// Server returns the configuration of the side that accepts connections. With
// CA set, the other side has to show a certificate.
func (f *Files) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := f.current()
			config := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{m.certificate},
			}
			if m.authorities != nil {
				config.ClientCAs = m.authorities
				config.ClientAuth = tls.RequireAndVerifyClientCert
			}
			return config, nil
		},
	}
}

// Client returns the configuration of the side that connects. The other side's
// certificate is checked against CA, for the address that was dialled.
func (f *Files) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    f.current().authorities,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &f.current().certificate, nil
		},
	}
}

// current returns the last usable material, after a look at the files.
func (f *Files) current() *material {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := time.Now(); now.Sub(f.checked) >= checkEvery {
		f.checked = now
		if stamps := f.modified(); stamps != f.stamps {
			_ = f.reload(now)
		}
	}
	if f.loaded == nil {
		return &material{}
	}
	return f.loaded
}

// reload reads the files. The caller holds mu.
func (f *Files) reload(now time.Time) error {
	f.checked = now
	stamps := f.modified()
	pair, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return ErrUnusable.New("certificate %s, key %s: %v", f.Certificate, f.Key, err)
	}
	m := &material{certificate: pair}
	if f.CA != "" {
		if m.authorities, err = readAuthorities(f.CA); err != nil {
			return err
		}
	}
	f.loaded, f.stamps = m, stamps
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

func (f *Files) modified() [3]time.Time {
	var stamps [3]time.Time
	for i, path := range [...]string{f.Certificate, f.Key, f.CA} {
		if info, err := os.Stat(path); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}
