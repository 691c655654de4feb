package bundle

import (
	"bytes"
	"errors"
	"math"
	"os"
	"path/filepath"
	"testing"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

// exampleBundles returns the example files that match pattern, as seeds.
func exampleBundles(f *testing.F, pattern string) [][]byte {
	paths, err := filepath.Glob(filepath.Join("..", "..", "examples", "*", pattern))
	if err != nil || len(paths) == 0 {
		f.Fatalf("no example matches %s: %v", pattern, err)
	}
	var out [][]byte
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		out = append(out, data)
	}
	return out
}

// FuzzParse checks that a text that Parse accepts satisfies the invariants that other
// packages rely on, and that a rejected text has findings.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validBundle))
	for _, data := range exampleBundles(f, "bundle.toml") {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Parse("f", data)
		if err != nil {
			var list finding.List
			if b != nil || !errors.As(err, &list) || len(list) == 0 {
				t.Fatalf("Parse = %v, %T %v", b, err, err)
			}
			return
		}
		checkInvariants(t, b)
		set := NewSet([]*Bundle{b})
		for _, s := range b.Services {
			if got, _ := set.Service(s.Name); got == nil {
				t.Errorf("service %s is not in the set", s.Name)
			}
			for _, r := range s.Routes {
				checkRouteReachable(t, set, &r)
			}
		}
		if changes := Diff(b, b); changes != nil {
			t.Errorf("Diff with itself: %v", changes)
		}
		if findings := CheckSet([]*Bundle{b}); findings != nil {
			t.Errorf("CheckSet of one: %v", findings)
		}
	})
}

// checkInvariants checks the rules independently of the package's own check.
func checkInvariants(t *testing.T, b *Bundle) {
	t.Helper()
	shares := 0.0
	for _, c := range b.Classes {
		shares += c.Share
		if c.DeadlineMs < 1 || c.MaxDeadlineMs < c.DeadlineMs || !(c.Worth >= 0) || !(c.Share >= 0) || math.IsInf(c.Worth, 0) {
			t.Errorf("class %+v", c)
		}
	}
	if shares > 1.0001 {
		t.Errorf("shares sum to %g", shares)
	}
	for _, tenant := range b.Tenants {
		if tenant.Name == model.OtherTenant || !(tenant.RatePerSecond >= 0) || tenant.RatePerSecond > 0 && !(tenant.Burst >= 1) || !(tenant.MaxShare > 0) {
			t.Errorf("tenant %+v", tenant)
		}
	}
	for _, s := range b.Services {
		if s.Slots < 1 || s.Connections < s.Slots || s.QueueLimit < 0 || s.BodyLimitBytes < 1 || s.ResponseLimitBytes < 1 || s.WarmupMs < 1 || s.KeyMemoryMs < 1 {
			t.Errorf("service %+v", s)
		}
		for _, r := range s.Routes {
			if b.Class(r.Class) == nil {
				t.Errorf("route %+v has no class", r)
			}
		}
	}
}

// checkRouteReachable checks that a request for the route's own path matches this route.
func checkRouteReachable(t *testing.T, set *Set, r *Route) {
	t.Helper()
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"PROPFIND"}
	}
	for _, m := range methods {
		target, ok := set.Match(m, r.Path)
		if !ok || target.Class.Name != r.Class || target.Idempotent != r.idempotent(m) {
			t.Errorf("%s %s leads to %+v, %v", m, r.Path, target, ok)
		}
	}
}

// FuzzOpen checks that Open returns a bundle only for the signed bytes.
func FuzzOpen(f *testing.F) {
	key := testKey(1)
	trusted := []Signer{testSigner("aline", key)}
	good := Sign("aline", key, []byte(validBundle))
	f.Add(mustMarshal(f, good))
	f.Add(mustMarshal(f, Sign("beatha", testKey(2), []byte(validBundle))))
	f.Add([]byte(validBundle))
	for _, data := range exampleBundles(f, "bundle.signed") {
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Open("f", data, trusted)
		if err != nil {
			if b != nil {
				t.Errorf("Open returned a bundle with the error %v", err)
			}
			return
		}
		s, err := Unmarshal(data)
		if err != nil || s.Signer != "aline" || !bytes.Equal(s.Bundle, good.Bundle) {
			t.Errorf("Open returned a bundle that aline did not sign: %v, %q", err, s.Bundle)
		}
	})
}

// FuzzUnmarshal checks that a decoded bundle survives encoding and decoding.
func FuzzUnmarshal(f *testing.F) {
	f.Add(mustMarshal(f, Sign("aline", testKey(1), []byte("a"))))
	f.Add([]byte{0xa0})
	f.Add([]byte{0xa1, 0x02, 0x5a, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Unmarshal(data)
		if err != nil {
			return
		}
		again, err := Unmarshal(mustMarshal(t, s))
		if err != nil || again.Signer != s.Signer || !bytes.Equal(again.Bundle, s.Bundle) || !bytes.Equal(again.Signature, s.Signature) {
			t.Errorf("%+v became %+v, %v", s, again, err)
		}
	})
}
