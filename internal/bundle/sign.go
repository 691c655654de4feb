package bundle

import (
	"crypto/ed25519"
	"errors"
	"fmt"

	"gypsumstand/internal/wire"
)

// signatureContext separates bundle signatures from any other use of a key.
const signatureContext = "gypsumstand bundle v1\n"

// Signed is a bundle's exact bytes with the signature of a named person. Its
// CBOR form is what the platform publishes and what nodes pass on.
type Signed struct {
	Signer    string `cbor:"1,keyasint"`
	Bundle    []byte `cbor:"2,keyasint"`
	Signature []byte `cbor:"3,keyasint"`
}

// Signer is a named person whose sign-off is trusted.
type Signer struct {
	Name string
	Key  ed25519.PublicKey
}

// Errors of Verify and Open.
var (
	ErrUnsigned      = errors.New("bundle is not signed")
	ErrUnknownSigner = errors.New("signer is not trusted")
	ErrBadSignature  = errors.New("signature does not fit the bundle's bytes")
	ErrTooLarge      = errors.New("signed bundle is over a megabyte")
)

// Sign signs the exact bytes of a bundle off in the name of signer.
func Sign(signer string, key ed25519.PrivateKey, data []byte) Signed {
	return Signed{Signer: signer, Bundle: data, Signature: ed25519.Sign(key, signedMessage(signer, data))}
}

func signedMessage(signer string, data []byte) []byte {
	msg := make([]byte, 0, len(signatureContext)+len(signer)+1+len(data))
	msg = append(msg, signatureContext...)
	msg = append(msg, signer...)
	msg = append(msg, '\n')
	return append(msg, data...)
}

// Verify checks the signature against the trusted signers.
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

// Marshal returns the CBOR form.
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

// Unmarshal reads the CBOR form; it checks nothing but the form and the size.
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

// Open reads, verifies and then parses a signed bundle's CBOR form.
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
