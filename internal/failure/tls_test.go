package failure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"net/http"
	"testing"
	"time"

	"gypsumstand/internal/local"
)

// authority is a certificate authority for nodes.
type authority struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	return &authority{key: key, cert: signCertificate(t, template, template, key, key)}
}

func signCertificate(t *testing.T, template, parent *x509.Certificate, own, signer *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &own.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// nodeConfig returns the mutual TLS configuration of a node on loopback, as its settings
// would.
func (a *authority) nodeConfig(t *testing.T) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "node"},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert := signCertificate(t, template, a.cert, key, a.key)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{{Certificate: [][]byte{cert.Raw}, PrivateKey: key}},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    pool,
		RootCAs:      pool,
	}
}

func TestMutualTLSRefusesUnknownPeers(t *testing.T) {
	t.Parallel()
	ours := newAuthority(t)
	cfg := config(2)
	cfg.PeerTLS = ours.nodeConfig(t)
	f := startFleet(t, cfg)
	awaitMembers(t, f, "linked", func(m *local.Member) bool {
		stats := m.Node.Core().Stats.Get()
		return stats != nil && len(stats.Links) > 0
	})
	c := newCallers(t)
	for _, m := range f.Members() {
		await(t, "answered by the other node's worker", func() bool {
			got := c.send(t.Context(), m.Node.CallerAddress(), payout("/payouts"))
			return got.answered() && got.upstream != m.ID
		})
	}
	c.check(t, f.Ledger)

	withoutCertificate := ours.nodeConfig(t)
	withoutCertificate.Certificates = nil
	stranger := ours.nodeConfig(t)
	stranger.Certificates = newAuthority(t).nodeConfig(t).Certificates
	peer := f.Members()[0].Node.PeerAddress()
	cases := []struct {
		name   string
		config *tls.Config
		ok     bool
	}{
		{"our certificate", ours.nodeConfig(t), true},
		{"no certificate", withoutCertificate, false},
		{"a certificate of another authority", stranger, false},
	}
	for _, tt := range cases {
		transport := &http.Transport{TLSClientConfig: tt.config, DisableKeepAlives: true}
		resp, err := (&http.Client{Transport: transport}).Get("https://" + peer + "/v1/attempt/a")
		if err == nil {
			resp.Body.Close()
		}
		if (err == nil) != tt.ok {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
	if got := readResponse(t, connect(t, peer, "GET /v1/attempt/a HTTP/1.1\r\nHost: x\r\n\r\n")); got.status != http.StatusBadRequest {
		t.Errorf("without TLS: status %d, want 400", got.status)
	}
}
