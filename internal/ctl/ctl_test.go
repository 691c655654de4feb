package ctl

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/keys"
)

const validBundle = `name = "shop"
version = 1
[[class]]
name = "order"
deadline_ms = 1000
[[service]]
name = "orders"
slots = 20
connections = 220
[[service.route]]
path = "/orders"
class = "order"
`

// result holds the exit code and output of a command line.
type result struct {
	code int
	out  string
	err  string
}

func run(args ...string) result {
	var out, errOut bytes.Buffer
	code := Run(context.Background(), args, &out, &errOut)
	return result{code: code, out: out.String(), err: errOut.String()}
}

// chdirTemp changes to a new directory that holds only the given files.
func chdirTemp(t *testing.T, files map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, text := range files {
		if err := os.WriteFile(name, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

func (r result) check(t *testing.T, want result) {
	t.Helper()
	if r != want {
		t.Errorf("exit code %d, want %d\nstdout (-want +got):\n%s\nstderr (-want +got):\n%s",
			r.code, want.code, cmp.Diff(want.out, r.out), cmp.Diff(want.err, r.err))
	}
}

func TestHelpNamesEveryCommandWithExamples(t *testing.T) {
	for _, args := range [][]string{{"help"}, {"--help"}, {"-h"}} {
		r := run(args...)
		if r.code != ExitOK {
			t.Errorf("%v: exit code %d", args, r.code)
		}
		for _, c := range commands() {
			if !strings.Contains(r.out, "  "+c.name+" ") {
				t.Errorf("%v does not list %s", args, c.name)
			}
		}
	}
	for _, c := range commands() {
		long, short := run(c.name, "--help"), run("help", c.name)
		if long != short || long.code != ExitOK || !strings.Contains(long.out, "Examples:\n  gypsumctl "+c.name) {
			t.Errorf("help of %s: %+v, %+v", c.name, long, short)
		}
	}
}

func TestWrongUsageExitCode(t *testing.T) {
	chdirTemp(t, nil)
	tests := [][]string{
		{}, {"start"}, {"help", "start"}, {"check"}, {"check", "-colour", "x"}, {"keygen"}, {"keygen", "-name", "A B"},
		{"keygen", "-name", "a", "b"}, {"sign", "a.toml"}, {"sign", "-key", "k"}, {"sign", "-key", "k", "a", "b"},
		{"verify", "a.signed"}, {"verify", "-key", "k"}, {"diff", "a"}, {"status"}, {"status", "localhost:80"},
		{"status", "127.0.0.1"}, {"explain", "127.0.0.1:1"}, {"explain", "-path", "x", "127.0.0.1:1"},
	}
	for _, args := range tests {
		if r := run(args...); r.code != ExitUsage || r.err == "" || r.out != "" {
			t.Errorf("%v: %+v, want exit code %d and a message", args, r, ExitUsage)
		}
	}
}

func TestCheckPrintsEveryFault(t *testing.T) {
	chdirTemp(t, map[string]string{
		"good.toml": validBundle,
		"bad.toml":  "name = \"BAD\"\nversion = 0\nspeed = 1\n",
	})
	run("check", "bad.toml", "good.toml", "absent.toml").check(t, result{
		code: ExitFailure,
		out: `bad.toml:1:1: name: "BAD" must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'
bad.toml:2:1: version: must be at least 1
bad.toml:3:1: speed: unknown key
good.toml: valid: shop@1, 1 services, 1 classes, 0 tenants
`,
		err: "gypsumctl: open absent.toml: no such file or directory\n",
	})
}

func TestCheckFindsConflictsBetweenFiles(t *testing.T) {
	chdirTemp(t, map[string]string{
		"a.toml": validBundle,
		"b.toml": strings.NewReplacer(`"shop"`, `"stall"`, `"orders"`, `"sales"`).Replace(validBundle),
	})
	run("check", "b.toml", "a.toml").check(t, result{
		code: ExitFailure,
		out: `b.toml: valid: stall@1, 1 services, 1 classes, 0 tenants
a.toml: valid: shop@1, 1 services, 1 classes, 0 tenants
b.toml:11:1: service[0].route[0].path: every method of /orders is also in shop@1, which wins
`,
	})
}

func TestCheckReadsSettings(t *testing.T) {
	chdirTemp(t, map[string]string{"node.toml": "instance = \"a\"\n"})
	r := run("check", "-settings", "node.toml")
	if r.code != ExitFailure || !strings.Contains(r.out, "node.toml: service: missing\n") {
		t.Errorf("%+v", r)
	}
}

func TestKeygenSignVerify(t *testing.T) {
	chdirTemp(t, map[string]string{"shop.toml": validBundle})
	made := run("keygen", "-name", "aline")
	if made.code != ExitOK || !strings.Contains(made.out, "[[signer]]\nname = \"aline\"\nkey = \"") {
		t.Fatalf("keygen: %+v", made)
	}
	key, _, err := keys.LoadPrivate("aline.private.toml")
	if err != nil {
		t.Fatal(err)
	}
	run("sign", "-key", "aline.private.toml", "shop.toml").check(t, result{out: "shop.signed: shop@1 signed by " + key.String() + "\n"})
	run("verify", "-key", "aline.public.toml", "shop.signed").check(t, result{out: "shop.signed: shop@1, signed by aline\n"})

	again := run("keygen", "-name", "aline")
	if again.code != ExitFailure || !strings.Contains(again.err, "file exists") {
		t.Errorf("keygen over an existing key: %+v", again)
	}
}

func TestKeygenFailureLeavesNoPrivateKey(t *testing.T) {
	chdirTemp(t, map[string]string{"aline.public.toml": "taken"})
	if r := run("keygen", "-name", "aline"); r.code != ExitFailure {
		t.Errorf("%+v", r)
	}
	if _, err := os.Stat("aline.private.toml"); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the private key file was left: %v", err)
	}
}

func TestSignRejects(t *testing.T) {
	chdirTemp(t, map[string]string{
		"good.toml":  validBundle,
		"bad.toml":   strings.Replace(validBundle, "slots = 20", "slots = 0", 1),
		"other.toml": strings.Replace(validBundle, `"shop"`, `"stall"`, 1),
	})
	run("keygen", "-name", "aline")
	tests := []struct {
		name string
		args []string
		want result
	}{
		{"a bundle with faults", []string{"-key", "aline.private.toml", "bad.toml"},
			result{code: ExitFailure, out: "bad.toml:8:1: service[0].slots: 0 must be from 1 to 65535\n"}},
		{"a public key", []string{"-key", "aline.public.toml", "good.toml"},
			result{code: ExitFailure, err: "gypsumctl: sign: aline.public.toml: file holds no private key\n"}},
		{"a version that is not newer", []string{"-key", "aline.private.toml", "-previous", "good.toml", "good.toml"},
			result{code: ExitFailure, err: "gypsumctl: sign: version 1 of good.toml is not newer than shop@1\n"}},
		{"another bundle's successor", []string{"-key", "aline.private.toml", "-previous", "other.toml", "good.toml"},
			result{code: ExitFailure, err: "gypsumctl: sign: other.toml is bundle stall, but good.toml is bundle shop\n"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(append([]string{"sign"}, tt.args...)...).check(t, tt.want)
			if signed, _ := filepath.Glob("*.signed"); signed != nil {
				t.Errorf("wrote %v", signed)
			}
		})
	}
}

func TestSignPrintsChangesAndWarnsOfReadableKey(t *testing.T) {
	chdirTemp(t, map[string]string{
		"old.toml": validBundle,
		"new.toml": strings.NewReplacer("version = 1", "version = 2", "slots = 20", "slots = 10").Replace(validBundle),
	})
	run("keygen", "-name", "aline")
	if err := os.Chmod("aline.private.toml", 0o644); err != nil {
		t.Fatal(err)
	}
	run("sign", "-key", "aline.private.toml", "-out", "old.signed", "old.toml")
	r := run("sign", "-key", "aline.private.toml", "-previous", "old.signed", "-out", "new.signed", "new.toml")
	want := "Version 2 replaces version 1.\nEach upstream of service orders runs 10 requests at once instead of 20.\n"
	if r.code != ExitOK || !strings.HasPrefix(r.out, want) || r.err != "gypsumctl: warning: aline.private.toml is readable by users other than its owner\n" {
		t.Errorf("%+v", r)
	}
}

func TestVerifyRejectsUntrustedAndAlteredBundles(t *testing.T) {
	chdirTemp(t, map[string]string{"shop.toml": validBundle})
	run("keygen", "-name", "aline")
	run("keygen", "-name", "beatha")
	run("sign", "-key", "aline.private.toml", "shop.toml")
	data, err := os.ReadFile("shop.signed")
	if err != nil {
		t.Fatal(err)
	}
	altered := bytes.Replace(data, []byte("slots = 20"), []byte("slots = 21"), 1)
	if err := os.WriteFile("altered.signed", altered, 0o644); err != nil {
		t.Fatal(err)
	}
	run("verify", "-key", "beatha.public.toml", "shop.signed").check(t, result{code: ExitFailure,
		err: "gypsumctl: shop.signed: signer \"aline\": " + bundle.ErrUnknownSigner.Error() + "\n"})
	run("verify", "-key", "aline.public.toml", "altered.signed").check(t, result{code: ExitFailure,
		err: "gypsumctl: altered.signed: signer \"aline\": " + bundle.ErrBadSignature.Error() + "\n"})
	if r := run("verify", "-key", "aline.public.toml", "shop.toml"); r.code != ExitFailure {
		t.Errorf("plain TOML: %+v", r)
	}
}

func TestDiffReadsSignedAndPlainBundles(t *testing.T) {
	chdirTemp(t, map[string]string{
		"old.toml": validBundle,
		"new.toml": strings.Replace(validBundle, "deadline_ms = 1000", "deadline_ms = 900\nmax_deadline_ms = 1000", 1),
		"bad.toml": "name = 1",
	})
	run("keygen", "-name", "aline")
	run("sign", "-key", "aline.private.toml", "old.toml")
	run("diff", "old.signed", "new.toml").check(t, result{out: "Requests of class order that name no deadline have 900 ms instead of 1000 ms.\n"})
	run("diff", "old.signed", "old.toml").check(t, result{out: "No change.\n"})
	run("diff", "-json", "old.signed", "old.toml").check(t, result{out: "[]\n"})
	run("diff", "-json", "old.toml", "new.toml").check(t, result{out: `[
  {
    "subject": "class",
    "operation": "changed",
    "name": "order",
    "field": "deadline_ms",
    "old": "1000 ms",
    "new": "900 ms",
    "sentence": "Requests of class order that name no deadline have 900 ms instead of 1000 ms."
  }
]
`})
	if r := run("diff", "old.toml", "bad.toml"); r.code != ExitFailure || !strings.Contains(r.out, "bad.toml:1:8: name: must be a string, found integer") {
		t.Errorf("%+v", r)
	}
}
