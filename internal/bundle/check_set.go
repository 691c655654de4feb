package bundle

import (
	"cmp"
	"fmt"
	"slices"

	"gypsumstand/internal/finding"
	"gypsumstand/internal/model"
)

// CheckSet returns the contradictions between bundles that each are sound: the
// same service, or the same path and method, in two of them, and two versions
// of one bundle. A finding's file is the version of the bundle that loses (see
// NewSet), its key the place there. The order of the argument has no effect.
func CheckSet(bundles []*Bundle) finding.List {
	ordered := slices.Clone(bundles)
	slices.SortStableFunc(ordered, func(a, b *Bundle) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(b.Version, a.Version))
	})
	c := setChecker{services: map[model.ServiceName]*Bundle{}, routes: map[routeID]*Bundle{}}
	for i, b := range ordered {
		if i > 0 && ordered[i-1].Name == b.Name {
			c.add(b, "name", "another version of this bundle is given: %s", ordered[i-1].VersionID())
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
	for _, id := range r.ids() {
		first := c.routes[id]
		if first == nil {
			c.routes[id] = b
		} else {
			c.add(b, key, "%s is also in %s, which wins", id, first.VersionID())
		}
	}
}
