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
	// groupAndOthersMask are the permission bits of all users except the file's owner.
	groupAndOthersMask = 0o077
)

// maxFileBytes limits the size of a key file.
const maxFileBytes = 1 << 14

// ErrNoPrivate is returned when a file contains only a public key but a private one is
// needed.
var ErrNoPrivate = errors.New("file holds no private key")

// MarshalPublic returns the content of the public key file.
func (k *Key) MarshalPublic() []byte {
	return fmt.Appendf(nil, "# Public key of a signer of gypsumstand bundles.\nname = %q\npublic = %q\n", k.Name, EncodePublic(k.Public))
}

// MarshalPrivate returns the content of the private key file. The key must have its private
// key.
func (k *Key) MarshalPrivate() []byte {
	seed := base64.StdEncoding.EncodeToString(k.private.Seed())
	return fmt.Appendf(nil, "# PRIVATE key of a signer of gypsumstand bundles. Keep it secret.\nname = %q\npublic = %q\nprivate = %q\n",
		k.Name, EncodePublic(k.Public), seed)
}

// WritePrivate writes the private key file, readable and writable only by its owner. It fails
// with os.ErrExist when the file exists.
func (k *Key) WritePrivate(path string) error {
	return writeFile(path, k.MarshalPrivate(), privateMode)
}

// WritePublic writes the public key file. It fails with os.ErrExist when the file exists.
func (k *Key) WritePublic(path string) error { return writeFile(path, k.MarshalPublic(), publicMode) }

// writeFile creates a file with that mode regardless of the umask. It removes the file when
// writing fails.
func writeFile(path string, data []byte, mode os.FileMode) error {
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

// Load reads a public or private key file. exposed reports that the file contains a private
// key and that users other than its owner have access to it.
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
	return key, key.private != nil && info.Mode().Perm()&groupAndOthersMask != 0, nil
}

// LoadPrivate is like Load but returns ErrNoPrivate for a public key file.
func LoadPrivate(path string) (key *Key, exposed bool, err error) {
	key, exposed, err = Load(path)
	if err == nil && key.private == nil {
		return nil, false, fmt.Errorf("%s: %w", path, ErrNoPrivate)
	}
	return key, exposed, err
}

// Parse parses a public or private key file and rejects unknown keys. name is the file name in
// findings. The error is a finding.List with every finding and shows no key.
func Parse(name string, data []byte) (*Key, error) {
	var f keyFile
	doc := tomlfile.Decode(name, data, &f)
	if doc.HasSyntaxError() {
		return nil, doc.Err()
	}
	doc.CheckName("name", f.Name)
	public := decodeField(doc, "public", f.Public, ed25519.PublicKeySize)
	k := &Key{Name: f.Name, Public: public}
	if doc.Has("private") {
		k.setPrivate(doc, f.Private)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return k, nil
}

// decodeField decodes the base64 value of a required key of the document. It returns nil after
// adding a finding.
func decodeField(doc *tomlfile.Document, key, value string, size int) []byte {
	if !doc.Require(key) {
		return nil
	}
	raw, err := decodeBase64(value, size)
	if err != nil {
		doc.Add(key, "%v", err)
	}
	return raw
}

// setPrivate sets the private key and checks that the public key belongs to it.
func (k *Key) setPrivate(doc *tomlfile.Document, value string) {
	seed := decodeField(doc, "private", value, ed25519.SeedSize)
	if seed == nil {
		return
	}
	pair := fromSeed(k.Name, seed)
	if k.Public != nil && !bytes.Equal(pair.Public, k.Public) {
		doc.Add("public", "does not belong to the private key")
	}
	k.private = pair.private
}
