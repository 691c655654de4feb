// Package examples contains no code; its tests check that the examples are valid.
package examples

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/keys"
	"gypsumstand/internal/model"
	"gypsumstand/internal/settings"
)

var deployments = []string{"inyange", "brethyn"}

func readFile(t *testing.T, parts ...string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(parts...))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func loadNode(t *testing.T, deployment string) *settings.Settings {
	t.Helper()
	s, err := settings.Load(filepath.Join(deployment, "node.toml"))
	if err != nil {
		t.Fatalf("settings:\n%v", err)
	}
	return s
}

func openBundle(t *testing.T, deployment string) *bundle.Bundle {
	t.Helper()
	b, err := bundle.Open(deployment, readFile(t, deployment, "bundle.signed"), loadNode(t, deployment).TrustedSigners())
	if err != nil {
		t.Fatalf("signed bundle:\n%v", err)
	}
	return b
}

func TestSignedBundlesAreTrustedAndMatchTheirTOML(t *testing.T) {
	for _, d := range deployments {
		t.Run(d, func(t *testing.T) {
			b := openBundle(t, d)
			if string(b.Name) != d {
				t.Errorf("bundle name is %s", b.Name)
			}
			signed, err := bundle.Unmarshal(readFile(t, d, "bundle.signed"))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(signed.Bundle, readFile(t, d, "bundle.toml")) {
				t.Error("bundle.signed does not contain bundle.toml: sign it again as described in README.md")
			}
		})
	}
}

func TestNodeServiceIsInBundle(t *testing.T) {
	for _, d := range deployments {
		if node := loadNode(t, d); openBundle(t, d).Service(node.Service) == nil {
			t.Errorf("%s: the bundle has no service %s", d, node.Service)
		}
	}
}

func TestBundlesDoNotConflict(t *testing.T) {
	var all []*bundle.Bundle
	for _, d := range deployments {
		all = append(all, openBundle(t, d))
	}
	if findings := bundle.CheckSet(all); findings != nil {
		t.Errorf("findings:\n%v", findings)
	}
}

func TestExampleRoutes(t *testing.T) {
	type target struct {
		Service    model.ServiceName
		Class      model.ClassName
		Idempotent bool
	}
	tests := []struct {
		deployment, method, path string
		want                     target
	}{
		{"inyange", "GET", "/vouchers/17", target{"voucher-viewing", "voucher", true}},
		{"inyange", "POST", "/payouts", target{"ledger", "payout", false}},
		{"inyange", "GET", "/payouts/17", target{"ledger", "statement", true}},
		{"inyange", "GET", "/statements/2026", target{"statements", "statement", true}},
		{"inyange", "GET", "/internal/register/9", target{"statements", "lookup", true}},
		{"brethyn", "GET", "/catalogue/crests", target{"catalogue", "browse", true}},
		{"brethyn", "POST", "/orders", target{"orders", "order", false}},
		{"brethyn", "GET", "/schools/5/garments", target{"schools", "school", true}},
		{"brethyn", "GET", "/internal/stock/3", target{"orders", "lookup", true}},
	}
	for _, tt := range tests {
		got, ok := bundle.NewSet([]*bundle.Bundle{openBundle(t, tt.deployment)}).Match(tt.method, tt.path)
		if !ok {
			t.Errorf("%s %s matches no route", tt.method, tt.path)
			continue
		}
		if diff := cmp.Diff(tt.want, target{got.Service.Name, got.Class.Name, got.Idempotent}); diff != "" {
			t.Errorf("%s %s (-want +got):\n%s", tt.method, tt.path, diff)
		}
	}
}

func TestLookupsHaveNoWorthAndAGuaranteedShare(t *testing.T) {
	for _, d := range deployments {
		lookup := openBundle(t, d).Class("lookup")
		if lookup == nil || lookup.Worth != 0 || lookup.Share <= 0 {
			t.Errorf("%s: lookup is %+v", d, lookup)
		}
	}
}

func TestExampleKeysAreMarkedAndMatch(t *testing.T) {
	const mark = "# EXAMPLE KEY."
	for _, name := range []string{"example-only.private.toml", "example-only.public.toml"} {
		if !bytes.HasPrefix(readFile(t, "keys", name), []byte(mark)) {
			t.Errorf("%s does not start with %q", name, mark)
		}
	}
	private, _, err := keys.LoadPrivate(filepath.Join("keys", "example-only.private.toml"))
	if err != nil {
		t.Fatal(err)
	}
	public, _, err := keys.Load(filepath.Join("keys", "example-only.public.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(private.Public, public.Public) {
		t.Error("the private and the public key file do not match")
	}
}

func TestNodeSettingsMatchBundle(t *testing.T) {
	want := map[string]int{"inyange": 11, "brethyn": 10}
	for _, d := range deployments {
		files, err := filepath.Glob(filepath.Join(d, "nodes", "*.toml"))
		if err != nil || len(files) != want[d] {
			t.Fatalf("%s: %d settings, want %d (%v)", d, len(files), want[d], err)
		}
		b := openBundle(t, d)
		for _, file := range files {
			s, err := settings.Load(file)
			if err != nil {
				t.Errorf("%s:\n%v", file, err)
				continue
			}
			if b.Service(s.Service) == nil || string(s.Instance)+".toml" != filepath.Base(file) {
				t.Errorf("%s: instance %s, service %s", file, s.Instance, s.Service)
			}
		}
	}
}
