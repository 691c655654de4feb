package keys

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/finding"
)

func mustGenerate(t *testing.T, name string) *Key {
	t.Helper()
	k, err := Generate(name, nil)
	if err != nil {
		t.Fatalf("Generate: %v", err)
	}
	return k
}

func TestGeneratedKeysDiffer(t *testing.T) {
	if a, b := mustGenerate(t, "a"), mustGenerate(t, "a"); bytes.Equal(a.Public, b.Public) {
		t.Error("two generated keys are equal")
	}
}

func TestGenerateRejectsBadNameAndShortSource(t *testing.T) {
	if _, err := Generate("Aline U.", nil); err == nil {
		t.Error("an invalid name was accepted")
	}
	if _, err := Generate("aline", bytes.NewReader(make([]byte, 31))); err == nil {
		t.Error("a source that ends early was accepted")
	}
}

func TestKeyFilesRoundTrip(t *testing.T) {
	dir := t.TempDir()
	k := mustGenerate(t, "aline")
	private, public := filepath.Join(dir, "private"), filepath.Join(dir, "public")
	if err := errors.Join(k.WritePrivate(private), k.WritePublic(public)); err != nil {
		t.Fatalf("write: %v", err)
	}
	got, exposed, err := LoadPrivate(private)
	if err != nil || exposed || !got.Private().Equal(k.Private()) || got.Name != "aline" {
		t.Errorf("LoadPrivate = %v, %v, %v", got, exposed, err)
	}
	signed := got.Sign([]byte("text"))
	publicKey, _, err := Load(public)
	if err != nil || publicKey.Private() != nil {
		t.Fatalf("Load = %v, %v", publicKey, err)
	}
	if err := signed.Verify([]bundle.Signer{publicKey.Signer()}); err != nil {
		t.Errorf("Verify: %v", err)
	}
	if _, _, err := LoadPrivate(public); !errors.Is(err, ErrNoPrivate) {
		t.Errorf("LoadPrivate of a public key file: %v, want %v", err, ErrNoPrivate)
	}
}

func TestPrivateFileIsReadableByOwnerOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "private")
	if err := mustGenerate(t, "aline").WritePrivate(path); err != nil {
		t.Fatalf("WritePrivate: %v", err)
	}
	info, err := os.Stat(path)
	if err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v; want 0600", info.Mode().Perm(), err)
	}
	if err := os.Chmod(path, 0o640); err != nil {
		t.Fatal(err)
	}
	if _, exposed, err := Load(path); err != nil || !exposed {
		t.Errorf("Load of a group-readable file: exposed %v, %v", exposed, err)
	}
}

func TestWriteDoesNotReplaceAFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "private")
	first, second := mustGenerate(t, "aline"), mustGenerate(t, "aline")
	if err := first.WritePrivate(path); err != nil {
		t.Fatalf("WritePrivate: %v", err)
	}
	if err := second.WritePrivate(path); !errors.Is(err, os.ErrExist) {
		t.Errorf("second WritePrivate: %v, want %v", err, os.ErrExist)
	}
	if got, _, err := Load(path); err != nil || !bytes.Equal(got.Public, first.Public) {
		t.Errorf("the first key was replaced: %v, %v", got, err)
	}
}

func TestNoFormatShowsThePrivateKey(t *testing.T) {
	k := mustGenerate(t, "aline")
	want := "aline (" + Fingerprint(k.Public) + ")"
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%x", "%d", "%q"} {
		for _, got := range []string{fmt.Sprintf(verb, k), fmt.Sprintf(verb, *k)} {
			if got != want {
				t.Errorf("%s writes %s", verb, got)
			}
		}
	}
}

func TestParseFindings(t *testing.T) {
	k := mustGenerate(t, "aline")
	other := mustGenerate(t, "aline")
	private := string(k.MarshalPrivate())
	tests := []struct {
		name, text string
		want       []string
	}{
		{"empty", "", []string{"key: name: missing", "key: public: missing"}},
		{"unknown and duplicate keys", private + "owner = 1\nname = \"aline\"\n", []string{
			"key:5:1: owner: unknown key", "key:6:1: name: key name is already defined",
		}},
		{"name", "name = \"Aline\"\npublic = \"" + EncodePublic(k.Public) + "\"", []string{
			`key:1:1: name: "Aline" must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'`,
		}},
		{"not base64", "name = \"aline\"\npublic = \"*\"\nprivate = \"*\"", []string{
			"key:2:1: public: must be base64", "key:3:1: private: must be base64",
		}},
		{"base64 with spare bits", "name = \"aline\"\npublic = \"" + strings.Repeat("A", 42) + "B=\"", []string{"key:2:1: public: must be base64"}},
		{"short", "name = \"aline\"\npublic = \"AAAA\"\nprivate = \"\"", []string{
			"key:2:1: public: must be 32 bytes in base64, found 3", "key:3:1: private: must be 32 bytes in base64, found 0",
		}},
		{"public and private key differ", strings.Replace(private, EncodePublic(k.Public), EncodePublic(other.Public), 1), []string{
			"key:3:1: public: does not belong to the private key",
		}},
		{"no TOML", "-----BEGIN", []string{"key:1:10: expected '=' after key"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("key", []byte(tt.text))
			var list finding.List
			if !errors.As(err, &list) {
				t.Fatalf("Parse returned %T %v, want finding.List", err, err)
			}
			if diff := cmp.Diff(tt.want, strings.Split(list.Error(), "\n")); diff != "" {
				t.Errorf("findings differ (-want +got):\n%s", diff)
			}
		})
	}
}

func TestLoadRejectsMissingAndOversizedFiles(t *testing.T) {
	dir := t.TempDir()
	if _, _, err := Load(filepath.Join(dir, "absent")); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("absent file: %v", err)
	}
	big := filepath.Join(dir, "big")
	padded := append(mustGenerate(t, "aline").MarshalPublic(), bytes.Repeat([]byte("#"), maxFileBytes)...)
	if err := os.WriteFile(big, padded, 0o600); err != nil {
		t.Fatal(err)
	}
	if _, _, err := Load(big); err == nil {
		t.Error("an oversized file was accepted")
	}
}
