package bundle

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"

	"gypsumstand/internal/model"
)

// Set is an immutable set of bundles in force with an index of their services and routes.
// It is safe for concurrent use.
type Set struct {
	byName   map[model.BundleName]*Bundle
	ordered  []*Bundle
	services map[model.ServiceName]serviceEntry
	// routes are the routes of any host; hosts holds the routes of single hosts by their
	// names in lower case.
	routes routeNode
	hosts  map[string]*routeNode
}

// serviceEntry is a service with the bundle that defines it.
type serviceEntry struct {
	service *Service
	bundle  *Bundle
}

// Target is the service that a request is routed to, with the rules that apply.
type Target struct {
	Bundle     *Bundle
	Service    *Service
	Class      *Class
	Idempotent bool
	// Regions are the regions in which the route's requests may run.
	Regions model.Regions
	// LargeBodies reports that the route's requests carry large bodies.
	LargeBodies bool
}

// NewSet indexes the given bundles. Of two versions of one bundle it uses the newer. If
// bundles conflict (see CheckSet), the bundle whose name sorts first wins, in whatever
// order they are given: a service is taken from that bundle with all its routes and
// ignored in later bundles, so that a single version governs the whole service. Of two
// routes with the same host, path and method, the first bundle's is used.
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
		s.indexBundle(b)
	}
	return s
}

// indexBundle adds the services of b that no earlier bundle has, with their routes.
func (s *Set) indexBundle(b *Bundle) {
	classes := make(map[model.ClassName]*Class, len(b.Classes))
	for i := range b.Classes {
		classes[b.Classes[i].Name] = &b.Classes[i]
	}
	for i := range b.Services {
		svc := &b.Services[i]
		if _, found := s.services[svc.Name]; found {
			continue
		}
		s.services[svc.Name] = serviceEntry{service: svc, bundle: b}
		for j := range svc.Routes {
			r := &svc.Routes[j]
			s.routesForHost(r.Host).add(r, Target{Bundle: b, Service: svc, Class: classes[r.Class], Regions: model.NewRegions(r.Regions), LargeBodies: r.LargeBodies})
		}
	}
}

// routesForHost returns the root of a host's routes and creates it for a new host.
func (s *Set) routesForHost(host string) *routeNode {
	if host == "" {
		return &s.routes
	}
	host = strings.ToLower(host)
	n := s.hosts[host]
	if n != nil {
		return n
	}
	if s.hosts == nil {
		s.hosts = map[string]*routeNode{}
	}
	n = &routeNode{}
	s.hosts[host] = n
	return n
}

// All returns the bundles ordered by name.
func (s *Set) All() []*Bundle { return slices.Clone(s.ordered) }

// Bundle returns the bundle called name, or nil.
func (s *Set) Bundle(name model.BundleName) *Bundle { return s.byName[name] }

// Service returns the service called name and its bundle, or nil for both.
func (s *Set) Service(name model.ServiceName) (*Service, *Bundle) {
	e := s.services[name]
	return e.service, e.bundle
}

// Match finds the target of a request among the routes of any host; see MatchHost.
func (s *Set) Match(method, path string) (t Target, ok bool) {
	return s.MatchHost("", method, path, 0)
}

// MatchHost finds the target of a request; ok is false if no route matches. draw is a
// uniform random number that selects among the parts of a split. The cost grows with the
// number of segments of the path, not with the number of routes.
func (s *Set) MatchHost(host, method, path string, draw uint64) (t Target, ok bool) {
	if len(s.hosts) > 0 && host != "" {
		if n := s.hosts[normaliseHost(host)]; n != nil {
			if e := n.match(method, path); e != nil {
				return e.resolve(method, draw), true
			}
		}
	}
	if e := s.routes.match(method, path); e != nil {
		return e.resolve(method, draw), true
	}
	return Target{}, false
}

// RouteHost returns the host of a request if its route is limited to that host, else an
// empty string: callers can reach a route of any host at the address of any node.
func (s *Set) RouteHost(host, method, path string) string {
	host = normaliseHost(host)
	if n := s.hosts[host]; n != nil && n.match(method, path) != nil {
		return host
	}
	return ""
}

// normaliseHost returns the name in a Host header in lower case and without a port.
func normaliseHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// idempotent reports whether requests of the method count as idempotent: as the route
// specifies, else by RFC 9110, section 9.2.2.
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
