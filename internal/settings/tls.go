package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLS names the PEM files of mutual TLS between peers; all three are set or none.
type TLS struct {
	// Certificate is the node's certificate chain. It must contain the IP address of the
	// peer address as a subject alternative name and be valid for both server and client
	// authentication.
	Certificate string `toml:"certificate"`
	// Key is the certificate's private key.
	Key string `toml:"key"`
	// Authority holds the root certificates that peers' certificates are verified against.
	Authority string `toml:"authority"`
}

// Enabled reports whether connections between peers use TLS.
func (t *TLS) Enabled() bool { return t.Certificate != "" }

// mode returns the security of the peer port for the log.
func (t *TLS) mode() string {
	if t.Enabled() {
		return "mutual TLS"
	}
	return "none"
}

// Load reads the files and returns the configuration for both the peer port and connections
// to peers: TLS 1.3, with certificates of the authority on both sides. It returns nil if TLS
// is not enabled. The error names every file that cannot be loaded.
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
		return nil, fmt.Errorf("authority %s: contains no PEM certificate", t.Authority)
	}
	return pool, nil
}
