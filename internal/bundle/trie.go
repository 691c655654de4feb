package bundle

import (
	"slices"
	"strings"
)

// routeNode is a node of the trie of path segments.
type routeNode struct {
	children map[string]*routeNode
	// here holds the routes whose path ends at this node; they match this path
	// and everything below. below holds those whose path ends in a slash after
	// it; they match only what is below.
	here  routeList
	below routeList
}

// routeList holds the routes of one path: those with methods before those
// without, otherwise in the order of adding.
type routeList []routeEntry

type routeEntry struct {
	route  *Route
	target Target
	// split holds the parts of a split in the order of adding, this entry's own
	// first; empty when the route is alone.
	split splitTargets
}

// splitTargets are the parts of one split.
type splitTargets struct {
	parts []splitPart
	// total is the sum of the weights.
	total uint64
}

type splitPart struct {
	target Target
	weight uint64
}

func (s *splitTargets) add(weight int, t Target) {
	s.parts = append(s.parts, splitPart{target: t, weight: uint64(weight)})
	s.total += uint64(weight)
}

// choose returns the part that a uniform draw falls on.
func (s *splitTargets) choose(draw uint64) Target {
	at := draw % s.total
	for i := range s.parts {
		p := &s.parts[i]
		if at < p.weight {
			return p.target
		}
		at -= p.weight
	}
	return s.parts[0].target
}

// resolve returns the target of a request that matched e.
func (e *routeEntry) resolve(method string, draw uint64) Target {
	t := e.target
	if e.split.total > 0 {
		t = e.split.choose(draw)
	}
	t.Idempotent = e.route.idempotent(method)
	return t
}

// add puts a route under its path. One that does not start with a slash can
// match no request and is left out.
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
			n.here.add(routeEntry{route: r, target: t})
			return
		}
	}
	n.below.add(routeEntry{route: r, target: t})
}

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

func (l *routeList) add(e routeEntry) {
	if e.route.Weight > 0 {
		if same := l.splitOf(e.route); same != nil {
			same.split.add(e.route.Weight, e.target)
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

// splitOf returns the entry whose split a weighted route belongs to, or nil.
func (l routeList) splitOf(r *Route) *routeEntry {
	for i := range l {
		e := &l[i]
		if e.route.Weight > 0 && slices.Equal(e.route.Methods, r.Methods) {
			return e
		}
	}
	return nil
}

// match walks down the path and returns the longest route that has the method,
// or nil.
func (n *routeNode) match(method, path string) *routeEntry {
	if path == "" || path[0] != '/' {
		return nil
	}
	best := n.below.find(method)
	for rest, more := path[1:], true; more; {
		var segment string
		segment, rest, more = strings.Cut(rest, "/")
		n = n.children[segment]
		if n == nil {
			break
		}
		if e := n.here.find(method); e != nil {
			best = e
		}
		if !more {
			break
		}
		if e := n.below.find(method); e != nil {
			best = e
		}
	}
	return best
}

// find returns the first entry that has the method, or nil.
func (l routeList) find(method string) *routeEntry {
	for i := range l {
		e := &l[i]
		if len(e.route.Methods) == 0 || slices.Contains(e.route.Methods, method) {
			return e
		}
	}
	return nil
}
