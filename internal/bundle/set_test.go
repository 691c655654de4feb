package bundle

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

// linearSet is a reference implementation of Set: it tries all routes in order of
// precedence and searches all bundles for a service.
type linearSet struct {
	bundles []*Bundle
	routes  []routeEntry
}

func newLinearSet(bundles ...*Bundle) *linearSet {
	l := &linearSet{bundles: bundles}
	for _, b := range bundles {
		for i := range b.Services {
			svc := &b.Services[i]
			for j := range svc.Routes {
				r := &svc.Routes[j]
				l.routes = append(l.routes, routeEntry{route: r, target: Target{Bundle: b, Service: svc, Class: b.Class(r.Class)}})
			}
		}
	}
	sort.SliceStable(l.routes, func(i, j int) bool {
		a, b := l.routes[i].route, l.routes[j].route
		if len(a.Path) != len(b.Path) {
			return len(a.Path) > len(b.Path)
		}
		return len(a.Methods) > 0 && len(b.Methods) == 0
	})
	return l
}

func (l *linearSet) service(name model.ServiceName) *Service {
	for _, b := range l.bundles {
		if svc := b.Service(name); svc != nil {
			return svc
		}
	}
	return nil
}

func (l *linearSet) match(method, path string) (t Target, ok bool) {
	for i := range l.routes {
		e := &l.routes[i]
		if referenceMatches(e.route, method, path) {
			t = e.target
			t.Idempotent = e.route.idempotent(method)
			return t, true
		}
	}
	return Target{}, false
}

func referenceMatches(r *Route, method, path string) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	if !strings.HasSuffix(r.Path, "/") && len(path) > len(r.Path) && path[len(r.Path)] != '/' {
		return false
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return len(r.Methods) == 0
}

func TestMatchPrefersLongestPathThenMethods(t *testing.T) {
	b := &Bundle{Name: "b", Version: 1, Services: []Service{
		{Name: "root", Routes: []Route{{Path: "/"}}},
		{Name: "a", Routes: []Route{{Path: "/a"}, {Path: "/a/b/", Methods: []string{"GET"}}}},
		{Name: "post", Routes: []Route{{Path: "/a", Methods: []string{"POST"}}}},
		{Name: "deep", Routes: []Route{{Path: "/a/b/c", Methods: []string{"PUT"}}}},
	}}
	s := NewSet([]*Bundle{b})
	tests := []struct{ method, path, want string }{
		{"GET", "/", "root"},
		{"GET", "/x/y", "root"},
		{"GET", "/a", "a"},
		{"GET", "/ab", "root"},
		{"POST", "/a", "post"},
		{"POST", "/a/x", "post"},
		{"GET", "/a/b", "a"},
		{"POST", "/a/b/", "post"},
		{"PUT", "/a/b/c", "deep"},
		{"PUT", "/a/b/c/d", "deep"},
		{"DELETE", "/a/b/c", "a"},
		{"GET", "/a//b", "a"},
		{"GET", "", ""},
		{"OPTIONS", "*", ""},
	}
	for _, tt := range tests {
		target, ok := s.Match(tt.method, tt.path)
		got := ""
		if ok {
			got = string(target.Service.Name)
		}
		if got != tt.want {
			t.Errorf("Match(%s %q) leads to %q, want %q", tt.method, tt.path, got, tt.want)
		}
	}
}

func TestMatchAgreesWithLinearReference(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	segments := []string{"a", "b", "ab", ""}
	methods := [][]string{nil, {"GET"}, {"POST", "PUT"}}
	path := func() string {
		p := ""
		for range rng.IntN(4) {
			p += "/" + segments[rng.IntN(len(segments))]
		}
		return p + "/"[:rng.IntN(2)]
	}
	for range 300 {
		b := &Bundle{Name: "b", Version: 1}
		for i := range 1 + rng.IntN(12) {
			p := path()
			if p == "" {
				p = "/"
			}
			b.Services = append(b.Services, Service{Name: model.ServiceName(fmt.Sprint(i)), Routes: []Route{{Path: p, Methods: methods[rng.IntN(3)]}}})
		}
		s, reference := NewSet([]*Bundle{b}), newLinearSet(b)
		for range 50 {
			method, p := []string{"GET", "POST"}[rng.IntN(2)], path()
			got, gotOK := s.Match(method, p)
			want, wantOK := reference.match(method, p)
			if gotOK != wantOK || got != want {
				t.Fatalf("Match(%s %q) = %+v, %v; reference %+v, %v; bundle %+v", method, p, got.Service, gotOK, want.Service, wantOK, b.Services)
			}
		}
	}
}

func TestMatchAppliesIdempotencyOfMethodAndRoute(t *testing.T) {
	yes, no := true, false
	b := &Bundle{Name: "b", Services: []Service{{Name: "s", Routes: []Route{
		{Path: "/default"}, {Path: "/yes", Idempotent: &yes}, {Path: "/no", Idempotent: &no},
	}}}}
	s := NewSet([]*Bundle{b})
	byDefault := map[string]bool{
		http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
		http.MethodPut: true, http.MethodDelete: true, http.MethodPost: false, http.MethodPatch: false, "PROPFIND": false,
	}
	for method, want := range byDefault {
		for path, want := range map[string]bool{"/default": want, "/yes": true, "/no": false} {
			if target, ok := s.Match(method, path); !ok || target.Idempotent != want {
				t.Errorf("Match(%s %s): idempotent %v, %v; want %v", method, path, target.Idempotent, ok, want)
			}
		}
	}
}

func TestNewSetKeepsNewestVersion(t *testing.T) {
	older, newer := &Bundle{Name: "b", Version: 1}, &Bundle{Name: "b", Version: 2}
	for _, order := range [][]*Bundle{{older, newer}, {newer, older}} {
		if got := NewSet(order).Bundle("b"); got != newer {
			t.Errorf("version %d is in the set, want 2", got.Version)
		}
	}
}

func conflictingBundles() (first, second *Bundle) {
	first = &Bundle{Name: "a", Version: 1, Services: []Service{
		{Name: "ledger", Slots: 1, Routes: []Route{{Path: "/payouts"}, {Path: "/a"}}},
	}}
	second = &Bundle{Name: "b", Version: 9, Services: []Service{
		{Name: "ledger", Slots: 2, Routes: []Route{{Path: "/b"}}},
		{Name: "orders", Routes: []Route{{Path: "/payouts"}, {Path: "/orders"}}},
	}}
	return first, second
}

func TestNewSetIgnoresOrderOfConflictingBundles(t *testing.T) {
	first, second := conflictingBundles()
	for range 20 {
		for _, order := range [][]*Bundle{{first, second}, {second, first}} {
			s := NewSet(order)
			if svc, b := s.Service("ledger"); b != first || svc.Slots != 1 {
				t.Fatalf("ledger is governed by %s", b.VersionID())
			}
			if target, ok := s.Match("GET", "/payouts"); !ok || target.Bundle != first {
				t.Fatalf("/payouts leads to %+v", target)
			}
			if _, ok := s.Match("GET", "/b"); ok {
				t.Fatal("/b leads to a service that another bundle governs")
			}
			if target, ok := s.Match("GET", "/orders"); !ok || target.Bundle != second {
				t.Fatalf("/orders leads to %+v", target)
			}
		}
	}
}

func TestCheckSetReportsConflicts(t *testing.T) {
	first, second := conflictingBundles()
	want := strings.Join([]string{
		`b@9: service[0].name: "ledger" is also in a@1, which wins`,
		`b@9: service[1].route[0].path: every method of /payouts is also in a@1, which wins`,
	}, "\n")
	for _, order := range [][]*Bundle{{first, second}, {second, first}} {
		if diff := cmp.Diff(want, CheckSet(order).Error()); diff != "" {
			t.Errorf("findings differ (-want +got):\n%s", diff)
		}
	}
	if got := CheckSet([]*Bundle{second}); got != nil {
		t.Errorf("findings for a single bundle: %v", got)
	}
}

func TestCheckSetReportsTwoVersions(t *testing.T) {
	got := CheckSet([]*Bundle{{Name: "a", Version: 2}, {Name: "a", Version: 1}})
	if want := "a@1: name: another version of this bundle is also given: a@2"; got.Error() != want {
		t.Errorf("findings %v, want %s", got, want)
	}
}
