package bundle

import (
	"cmp"
	"net/http"
	"slices"

	"gypsumstand/internal/model"
)

// Set is an immutable set of bundles in force, with an index of their services
// and routes.
type Set struct {
	byName   map[model.BundleName]*Bundle
	ordered  []*Bundle
	services map[model.ServiceName]serviceEntry
	routes   routeNode
}

type serviceEntry struct {
	service *Service
	bundle  *Bundle
}

// Target is where a route leads and under which rules.
type Target struct {
	Bundle     *Bundle
	Service    *Service
	Class      *Class
	Idempotent bool
}

// NewSet indexes the given bundles; of two with one name the newer is taken.
// Where bundles contradict each other (see CheckSet), the one whose name sorts
// first wins, whatever the order of the argument: a service that it has is
// taken from it with all its routes, and the same service in a later bundle is
// left out, so that one version governs a service from end to end. Of two
// routes with the same path and method the first bundle's is taken.
func NewSet(bundles []*Bundle) *Set {
	s := &Set{
		byName:   make(map[model.BundleName]*Bundle, len(bundles)),
		services: map[model.ServiceName]serviceEntry{},
	}
	for _, b := range bundles {
		if old := s.byName[b.Name]; old == nil || old.Version < b.Version {
			s.byName[b.Name] = b
		}
	}
	for _, b := range s.byName {
		s.ordered = append(s.ordered, b)
	}
	slices.SortFunc(s.ordered, func(a, b *Bundle) int { return cmp.Compare(a.Name, b.Name) })
	for _, b := range s.ordered {
		s.index(b)
	}
	return s
}

func (s *Set) index(b *Bundle) {
	for i := range b.Services {
		svc := &b.Services[i]
		if _, taken := s.services[svc.Name]; taken {
			continue
		}
		s.services[svc.Name] = serviceEntry{service: svc, bundle: b}
		for j := range svc.Routes {
			r := &svc.Routes[j]
			s.routes.add(r, Target{Bundle: b, Service: svc, Class: b.Class(r.Class)})
		}
	}
}

// All returns the bundles in the order of their names.
func (s *Set) All() []*Bundle { return slices.Clone(s.ordered) }

// Bundle returns the bundle of that name, or nil.
func (s *Set) Bundle(name model.BundleName) *Bundle { return s.byName[name] }

// Service returns the service of that name and its bundle, or nils.
func (s *Set) Service(name model.ServiceName) (*Service, *Bundle) {
	e := s.services[name]
	return e.service, e.bundle
}

// Match finds the target of a request; ok is false when no route matches. Its
// cost grows with the path's segments, not with the number of routes.
func (s *Set) Match(method, path string) (t Target, ok bool) {
	return s.routes.match(method, path)
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
