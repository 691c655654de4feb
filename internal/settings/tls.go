package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLS names the PEM files of mutual TLS among peers: all three or none.
type TLS struct {
	// Certificate is this node's own chain; it must have the IP number of the
	// peer address among its names, and serve as server and as client.
	Certificate string `toml:"certificate"`
	// Key is the certificate's private key.
	Key string `toml:"key"`
	// Authority holds the certificates that peers' chains must end in.
	Authority string `toml:"authority"`
}

// Enabled tells whether peers use TLS.
func (t *TLS) Enabled() bool { return t.Certificate != "" }

func (t *TLS) name() string {
	if t.Enabled() {
		return "mutual TLS"
	}
	return "none"
}

// Load reads the files and returns the configuration for both the peer port and
// connections to peers: TLS 1.3, both sides show a certificate of the
// authority. It returns nil when TLS is not enabled. Every file that cannot be
// used is named in the error.
func (t *TLS) Load() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pair, pairErr := t.loadPair()
	pool, poolErr := t.loadAuthority()
	if err := errors.Join(pairErr, poolErr); err != nil {
		return nil, fmt.Errorf("tls: %w", err)
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}, nil
}

func (t *TLS) loadPair() (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return pair, fmt.Errorf("certificate and key: %w", err)
	}
	return pair, nil
}

func (t *TLS) loadAuthority() (*x509.CertPool, error) {
	data, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, fmt.Errorf("authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("authority %s: holds no PEM certificate", t.Authority)
	}
	return pool, nil
}
