package bundle

import (
	"cmp"
	"net"
	"net/http"
	"slices"
	"strings"

	"gypsumstand/internal/model"
)

// Set is an immutable set of bundles in force, with an index of their services
// and routes.
type Set struct {
	byName   map[model.BundleName]*Bundle
	ordered  []*Bundle
	services map[model.ServiceName]serviceEntry
	// routes are those of any host, hosts those of one.
	routes routeNode
	hosts  map[string]*routeNode
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
	// Regions are those in which the route's requests may run.
	Regions model.Regions
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
	classes := make(map[model.ClassName]*Class, len(b.Classes))
	for i := range b.Classes {
		classes[b.Classes[i].Name] = &b.Classes[i]
	}
	for i := range b.Services {
		svc := &b.Services[i]
		if _, taken := s.services[svc.Name]; taken {
			continue
		}
		s.services[svc.Name] = serviceEntry{service: svc, bundle: b}
		for j := range svc.Routes {
			r := &svc.Routes[j]
			s.routesOf(r.Host).add(r, Target{Bundle: b, Service: svc, Class: classes[r.Class], Regions: model.NewRegions(r.Regions)})
		}
	}
}

// routesOf returns the routes of a host, making their list when it is new.
func (s *Set) routesOf(host string) *routeNode {
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

// All returns the bundles in the order of their names.
func (s *Set) All() []*Bundle { return slices.Clone(s.ordered) }

// Bundle returns the bundle of that name, or nil.
func (s *Set) Bundle(name model.BundleName) *Bundle { return s.byName[name] }

// Service returns the service of that name and its bundle, or nils.
func (s *Set) Service(name model.ServiceName) (*Service, *Bundle) {
	e := s.services[name]
	return e.service, e.bundle
}

// Match finds the target of a request for any host; see MatchHost.
func (s *Set) Match(method, path string) (t Target, ok bool) {
	return s.MatchHost("", method, path, 0)
}

// MatchHost finds the target of a request; ok is false when no route matches.
// draw is a uniform random number that chooses among the parts of a split. The
// cost grows with the path's segments, not with the number of routes.
func (s *Set) MatchHost(host, method, path string, draw uint64) (t Target, ok bool) {
	if len(s.hosts) > 0 && host != "" {
		if n := s.hosts[hostName(host)]; n != nil {
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

// RouteHost returns the host of a request where its route is for that host only, else empty:
// callers reach a route for any host by the address of any node.
func (s *Set) RouteHost(host, method, path string) string {
	host = hostName(host)
	if n := s.hosts[host]; n != nil && n.match(method, path) != nil {
		return host
	}
	return ""
}

// hostName returns a Host header's name in lower case, without a port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
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
