package settings

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// writeTLSFiles creates a self-signed certificate for loopback and returns TLS settings that
// use it both as the node's certificate and as the authority.
func writeTLSFiles(t *testing.T, name string) TLS {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
		IsCA:         true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	out := TLS{Certificate: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem")}
	out.Authority = out.Certificate
	writePEMBlock(t, out.Certificate, "CERTIFICATE", der)
	writePEMBlock(t, out.Key, "EC PRIVATE KEY", keyDER)
	return out
}

func writePEMBlock(t *testing.T, path, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

// handshake connects two peers over loopback and returns the handshake error of each side.
func handshake(t *testing.T, server, client *TLS) (serverErr, clientErr error) {
	t.Helper()
	serverConfig, err := server.Load()
	if err != nil {
		t.Fatalf("Load: %v", err)
	}
	clientConfig, err := client.Load()
	if err != nil {
		t.Fatalf("Load: %v", err)
	}
	listener, err := tls.Listen("tcp", "127.0.0.1:0", serverConfig)
	if err != nil {
		t.Fatalf("Listen: %v", err)
	}
	defer listener.Close()
	done := make(chan error, 1)
	go func() { done <- acceptOne(listener) }()
	conn, clientErr := tls.Dial("tcp", listener.Addr().String(), clientConfig)
	if clientErr == nil {
		defer conn.Close()
	}
	return <-done, clientErr
}

func acceptOne(listener net.Listener) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	defer conn.Close()
	return conn.(*tls.Conn).Handshake()
}

func TestTLSRejectsOtherAuthorities(t *testing.T) {
	ours, theirs := writeTLSFiles(t, "ours"), writeTLSFiles(t, "theirs")
	if serverErr, clientErr := handshake(t, &ours, &ours); serverErr != nil || clientErr != nil {
		t.Errorf("peers of one authority: %v, %v", serverErr, clientErr)
	}
	stranger := theirs
	stranger.Authority = ours.Authority
	if serverErr, _ := handshake(t, &ours, &stranger); serverErr == nil {
		t.Error("a client of another authority was accepted")
	}
	if _, clientErr := handshake(t, &theirs, &ours); clientErr == nil {
		t.Error("a server of another authority was accepted")
	}
}

func TestLoadReportsUnusableTLSFiles(t *testing.T) {
	good := writeTLSFiles(t, "ours")
	path := filepath.Join(t.TempDir(), "node.toml")
	text := strings.Replace(validSettings, "[platform]", "[tls]\ncertificate = \""+good.Certificate+"\"\nkey = \""+good.Certificate+"\"\nauthority = \""+good.Key+"\"\n[platform]\ntimeout_ms = 0", 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Load(path)
	if err == nil {
		t.Fatal("Load accepted unusable TLS files")
	}
	for _, want := range []string{
		path + ":10:1: tls.certificate: certificate and key: ",
		path + ":12:1: tls.authority: authority " + good.Key + ": contains no PEM certificate",
		path + ":14:1: platform.timeout_ms: 0 must be from 1 to 60000",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("findings are missing %q:\n%v", want, err)
		}
	}
}

func TestTLSLoadWithoutFiles(t *testing.T) {
	if config, err := new(TLS).Load(); config != nil || err != nil {
		t.Errorf("Load = %v, %v; want nil, nil", config, err)
	}
}
