package keys

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"errors"
	"fmt"
	"os"

	"gypsumstand/internal/tomlfile"
)

// Modes of key files.
const (
	privateMode = 0o600
	publicMode  = 0o644
	// othersMask are the bits that let others than the owner at a file.
	othersMask = 0o077
)

// maxFileBytes bounds a key file.
const maxFileBytes = 1 << 14

// ErrNoPrivate says that a file holds a public key where a private one is
// needed.
var ErrNoPrivate = errors.New("file holds no private key")

// MarshalPublic returns the public key file.
func (k *Key) MarshalPublic() []byte {
	return fmt.Appendf(nil, "# Public key of a signer of gypsumstand bundles.\nname = %q\npublic = %q\n", k.Name, EncodePublic(k.Public))
}

// MarshalPrivate returns the private key file.
func (k *Key) MarshalPrivate() []byte {
	seed := base64.StdEncoding.EncodeToString(k.private.Seed())
	return fmt.Appendf(nil, "# PRIVATE key of a signer of gypsumstand bundles. Keep it secret.\nname = %q\npublic = %q\nprivate = %q\n",
		k.Name, EncodePublic(k.Public), seed)
}

// WritePrivate writes the private key file, for its owner's eyes only. A file
// that exists is not touched.
func (k *Key) WritePrivate(path string) error { return write(path, k.MarshalPrivate(), privateMode) }

// WritePublic writes the public key file. A file that exists is not touched.
func (k *Key) WritePublic(path string) error { return write(path, k.MarshalPublic(), publicMode) }

func write(path string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	_, err = f.Write(data)
	err = errors.Join(err, f.Chmod(mode), f.Close())
	if err != nil {
		return errors.Join(fmt.Errorf("write key: %w", err), os.Remove(path))
	}
	return nil
}

// Load reads a key file of either kind. exposed tells that it holds a private
// key which others than its owner may read.
func Load(path string) (key *Key, exposed bool, err error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, false, fmt.Errorf("read key: %w", err)
	}
	if info.Size() > maxFileBytes {
		return nil, false, fmt.Errorf("read key: %s: %d bytes are over the bound of %d", path, info.Size(), maxFileBytes)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, false, fmt.Errorf("read key: %w", err)
	}
	key, err = Parse(path, data)
	if err != nil {
		return nil, false, err
	}
	return key, key.private != nil && info.Mode().Perm()&othersMask != 0, nil
}

// LoadPrivate is Load for a file that must hold a private key.
func LoadPrivate(path string) (key *Key, exposed bool, err error) {
	key, exposed, err = Load(path)
	if err == nil && key.private == nil {
		return nil, false, fmt.Errorf("%s: %w", path, ErrNoPrivate)
	}
	return key, exposed, err
}

// Parse reads a key file of either kind strictly. name stands for the file in
// findings; the error is a finding.List with every fault, and shows no key.
func Parse(name string, data []byte) (*Key, error) {
	var f file
	doc := tomlfile.Decode(name, data, &f)
	if doc.HasSyntaxError() {
		return nil, doc.Err()
	}
	doc.CheckName("name", f.Name)
	public := decodeKey(doc, "public", f.Public, ed25519.PublicKeySize)
	k := &Key{Name: f.Name, Public: public}
	if doc.Has("private") {
		k.addPrivate(doc, f.Private)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return k, nil
}

func decodeKey(doc *tomlfile.Document, key, value string, size int) []byte {
	if !doc.Require(key) {
		return nil
	}
	raw, err := decode(value, size)
	if err != nil {
		doc.Add(key, "%v", err)
	}
	return raw
}

// addPrivate takes the private half and checks that it fits the public one.
func (k *Key) addPrivate(doc *tomlfile.Document, value string) {
	seed := decodeKey(doc, "private", value, ed25519.SeedSize)
	if seed == nil {
		return
	}
	pair := fromSeed(k.Name, seed)
	if k.Public != nil && !bytes.Equal(pair.Public, k.Public) {
		doc.Add("public", "is not the public half of the private key")
	}
	k.private = pair.private
}
