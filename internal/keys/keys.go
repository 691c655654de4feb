// Package keys generates, reads and writes the Ed25519 keys (RFC 8032) with which people
// sign bundles. A key file is TOML: a private one holds name, public and private, a public
// one name and public. Keys are base64 (RFC 4648, section 4); a private key is its 32-byte
// seed.
package keys

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/tomlfile"
)

// fingerprintBytes is the number of hash bytes in a public key's fingerprint.
const fingerprintBytes = 8

// Key is the key of a named person. The private key is never formatted.
type Key struct {
	Name    string
	Public  ed25519.PublicKey
	private ed25519.PrivateKey
}

// keyFile is the content of a public or private key file.
type keyFile struct {
	Name    string `toml:"name"`
	Public  string `toml:"public"`
	Private string `toml:"private"`
}

// Generate returns a new key with that name. source is the source of randomness, crypto/rand
// when it is nil.
func Generate(name string, source io.Reader) (*Key, error) {
	if !tomlfile.ValidName(name) {
		return nil, fmt.Errorf("key name %q %s", name, tomlfile.NameRule)
	}
	if source == nil {
		source = rand.Reader
	}
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(source, seed); err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	return fromSeed(name, seed), nil
}

// fromSeed returns the key of a 32-byte seed.
func fromSeed(name string, seed []byte) *Key {
	private := ed25519.NewKeyFromSeed(seed)
	return &Key{Name: name, Public: private.Public().(ed25519.PublicKey), private: private}
}

// Private returns the private key, or nil when only the public key is known.
func (k *Key) Private() ed25519.PrivateKey { return k.private }

// Signer returns the public key with its name.
func (k *Key) Signer() bundle.Signer { return bundle.Signer{Name: k.Name, Key: k.Public} }

// Sign signs the exact bytes of a bundle. It panics without a private key.
func (k *Key) Sign(data []byte) bundle.Signed { return bundle.Sign(k.Name, k.private, data) }

// String returns the name and the public key's fingerprint.
func (k Key) String() string { return k.Name + " (" + Fingerprint(k.Public) + ")" }

// Format writes the result of String for every verb, so that no verb shows the private key.
func (k Key) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, k.String()) }

// Fingerprint returns the first 8 bytes of a public key's SHA-256 hash in hex, for people to
// compare.
func Fingerprint(public ed25519.PublicKey) string {
	sum := sha256.Sum256(public)
	return fmt.Sprintf("%x", sum[:fingerprintBytes])
}

// EncodePublic returns the base64 encoding used in settings and key files.
func EncodePublic(public ed25519.PublicKey) string {
	return base64.StdEncoding.EncodeToString(public)
}

// DecodePublic decodes the result of EncodePublic.
func DecodePublic(s string) (ed25519.PublicKey, error) {
	raw, err := decodeBase64(s, ed25519.PublicKeySize)
	return ed25519.PublicKey(raw), err
}

// decodeBase64 decodes strict base64 of exactly size bytes.
func decodeBase64(s string, size int) ([]byte, error) {
	raw, err := base64.StdEncoding.Strict().DecodeString(s)
	if err != nil {
		return nil, fmt.Errorf("must be base64")
	}
	if len(raw) != size {
		return nil, fmt.Errorf("must be %d bytes in base64, found %d", size, len(raw))
	}
	return raw, nil
}
