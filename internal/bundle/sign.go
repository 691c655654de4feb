package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"

	"gypsumstand/internal/wire"
)

// signatureContext prefixes the signed message, so that no signature made with the key for
// another purpose is valid for a bundle.
const signatureContext = "gypsumstand bundle v1\n"

// Signed holds a bundle's exact bytes with the signature of a named signer. The platform
// publishes its CBOR encoding, and nodes relay it.
type Signed struct {
	Signer    string `cbor:"1,keyasint"`
	Bundle    []byte `cbor:"2,keyasint"`
	Signature []byte `cbor:"3,keyasint"`
}

// Signer is a trusted signer: a name and its public key.
type Signer struct {
	Name string
	Key  ed25519.PublicKey
}

// Errors of Verify, Marshal, Unmarshal and Open; test for them with errors.Is.
var (
	ErrUnsigned      = errors.New("bundle is not signed")
	ErrUnknownSigner = errors.New("signer is not trusted")
	ErrBadSignature  = errors.New("signature does not match the bundle's bytes")
	ErrTooLarge      = errors.New("signed bundle is over 1 MiB")
)

// Sign signs the exact bytes of a bundle in the name of signer.
func Sign(signer string, key ed25519.PrivateKey, data []byte) Signed {
	return Signed{Signer: signer, Bundle: data, Signature: ed25519.Sign(key, signedMessage(signer, data))}
}

// signedMessage returns the bytes that are signed: the context, the signer's name, a line
// feed and the bundle.
func signedMessage(signer string, data []byte) []byte {
	msg := make([]byte, 0, len(signatureContext)+len(signer)+1+len(data))
	msg = append(msg, signatureContext...)
	msg = append(msg, signer...)
	msg = append(msg, '\n')
	return append(msg, data...)
}

// Verify checks the signature with the key of the trusted signer of that name. It returns
// an error that wraps ErrUnsigned, ErrUnknownSigner or ErrBadSignature.
func (s Signed) Verify(trusted []Signer) error {
	if s.Signer == "" || len(s.Signature) == 0 {
		return ErrUnsigned
	}
	for _, t := range trusted {
		if t.Name != s.Signer {
			continue
		}
		if len(t.Key) == ed25519.PublicKeySize && ed25519.Verify(t.Key, signedMessage(s.Signer, s.Bundle), s.Signature) {
			return nil
		}
		return fmt.Errorf("signer %q: %w", s.Signer, ErrBadSignature)
	}
	return fmt.Errorf("signer %q: %w", s.Signer, ErrUnknownSigner)
}

// Marshal returns the CBOR encoding, of at most MaxBytes.
func (s Signed) Marshal() ([]byte, error) {
	out, err := wire.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("encode signed bundle: %w", err)
	}
	if len(out) > MaxBytes {
		return nil, fmt.Errorf("%d bytes: %w", len(out), ErrTooLarge)
	}
	return out, nil
}

// Unmarshal decodes the CBOR encoding. It checks only the encoding and the size, not the
// signature.
func Unmarshal(data []byte) (Signed, error) {
	var s Signed
	if len(data) > MaxBytes {
		return s, fmt.Errorf("%d bytes: %w", len(data), ErrTooLarge)
	}
	if err := wire.Unmarshal(data, &s); err != nil {
		return s, fmt.Errorf("decode signed bundle: %w", err)
	}
	return s, nil
}

// Open decodes a signed bundle from CBOR, verifies its signature and then parses it. file
// names the bundle in findings.
func Open(file string, data []byte, trusted []Signer) (*Bundle, error) {
	s, err := Unmarshal(data)
	if err != nil {
		return nil, err
	}
	if err := s.Verify(trusted); err != nil {
		return nil, err
	}
	return Parse(file, s.Bundle)
}
