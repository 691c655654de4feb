package bundle

import (
	"cmp"
	"fmt"
	"slices"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

// CheckSet returns the conflicts between bundles that are valid by themselves: two
// versions of one bundle, and the same service, or the same host, path and method, in two
// bundles. A finding's file is the version of the bundle that NewSet does not use, and
// its key is the position in that bundle. The order of the argument has no effect.
func CheckSet(bundles []*Bundle) finding.List {
	ordered := slices.Clone(bundles)
	slices.SortStableFunc(ordered, func(a, b *Bundle) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Version, a.Version))
	})
	c := setChecker{services: map[model.ServiceName]*Bundle{}, routes: map[routeID]*Bundle{}}
	for i, b := range ordered {
		if i > 0 && ordered[i-1].Name == b.Name {
			c.add(b, "name", "another version of this bundle is also given: %s", ordered[i-1].VersionID())
			continue
		}
		c.checkBundle(b)
	}
	return c.findings
}

type setChecker struct {
	findings finding.List
	services map[model.ServiceName]*Bundle
	routes   map[routeID]*Bundle
}

func (c *setChecker) add(b *Bundle, key, format string, args ...any) {
	c.findings.Add(finding.Finding{File: b.VersionID().String(), Key: key, Message: fmt.Sprintf(format, args...)})
}

func (c *setChecker) checkBundle(b *Bundle) {
	for i := range b.Services {
		s, key := &b.Services[i], serviceKey(i)
		if first := c.services[s.Name]; first != nil {
			c.add(b, key+".name", "%q is also in %s, which wins", s.Name, first.VersionID())
			continue
		}
		c.services[s.Name] = b
		for j := range s.Routes {
			c.checkRoute(b, &s.Routes[j], fmt.Sprintf("%s.route[%d].path", key, j))
		}
	}
}

func (c *setChecker) checkRoute(b *Bundle, r *Route, key string) {
	for _, id := range r.routeIDs() {
		first := c.routes[id]
		if first == nil {
			c.routes[id] = b
		} else {
			c.add(b, key, "%s is also in %s, which wins", id, first.VersionID())
		}
	}
}
