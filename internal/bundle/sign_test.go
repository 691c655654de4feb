package bundle

import (
	"bytes"
	"crypto/ed25519"
	"errors"
	"strings"
	"testing"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/wire"
)

func testKey(fill byte) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed(bytes.Repeat([]byte{fill}, ed25519.SeedSize))
}

func testSigner(name string, key ed25519.PrivateKey) Signer {
	return Signer{Name: name, Key: key.Public().(ed25519.PublicKey)}
}

func mustMarshal(t testing.TB, s Signed) []byte {
	t.Helper()
	out, err := s.Marshal()
	if err != nil {
		t.Fatalf("Marshal: %v", err)
	}
	return out
}

func TestOpenAcceptsSignedBundle(t *testing.T) {
	key := testKey(1)
	data := mustMarshal(t, Sign("aline", key, []byte(validBundle)))
	b, err := Open("inyange", data, []Signer{testSigner("beatha", testKey(2)), testSigner("aline", key)})
	if err != nil {
		t.Fatalf("Open: %v", err)
	}
	if got := b.VersionID().String(); got != "inyange@3" {
		t.Errorf("opened %s, want inyange@3", got)
	}
}

func TestOpenRejectsBadSignatures(t *testing.T) {
	aline, beatha := testKey(1), testKey(2)
	trusted := []Signer{testSigner("aline", aline), testSigner("beatha", beatha)}
	signed := Sign("aline", aline, []byte(validBundle))
	with := func(change func(*Signed)) []byte {
		s := signed
		change(&s)
		out, err := wire.Marshal(s)
		if err != nil {
			t.Fatalf("Marshal: %v", err)
		}
		return out
	}
	tests := []struct {
		name string
		data []byte
		want error
	}{
		{"no signature", with(func(s *Signed) { s.Signature = nil }), ErrUnsigned},
		{"no signer", with(func(s *Signed) { s.Signer = "" }), ErrUnsigned},
		{"unknown signer", with(func(s *Signed) { *s = Sign("carine", testKey(3), s.Bundle) }), ErrUnknownSigner},
		{"another signer's key", with(func(s *Signed) { *s = Sign("aline", beatha, s.Bundle) }), ErrBadSignature},
		{"another trusted name", with(func(s *Signed) { s.Signer = "beatha" }), ErrBadSignature},
		{"name with a line of the bundle", with(func(s *Signed) {
			s.Signer = "aline\n" + strings.SplitN(validBundle, "\n", 2)[0]
			s.Bundle = []byte(strings.SplitN(validBundle, "\n", 2)[1])
		}), ErrUnknownSigner},
		{"altered bundle", with(func(s *Signed) { s.Bundle = []byte(strings.Replace(validBundle, "= 20", "= 21", 1)) }), ErrBadSignature},
		{"cut signature", with(func(s *Signed) { s.Signature = s.Signature[:63] }), ErrBadSignature},
		{"signature of the bare bytes", with(func(s *Signed) { s.Signature = ed25519.Sign(aline, s.Bundle) }), ErrBadSignature},
		{"signature without its context", with(func(s *Signed) {
			s.Signature = ed25519.Sign(aline, append([]byte("aline\n"), s.Bundle...))
		}), ErrBadSignature},
		{"over 1 MiB", with(func(s *Signed) { *s = Sign("aline", aline, make([]byte, MaxBytes)) }), ErrTooLarge},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b, err := Open("test", tt.data, trusted)
			if b != nil || !errors.Is(err, tt.want) {
				t.Errorf("Open = %v, %v; want error %v", b, err, tt.want)
			}
		})
	}
}

func TestSignatureCoversSignerName(t *testing.T) {
	key := testKey(1)
	trusted := []Signer{testSigner("al", key), testSigner("ali", key), testSigner("aline", key)}
	signed := Sign("ali", key, []byte("name"))
	if err := signed.Verify(trusted); err != nil {
		t.Fatalf("Verify: %v", err)
	}
	others := []Signed{
		{Signer: "aline", Bundle: signed.Bundle, Signature: signed.Signature},
		{Signer: "al", Bundle: []byte("iname"), Signature: signed.Signature},
		{Signer: "al", Bundle: []byte("i\nname"), Signature: signed.Signature},
	}
	for _, other := range others {
		if err := other.Verify(trusted); !errors.Is(err, ErrBadSignature) {
			t.Errorf("%s with %q: %v, want %v", other.Signer, other.Bundle, err, ErrBadSignature)
		}
	}
}

func TestOpenRejectsMalformedEncoding(t *testing.T) {
	good := mustMarshal(t, Sign("aline", testKey(1), []byte(validBundle)))
	tests := map[string][]byte{
		"empty":          nil,
		"plain TOML":     []byte(validBundle),
		"cut":            good[:len(good)-1],
		"trailing byte":  append(bytes.Clone(good), 0),
		"duplicate key":  append([]byte{0xa4, 1, 0x61, 'a'}, good[1:]...),
		"indefinite map": append(append([]byte{0xbf}, good[1:]...), 0xff),
		"tagged":         append([]byte{0xd9, 0xd9, 0xf7}, good...),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			if b, err := Open("test", data, []Signer{testSigner("aline", testKey(1))}); err == nil {
				t.Errorf("Open accepted it: %v", b)
			}
		})
	}
}

func TestOpenRejectsAnyAlteredByte(t *testing.T) {
	key := testKey(1)
	signed := Sign("aline", key, []byte("name = \"inyange\"\nversion = 1\n"))
	data := mustMarshal(t, signed)
	trusted := []Signer{testSigner("aline", key)}
	for i := range data {
		altered := bytes.Clone(data)
		altered[i] ^= 0x01
		if _, err := Open("test", altered, trusted); err == nil {
			t.Errorf("byte %d altered from %#x to %#x: still accepted", i, data[i], altered[i])
		}
	}
}

func TestOpenVerifiesBeforeParsing(t *testing.T) {
	data := mustMarshal(t, Sign("carine", testKey(3), []byte("no TOML")))
	_, err := Open("test", data, []Signer{testSigner("aline", testKey(1))})
	var list finding.List
	if errors.As(err, &list) {
		t.Errorf("Open parsed before it verified: %v", err)
	}
}

func TestOpenReportsFindings(t *testing.T) {
	key := testKey(1)
	data := mustMarshal(t, Sign("aline", key, []byte("name = \"inyange\"\nversion = 0\n")))
	_, err := Open("inyange", data, []Signer{testSigner("aline", key)})
	if err == nil || err.Error() != "inyange:2:1: version: must be at least 1" {
		t.Errorf("Open: %v", err)
	}
}

func TestMarshalRejectsOversizedBundle(t *testing.T) {
	if _, err := Sign("aline", testKey(1), make([]byte, MaxBytes)).Marshal(); !errors.Is(err, ErrTooLarge) {
		t.Errorf("Marshal: %v, want %v", err, ErrTooLarge)
	}
}
