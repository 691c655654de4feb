package bundle

import (
	"slices"
	"strings"
)

// routeNode is a node of a trie of path segments.
type routeNode struct {
	children map[string]*routeNode
	// exactOrBelow holds the routes whose path ends at this node; they match this path and
	// all paths below it. belowOnly holds the routes whose path ends in a slash after this
	// node; they match only paths below it.
	exactOrBelow routeList
	belowOnly    routeList
}

// routeList holds the routes of one path: routes with methods before routes without,
// otherwise in the order of insertion.
type routeList []routeEntry

// routeEntry is a route, or a split of several routes, with its target.
type routeEntry struct {
	route  *Route
	target Target
	// split holds the parts of a split in the order of insertion, starting with this
	// entry's own route; empty for a route that is not split.
	split splitTargets
}

// splitTargets are the parts of one split.
type splitTargets struct {
	parts []splitPart
	// total is the sum of the weights.
	total uint64
}

// splitPart is the target of one part of a split.
type splitPart struct {
	target Target
	weight uint64
}

func (s *splitTargets) add(weight int, t Target) {
	s.parts = append(s.parts, splitPart{target: t, weight: uint64(weight)})
	s.total += uint64(weight)
}

// choose returns the target of the part that a uniform draw selects by weight.
func (s *splitTargets) choose(draw uint64) Target {
	rest := draw % s.total
	for i := range s.parts {
		p := &s.parts[i]
		if rest < p.weight {
			return p.target
		}
		rest -= p.weight
	}
	return s.parts[0].target
}

// resolve returns the target of a request that matches e.
func (e *routeEntry) resolve(method string, draw uint64) Target {
	t := e.target
	if e.split.total > 0 {
		t = e.split.choose(draw)
	}
	t.Idempotent = e.route.idempotent(method)
	return t
}

// add inserts a route under its path. A path that does not start with a slash matches no
// request and is ignored.
func (n *routeNode) add(r *Route, t Target) {
	rest, ok := strings.CutPrefix(r.Path, "/")
	if !ok {
		return
	}
	for rest != "" {
		segment, after, more := strings.Cut(rest, "/")
		n = n.child(segment)
		rest = after
		if !more {
			n.exactOrBelow.insert(routeEntry{route: r, target: t})
			return
		}
	}
	n.belowOnly.insert(routeEntry{route: r, target: t})
}

// child returns the node of the next path segment and creates it if needed.
func (n *routeNode) child(segment string) *routeNode {
	c := n.children[segment]
	if c != nil {
		return c
	}
	if n.children == nil {
		n.children = map[string]*routeNode{}
	}
	c = &routeNode{}
	n.children[segment] = c
	return c
}

// insert adds e to the list, or to the split that it is a part of.
func (l *routeList) insert(e routeEntry) {
	if e.route.Weight > 0 {
		if existing := l.splitOf(e.route); existing != nil {
			existing.split.add(e.route.Weight, e.target)
			return
		}
		e.split.add(e.route.Weight, e.target)
	}
	at := len(*l)
	if len(e.route.Methods) > 0 {
		at = slices.IndexFunc(*l, func(o routeEntry) bool { return len(o.route.Methods) == 0 })
	}
	if at < 0 {
		at = len(*l)
	}
	*l = slices.Insert(*l, at, e)
}

// splitOf returns the entry with the split that a weighted route belongs to, or nil.
func (l routeList) splitOf(r *Route) *routeEntry {
	for i := range l {
		e := &l[i]
		if e.route.Weight > 0 && slices.Equal(e.route.Methods, r.Methods) {
			return e
		}
	}
	return nil
}

// match descends along the path and returns the route of the longest matching prefix that
// accepts the method, or nil.
func (n *routeNode) match(method, path string) *routeEntry {
	if path == "" || path[0] != '/' {
		return nil
	}
	best := n.belowOnly.find(method)
	for rest, more := path[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		n = n.children[segment]
		if n == nil {
			break
		}
		if e := n.exactOrBelow.find(method); e != nil {
			best = e
		}
		if !more {
			break
		}
		if e := n.belowOnly.find(method); e != nil {
			best = e
		}
	}
	return best
}

// find returns the first entry that accepts the method, or nil.
func (l routeList) find(method string) *routeEntry {
	for i := range l {
		e := &l[i]
		if len(e.route.Methods) == 0 || slices.Contains(e.route.Methods, method) {
			return e
		}
	}
	return nil
}
