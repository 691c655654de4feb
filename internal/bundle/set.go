package bundle

import (
	"net/http"
	"sort"
	"strings"

	"gypsumstand/internal/model"
)

// Set is an immutable set of bundles in force, with an index of their routes.
type Set struct {
	byName map[model.BundleName]*Bundle
	routes []routeEntry
}

type routeEntry struct {
	route  *Route
	target Target
}

// Target is where a route leads and under which rules.
type Target struct {
	Bundle     *Bundle
	Service    *Service
	Class      *Class
	Idempotent bool
}

// NewSet indexes the given bundles; of two with one name the newer is taken.
func NewSet(bundles []*Bundle) *Set {
	s := &Set{byName: make(map[model.BundleName]*Bundle, len(bundles))}
	for _, b := range bundles {
		if old := s.byName[b.Name]; old == nil || old.Version < b.Version {
			s.byName[b.Name] = b
		}
	}
	for _, b := range s.All() {
		s.index(b)
	}
	sort.SliceStable(s.routes, func(i, j int) bool {
		a, b := s.routes[i].route, s.routes[j].route
		if len(a.Path) != len(b.Path) {
			return len(a.Path) > len(b.Path)
		}
		return len(a.Methods) > 0 && len(b.Methods) == 0
	})
	return s
}

func (s *Set) index(b *Bundle) {
	for i := range b.Services {
		svc := &b.Services[i]
		for j := range svc.Routes {
			r := &svc.Routes[j]
			s.routes = append(s.routes, routeEntry{route: r, target: Target{Bundle: b, Service: svc, Class: b.Class(r.Class)}})
		}
	}
}

// All returns the bundles in the order of their names.
func (s *Set) All() []*Bundle {
	out := make([]*Bundle, 0, len(s.byName))
	for _, b := range s.byName {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Bundle returns the bundle of that name, or nil.
func (s *Set) Bundle(name model.BundleName) *Bundle { return s.byName[name] }

// Service returns the service of that name and its bundle, or nils.
func (s *Set) Service(name model.ServiceName) (*Service, *Bundle) {
	for _, b := range s.byName {
		if svc := b.Service(name); svc != nil {
			return svc, b
		}
	}
	return nil, nil
}

// Match finds the target of a request; ok is false when no route matches.
func (s *Set) Match(method, path string) (t Target, ok bool) {
	for i := range s.routes {
		e := &s.routes[i]
		if !e.route.matches(method, path) {
			continue
		}
		t = e.target
		t.Idempotent = e.route.idempotent(method)
		return t, true
	}
	return Target{}, false
}

func (r *Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.Path) {
		return false
	}
	if !strings.HasSuffix(r.Path, "/") && len(path) > len(r.Path) && path[len(r.Path)] != '/' {
		return false
	}
	if len(r.Methods) == 0 {
		return true
	}
	for _, m := range r.Methods {
		if m == method {
			return true
		}
	}
	return false
}

// idempotent applies RFC 9110, section 9.2.2, where the route says nothing.
func (r *Route) idempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
